package cell

import (
	"math"
	"time"
)

const (
	// maxInLine bounds the starts that wait to be sent. They hold room at workers,
	// and tickets that run out.
	maxInLine = 512
	// maxLineWait is how long a start may have waited in the line until no more
	// tasks are placed.
	maxLineWait = 250 * time.Millisecond
	// anyNumber of starts may be sent by a cell that was told no limit.
	anyNumber = math.MaxInt
)

// startLine holds the runs whose start may be sent, in the order of their turn.
// They wait for the owner, which sends only so many starts at once, so what a
// start says is decided when it leaves the line and not when it joins.
type startLine struct {
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
func (c *Cell) LimitStarts(limit int) { c.line.limit = limit }

// of returns the part of the line that a run belongs to.
func (l *startLine) of(r *run) *runQueue {
	if r.urgent {
		return &l.urgent
	}
	return &l.others
}

// join puts a run at the end of the line.
func (c *Cell) join(now time.Time, r *run) {
	if r.inLine {
		return
	}
	r.inLine = true
	r.joinedAt = now
	c.observe(StageRecord, r.task.step.job, now.Sub(r.plannedAt))
	part := c.line.of(r)
	part.waiting++
	part.runs = append(part.runs, r)
}

// leave notes that a run waits in the line no more.
func (l *startLine) leave(r *run) {
	if r.inLine {
		r.inLine = false
		l.of(r).waiting--
	}
}

// next takes the run out of the line whose turn it is, or returns nil.
func (l *startLine) next() *run {
	for _, part := range []*runQueue{&l.urgent, &l.others} {
		for len(part.runs) > 0 {
			r := part.runs[0]
			part.runs[0] = nil
			part.runs = part.runs[1:]
			if r.inLine {
				l.leave(r)
				return r
			}
		}
	}
	return nil
}

// full reports whether no more tasks should be placed, urgent ones or others, since
// those that have a place wait to be sent. Urgent ones do not wait for others.
func (l *startLine) full(now time.Time, urgent bool) bool {
	if l.urgent.waiting >= maxInLine || l.urgent.wait(now) > maxLineWait {
		return true
	}
	return !urgent && (l.urgent.waiting+l.others.waiting >= maxInLine || l.others.wait(now) > maxLineWait)
}

// wait returns how long the first run has waited.
func (q *runQueue) wait(now time.Time) time.Duration {
	for _, r := range q.runs {
		if r.inLine {
			return now.Sub(r.joinedAt)
		}
	}
	return 0
}

// sendFromLine sends the starts whose turn it is. A run whose start would be
// refused, or is no longer wanted, is given up unsent.
func (c *Cell) sendFromLine(now time.Time) {
	for c.line.limit > 0 {
		r := c.line.next()
		if r == nil {
			return
		}
		switch {
		case !c.maySend(r):
			// its record is on the way and brings it back into the line
		case r.task.step.job.state.Final() || !c.usable(now, r.worker) || !c.renewTicket(now, r):
			c.release(now, r, EndStopped)
		default:
			if c.line.limit != anyNumber {
				c.line.limit--
			}
			c.sendStart(now, r)
		}
	}
}

// maySend reports whether the record of a run is durable, or its start may go
// ahead of it.
func (c *Cell) maySend(r *run) bool {
	return r.revision <= r.task.step.job.durable || r.ahead && c.ahead.allowed[r.worker.id]
}

// renewTicket gives a run the newest ticket of its worker, and reports false if
// there is none that is valid for long enough.
func (c *Cell) renewTicket(now time.Time, r *run) bool {
	s := r.task.step
	if !c.queueOf(s.job).Advice.Needed() {
		return true
	}
	if !s.advice.valid(now, r.worker) {
		return false
	}
	r.ticket = s.advice.allowed[r.worker.id].value
	return true
}
