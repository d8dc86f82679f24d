package cell

import (
	"math"
	"time"
)

const (
	// maxQueuedStarts limits the starts in the dispatch queue. They hold
	// capacity on workers, and tickets that expire.
	maxQueuedStarts = 512
	// maxDispatchWait is how long a start may have been in the dispatch queue
	// before no more tasks are placed.
	maxDispatchWait = 250 * time.Millisecond
	// unlimitedStarts is the limit of a cell that was given no limit.
	unlimitedStarts = math.MaxInt
)

// dispatchQueue holds the runs whose start may be sent, in order. The owner
// sends only a limited number of starts at a time, so the content of a start is
// determined when it leaves the queue and not when it enters.
type dispatchQueue struct {
	// parts holds the runs of each class. Those of a class go before all of later
	// classes.
	parts [startClasses]runQueue
	// limit is how many starts may be sent now.
	limit int
}

// runQueue is one part of the dispatch queue. Runs that were given up stay in
// it until they reach its head.
type runQueue struct {
	runs []*run
	// waiting counts the runs that were not given up.
	waiting int
}

// LimitStarts sets how many starts may be sent until the next call.
func (c *Cell) LimitStarts(limit int) { c.dispatch.limit = limit }

// enqueueStart appends a run to the dispatch queue.
func (c *Cell) enqueueStart(now time.Time, r *run) {
	if r.queued {
		return
	}
	r.queued = true
	r.queuedAt = now
	c.observe(StageRecord, r.task.step.job, now.Sub(r.plannedAt))
	part := &c.dispatch.parts[r.class]
	part.waiting++
	part.runs = append(part.runs, r)
}

// remove marks a run as no longer queued.
func (q *dispatchQueue) remove(r *run) {
	if r.queued {
		r.queued = false
		q.parts[r.class].waiting--
	}
}

// pop removes and returns the next run, or returns nil.
func (q *dispatchQueue) pop() *run {
	for class := range q.parts {
		part := &q.parts[class]
		for len(part.runs) > 0 {
			r := part.runs[0]
			part.runs[0] = nil
			part.runs = part.runs[1:]
			if r.queued {
				q.remove(r)
				return r
			}
		}
	}
	return nil
}

// full reports whether no more tasks of a class should be placed, because too many
// placed ones wait to be sent. Tasks do not wait for those of later classes, and
// urgent tasks, however late, wait neither for startOther nor for startExcess.
func (q *dispatchQueue) full(now time.Time, class startClass) bool {
	waiting := 0
	for earlier := range class + 1 {
		if class == startExpiredUrgent && (earlier == startOther || earlier == startExcess) {
			continue
		}
		part := &q.parts[earlier]
		waiting += part.waiting
		if waiting >= maxQueuedStarts || part.oldestWait(now) > maxDispatchWait {
			return true
		}
	}
	return false
}

// len returns the number of runs that wait to be sent, and longestWait how long the
// first of them has waited.
func (q *dispatchQueue) len() int {
	n := 0
	for class := range q.parts {
		n += q.parts[class].waiting
	}
	return n
}

func (q *dispatchQueue) longestWait(now time.Time) time.Duration {
	longest := time.Duration(0)
	for class := range q.parts {
		longest = max(longest, q.parts[class].oldestWait(now))
	}
	return longest
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

// dispatchStarts sends as many queued starts as the limit allows. A run whose
// start would be refused or is no longer wanted is given up unsent.
func (c *Cell) dispatchStarts(now time.Time) {
	if !c.mayOrder(now) || c.unconfirmed {
		return
	}
	for c.dispatch.limit > 0 {
		r := c.dispatch.pop()
		if r == nil {
			return
		}
		switch {
		case !c.maySend(now, r):
			// The record is being written and queues the run again once
			// durable.
		case r.task.step.job.state.Final() || !c.usable(now, r.worker) || !c.stillFits(r) || c.exceedsCap(r) || !c.renewTicket(now, r):
			c.release(now, r, EndStopped)
		default:
			if c.dispatch.limit != unlimitedStarts {
				c.dispatch.limit--
			}
			c.sendStart(now, r)
		}
	}
}

// maySend reports whether the record of a run is durable, or its start may be
// sent before that.
func (c *Cell) maySend(now time.Time, r *run) bool {
	early := r.early && c.earlyStarts.allowed[r.worker.id] && c.confirmedWithin(now, earlyStartAuthority)
	return early || r.revision <= r.task.step.job.durable
}

// renewTicket gives a run the newest ticket for its worker, and reports false
// if no ticket is valid for long enough.
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
