package timer

import (
	"sync"
	"time"
)

// Service wakes its subscribers. The one of a running process is a System; a
// test uses a Manual.
type Service interface {
	Clock
	// Every wakes the subscriber once a period until it is stopped.
	Every(period time.Duration) *Subscription
	// After wakes the subscriber once.
	After(wait time.Duration) *Subscription
}

// Subscription delivers the times at which its subscriber is due. A subscriber
// that is busy misses beats instead of queueing them.
type Subscription struct {
	// C receives the time of each beat.
	C    <-chan time.Time
	stop func()
}

// Stop ends the subscription. No beat is delivered afterwards.
func (s *Subscription) Stop() { s.stop() }

// System is the timer service of a running process.
type System struct {
	*SystemClock
}

// NewSystem returns the timer service of a running process.
func NewSystem() *System { return &System{SystemClock: NewSystemClock()} }

// Every wakes the subscriber once a period.
func (s *System) Every(period time.Duration) *Subscription {
	t := time.NewTicker(period)
	return &Subscription{C: t.C, stop: t.Stop}
}

// After wakes the subscriber once.
func (s *System) After(wait time.Duration) *Subscription {
	t := time.NewTimer(wait)
	return &Subscription{C: t.C, stop: func() { t.Stop() }}
}

// Manual is a timer service that moves only when it is told to.
type Manual struct {
	mu   sync.Mutex
	now  time.Time
	skew time.Duration
	subs map[*manualSubscription]struct{}
}

type manualSubscription struct {
	c      chan time.Time
	due    time.Time
	period time.Duration
}

// NewManual returns a timer service that starts at the given time.
func NewManual(start time.Time) *Manual {
	return &Manual{now: start, subs: make(map[*manualSubscription]struct{})}
}

// Now returns the time reached so far.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Latest returns the time reached so far plus all steps of the wall clock.
func (m *Manual) Latest() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now.Add(m.skew)
}

// AdvanceWallClock moves only the wall clock ahead, as when the monotonic clock stood
// still.
func (m *Manual) AdvanceWallClock(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.skew += max(d, 0)
}

// Advance moves the time ahead and wakes every subscriber that became due.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
	for s := range m.subs {
		m.fire(s)
	}
}

// Every wakes the subscriber once a period.
func (m *Manual) Every(period time.Duration) *Subscription { return m.subscribe(period, period) }

// After wakes the subscriber once.
func (m *Manual) After(wait time.Duration) *Subscription { return m.subscribe(wait, 0) }

func (m *Manual) subscribe(wait, period time.Duration) *Subscription {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := &manualSubscription{c: make(chan time.Time, 1), due: m.now.Add(wait), period: period}
	m.subs[s] = struct{}{}
	return &Subscription{C: s.c, stop: func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.subs, s)
	}}
}

func (m *Manual) fire(s *manualSubscription) {
	if m.now.Before(s.due) {
		return
	}
	select {
	case s.c <- m.now:
	default:
	}
	if s.period == 0 {
		delete(m.subs, s)
		return
	}
	for !m.now.Before(s.due) {
		s.due = s.due.Add(s.period)
	}
}
