package owner

import (
	"context"
	"errors"
	"runtime"
	"sync"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/timer"
)

const (
	// probeInterval is the interval at which the local delay is measured.
	probeInterval = 20 * time.Millisecond
	// delayTolerance is the local delay of a probe that is ordinary scheduling.
	delayTolerance = 5 * time.Millisecond
)

// callClock measures the local delay of this host. Its goroutine sleeps for
// probeInterval and then lets the runnable goroutines run; what this takes longer is
// the local delay, in which the response to a call may wait unread.
type callClock struct {
	timers timer.Service
	start  time.Time

	mu sync.Mutex
	// delay is the local delay up to the last probe, and due is when the next probe
	// is due.
	delay time.Duration
	due   time.Time
}

func newCallClock(timers timer.Service) *callClock {
	now := timers.Now()
	return &callClock{timers: timers, start: now, due: now.Add(probeInterval)}
}

// run measures the local delay until ctx is done.
func (c *callClock) run(ctx context.Context) {
	for {
		wait := c.timers.After(probeInterval)
		select {
		case <-wait.C:
		case <-ctx.Done():
			wait.Stop()
			return
		}
		// A goroutine that a timer wakes runs before others that were runnable
		// earlier; it goes to the end of the queue to measure how long they wait.
		runtime.Gosched()
		c.probe(c.timers.Now())
	}
}

// probe adds the local delay since the last probe.
func (c *callClock) probe(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delay += c.pending(now)
	c.due = now.Add(probeInterval)
}

// pending returns the local delay since the last probe. The caller holds mu.
func (c *callClock) pending(now time.Time) time.Duration {
	if late := now.Sub(c.due); late > delayTolerance {
		return late
	}
	return 0
}

// localDelay returns the sum of the local delays so far.
func (c *callClock) localDelay() time.Duration {
	now := c.timers.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.delay + c.pending(now)
}

// elapsed returns the time since the start of the clock, without the local delays.
func (c *callClock) elapsed() time.Duration {
	now := c.timers.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.start) - c.delay - c.pending(now)
}

// timedCall is a call with a timeout.
type timedCall struct {
	clock  *callClock
	ctx    context.Context
	cancel context.CancelFunc
	// begun is the local delay at the start of the call.
	begun time.Duration
}

// begin starts a call that is cancelled after the timeout. The caller calls end when
// the call has returned.
func (c *callClock) begin(ctx context.Context, timeout time.Duration) (context.Context, *timedCall) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	return ctx, &timedCall{clock: c, ctx: ctx, cancel: cancel, begun: c.localDelay()}
}

// callEnd tells how a call has ended.
type callEnd struct {
	// timedOut is set if the call had no response within its timeout.
	timedOut bool
	// delayed is the local delay during the call.
	delayed time.Duration
}

// end releases the resources of a call that has returned.
func (t *timedCall) end() callEnd {
	timedOut := errors.Is(t.ctx.Err(), context.DeadlineExceeded)
	t.cancel()
	return callEnd{timedOut: timedOut, delayed: t.clock.localDelay() - t.begun}
}
