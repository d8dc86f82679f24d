package cell

import (
	"math"
	"time"
)

const (
	// maxQueuedStarts bounds the starts that wait to be sent. They hold room at workers,
	// and tickets that run out.
	maxQueuedStarts = 512
	// maxDispatchWait is how long a start may have waited in the line until no more
	// tasks are placed.
	maxDispatchWait = 250 * time.Millisecond
	// unlimitedStarts of starts may be sent by a cell that was told no limit.
	unlimitedStarts = math.MaxInt
)

// dispatchQueue holds the runs whose start may be sent, in the order of their turn.
// They wait for the owner, which sends only so many starts at once, so what a
// start says is decided when it leaves the line and not when it joins.
type dispatchQueue struct {
	// urgent holds the runs of the first priority, which go before all others.
	urgent runQueue
	others runQueue
	// limit is how many starts may be sent now.
	limit int
}

// runQueue is a part of the line. Runs that were given up stay in it until their turn.
type runQueue struct {
	runs []*run
	// waiting counts the runs that were not given up.
	waiting int
}

// LimitStarts tells how many starts may be sent until it is called again.
func (c *Cell) LimitStarts(limit int) { c.dispatch.limit = limit }

// of returns the part of the line that a run belongs to.
func (l *dispatchQueue) of(r *run) *runQueue {
	if r.urgent {
		return &l.urgent
	}
	return &l.others
}

// enqueueStart puts a run at the end of the line.
func (c *Cell) enqueueStart(now time.Time, r *run) {
	if r.queued {
		return
	}
	r.queued = true
	r.queuedAt = now
	c.observe(StageRecord, r.task.step.job, now.Sub(r.plannedAt))
	part := c.dispatch.of(r)
	part.waiting++
	part.runs = append(part.runs, r)
}

// remove notes that a run waits in the line no more.
func (l *dispatchQueue) remove(r *run) {
	if r.queued {
		r.queued = false
		l.of(r).waiting--
	}
}

// pop takes the run out of the line whose turn it is, or returns nil.
func (l *dispatchQueue) pop() *run {
	for _, part := range []*runQueue{&l.urgent, &l.others} {
		for len(part.runs) > 0 {
			r := part.runs[0]
			part.runs[0] = nil
			part.runs = part.runs[1:]
			if r.queued {
				l.remove(r)
				return r
			}
		}
	}
	return nil
}

// full reports whether no more tasks should be placed, urgent ones or others, since
// those that have a place wait to be sent. Urgent ones do not wait for others.
func (l *dispatchQueue) full(now time.Time, urgent bool) bool {
	if l.urgent.waiting >= maxQueuedStarts || l.urgent.oldestWait(now) > maxDispatchWait {
		return true
	}
	return !urgent && (l.urgent.waiting+l.others.waiting >= maxQueuedStarts || l.others.oldestWait(now) > maxDispatchWait)
}

// oldestWait returns how long the first run has waited.
func (q *runQueue) oldestWait(now time.Time) time.Duration {
	for _, r := range q.runs {
		if r.queued {
			return now.Sub(r.queuedAt)
		}
	}
	return 0
}

// dispatchStarts sends the starts whose turn it is. A run whose start would be
// refused, or is no longer wanted, is given up unsent.
func (c *Cell) dispatchStarts(now time.Time) {
	for c.dispatch.limit > 0 {
		r := c.dispatch.pop()
		if r == nil {
			return
		}
		switch {
		case !c.maySend(r):
			// its record is on the way and brings it back into the line
		case r.task.step.job.state.Final() || !c.usable(now, r.worker) || !c.renewTicket(now, r):
			c.release(now, r, EndStopped)
		default:
			if c.dispatch.limit != unlimitedStarts {
				c.dispatch.limit--
			}
			c.sendStart(now, r)
		}
	}
}

// maySend reports whether the record of a run is durable, or its start may go
// ahead of it.
func (c *Cell) maySend(r *run) bool {
	return r.revision <= r.task.step.job.durable || r.early && c.earlyStarts.allowed[r.worker.id]
}

// renewTicket gives a run the newest ticket of its worker, and reports false if
// there is none that is valid for long enough.
func (c *Cell) renewTicket(now time.Time, r *run) bool {
	s := r.task.step
	if !c.queueOf(s.job).Advice.Needed() {
		return true
	}
	if !s.advice.hasTicket(now, r.worker) {
		return false
	}
	r.ticket = s.advice.allowed[r.worker.id].value
	return true
}
