package owner

import (
	"container/heap"
	"context"
	"errors"
	"runtime"
	"sync"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/timer"
)

const (
	// probeInterval is the interval at which the local delay is measured and the
	// timeouts of calls are checked.
	probeInterval = 20 * time.Millisecond
	// delayTolerance is the local delay of a probe that is ordinary scheduling.
	delayTolerance = 5 * time.Millisecond
	// minSilentPolls is the smallest number of polls without an answer that show that
	// this host, or its link, is the cause and not their workers.
	minSilentPolls = 4
	// maxSilence is how long the silence of all workers counts as a local delay. A lease
	// that was renewed by a poll in flight has expired soon after it, so that waiting
	// longer for the answer gains nothing.
	maxSilence = 1200 * time.Millisecond
)

// errCallTimeout is the cause of a call that got no response within its timeout.
var errCallTimeout = errors.New("no response within the timeout")

// callClock measures the timeouts of calls in the time in which this host was able to
// read the responses. Its goroutine sleeps for probeInterval and then lets the
// runnable goroutines run; what this takes longer is the local delay, in which a
// response may wait unread. The time in which no worker at all answers, although most
// polls are overdue, is a local delay too, up to maxSilence.
type callClock struct {
	timers timer.Service
	start  time.Time

	mu sync.Mutex
	// delay is the local delay up to the last probe, and due is when the next probe
	// is due.
	delay time.Duration
	due   time.Time
	// calls holds the calls in flight, and calls that have returned since.
	calls callHeap
	// answeredAt is when a call last returned, by the time since the start of the clock
	// without local delays, and silence is the part of delay since then in which all
	// workers were silent.
	answeredAt time.Duration
	silence    time.Duration
}

func newCallClock(timers timer.Service) *callClock {
	now := timers.Now()
	return &callClock{timers: timers, start: now, due: now.Add(probeInterval)}
}

// run measures the local delay and ends the calls that time out, until ctx is done.
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

// probe adds the local delay since the last probe and ends the calls that time out.
func (c *callClock) probe(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delay += c.pending(now)
	c.delay += c.silent(now)
	c.due = now.Add(probeInterval)
	elapsed := now.Sub(c.start) - c.delay
	for len(c.calls) > 0 && c.calls[0].deadline <= elapsed {
		heap.Pop(&c.calls).(*timedCall).expire()
	}
}

// pending returns the local delay since the last probe. The caller holds mu.
func (c *callClock) pending(now time.Time) time.Duration {
	if late := now.Sub(c.due); late > delayTolerance {
		return late
	}
	return 0
}

// silent returns the part of the last interval in which all workers were silent. The
// caller holds mu.
func (c *callClock) silent(now time.Time) time.Duration {
	elapsed := now.Sub(c.start) - c.delay
	if elapsed-c.answeredAt < answerOverdue || c.silence >= maxSilence || !c.mostOverdue(elapsed) {
		return 0
	}
	c.silence += probeInterval
	return probeInterval
}

// mostOverdue reports whether most polls in flight have no answer although they are
// overdue. The caller holds mu.
func (c *callClock) mostOverdue(elapsed time.Duration) bool {
	polls, overdue := 0, 0
	for _, t := range c.calls {
		if !t.poll || t.returned {
			continue
		}
		polls++
		if elapsed >= t.answerDue+answerOverdue {
			overdue++
		}
	}
	return overdue >= minSilentPolls && overdue > polls/2
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
	cancel context.CancelCauseFunc
	// begun is the local delay at the start of the call.
	begun time.Duration
	// deadline is when the call times out, by the time since the start of the clock
	// without local delays.
	deadline time.Duration
	// poll is set for a call that waits at its worker, whose answer is due at answerDue
	// by the same clock.
	poll      bool
	answerDue time.Duration
	// returned is set once the call has returned. The mutex of the clock guards it.
	returned bool
	// timedOut is set once the call has timed out. The mutex of the clock guards it.
	timedOut bool
}

// begin starts a call that is cancelled after the timeout, not counting the local
// delay meanwhile. The caller calls end when the call has returned.
func (c *callClock) begin(ctx context.Context, timeout time.Duration) (context.Context, *timedCall) {
	return c.add(ctx, timeout, &timedCall{})
}

// beginPoll is begin for a call that waits at its worker and is to be answered within a
// margin after that.
func (c *callClock) beginPoll(ctx context.Context, wait, margin time.Duration) (context.Context, *timedCall) {
	return c.add(ctx, wait+margin, &timedCall{poll: true, answerDue: wait})
}

// add adds a call, whose times count from now.
func (c *callClock) add(ctx context.Context, timeout time.Duration, t *timedCall) (context.Context, *timedCall) {
	ctx, cancel := context.WithCancelCause(ctx)
	now := c.timers.Now()
	ctx = timer.WithSoftDeadline(ctx, now.Add(timeout))
	c.mu.Lock()
	defer c.mu.Unlock()
	t.clock, t.cancel = c, cancel
	t.begun = c.delay + c.pending(now)
	elapsed := now.Sub(c.start) - t.begun
	t.deadline = elapsed + timeout
	t.answerDue += elapsed
	heap.Push(&c.calls, t)
	return ctx, t
}

// expire ends a call that has timed out. The caller holds the mutex of the clock.
func (t *timedCall) expire() {
	t.timedOut = true
	t.cancel(errCallTimeout)
}

// callEnd tells how a call has ended.
type callEnd struct {
	timedOut bool
	// delayed is the local delay during the call.
	delayed time.Duration
}

// end releases the resources of a call that has returned.
func (t *timedCall) end() callEnd {
	t.cancel(nil)
	c := t.clock
	now := c.timers.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	delay := c.delay + c.pending(now)
	t.returned = true
	if !t.timedOut {
		c.answeredAt, c.silence = now.Sub(c.start)-delay, 0
	}
	return callEnd{timedOut: t.timedOut, delayed: delay - t.begun}
}

// callHeap orders calls by deadline.
type callHeap []*timedCall

func (h callHeap) Len() int           { return len(h) }
func (h callHeap) Less(i, j int) bool { return h[i].deadline < h[j].deadline }
func (h callHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *callHeap) Push(x any) { *h = append(*h, x.(*timedCall)) }

// Pop implements heap.Interface.
func (h *callHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
