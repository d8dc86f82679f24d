package timer

import (
	"sync"
	"time"
)

// Service is a clock with timers. A running process uses System; tests use
// Manual.
type Service interface {
	Clock
	// Every returns a subscription that fires at most once per period until it is
	// stopped.
	Every(period time.Duration) *Subscription
	// After returns a subscription that fires once, after the wait.
	After(wait time.Duration) *Subscription
}

// Subscription is a timer or ticker. While the subscriber is busy, at most one
// tick is kept; further ticks are dropped.
type Subscription struct {
	// C delivers the time of each tick.
	C    <-chan time.Time
	stop func()
}

// Stop ends the subscription. With Manual, a tick that was sent before may still
// be received afterwards.
func (s *Subscription) Stop() { s.stop() }

// System is the timer service of a running process.
type System struct {
	*SystemClock
}

// NewSystem returns the timer service of a running process.
func NewSystem() *System { return &System{SystemClock: NewSystemClock()} }

// Every returns a subscription that fires once per period.
func (s *System) Every(period time.Duration) *Subscription {
	t := time.NewTicker(period)
	return &Subscription{C: t.C, stop: t.Stop}
}

// After returns a subscription that fires once, after the wait.
func (s *System) After(wait time.Duration) *Subscription {
	t := time.NewTimer(wait)
	return &Subscription{C: t.C, stop: func() { t.Stop() }}
}

// Manual is a timer service for tests, whose time advances only through Advance
// and AdvanceWallClock.
type Manual struct {
	mu        sync.Mutex
	now       time.Time
	suspended time.Duration
	subs      map[*manualSubscription]struct{}
}

type manualSubscription struct {
	c      chan time.Time
	due    time.Time
	period time.Duration
}

// NewManual returns a manual timer service that starts at the given time.
func NewManual(start time.Time) *Manual {
	return &Manual{now: start, subs: make(map[*manualSubscription]struct{})}
}

// Now returns the start time plus all calls of Advance.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Latest returns the time of Now plus all calls of AdvanceWallClock.
func (m *Manual) Latest() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now.Add(m.suspended)
}

// AdvanceWallClock advances only the wall clock, as happens while the process is
// suspended and the monotonic clock stops.
func (m *Manual) AdvanceWallClock(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.suspended += max(d, 0)
}

// Advance advances the time and fires every subscription that is due. A
// subscription of Every fires once, even if several of its periods have passed.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
	for s := range m.subs {
		m.fire(s)
	}
}

// Every returns a subscription that fires once per period.
func (m *Manual) Every(period time.Duration) *Subscription { return m.subscribe(period, period) }

// After returns a subscription that fires once, after the wait.
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
