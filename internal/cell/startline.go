package cell

import (
	"math"
	"time"
)

const (
	// maxUnsent bounds the runs that have a place and whose start has not been
	// sent. They hold room at workers, and tickets that run out.
	maxUnsent = 512
	// maxLineWait is how long a start may have waited in the line until no more
	// tasks are placed. A ticket lasts several times as long.
	maxLineWait = 250 * time.Millisecond
	// anyNumber of starts may be sent by a cell that was told no limit.
	anyNumber = math.MaxInt
)

// startLine holds the runs whose start may be sent, in the order of their turn.
// They wait for the owner, which sends only so many starts at once, so what a
// start says is decided when it leaves the line and not when it joins.
type startLine struct {
	// urgent holds the runs of the first priority, which go before all others.
	urgent []*run
	others []*run
	// limit is how many starts may be sent now.
	limit int
	// unsent counts the runs that have a place and whose start was not sent.
	unsent int
}

// LimitStarts tells how many starts may be sent until it is called again.
func (c *Cell) LimitStarts(limit int) { c.line.limit = limit }

// join puts a run at the end of the line.
func (c *Cell) join(now time.Time, r *run) {
	if r.inLine {
		return
	}
	r.inLine = true
	r.joinedAt = now
	c.observe(StageRecord, r.task.step.job, now.Sub(r.plannedAt))
	if c.queueOf(r.task.step.job).Priority == 0 {
		c.line.urgent = append(c.line.urgent, r)
		return
	}
	c.line.others = append(c.line.others, r)
}

// next takes the run out of the line whose turn it is, or returns nil.
func (l *startLine) next() *run {
	from := &l.urgent
	if len(l.urgent) == 0 {
		from = &l.others
	}
	if len(*from) == 0 {
		return nil
	}
	r := (*from)[0]
	(*from)[0] = nil
	*from = (*from)[1:]
	r.inLine = false
	return r
}

// full reports whether no more tasks should be placed, since those that have a
// place wait to be sent.
func (l *startLine) full(now time.Time) bool {
	if l.unsent >= maxUnsent {
		return true
	}
	return l.wait(now) > maxLineWait
}

// wait returns how long the start has waited that waits longest.
func (l *startLine) wait(now time.Time) time.Duration {
	longest := time.Duration(0)
	for _, part := range [][]*run{l.urgent, l.others} {
		if len(part) > 0 {
			longest = max(longest, now.Sub(part[0].joinedAt))
		}
	}
	return longest
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
		case r.task.current != r || r.phase != runPlanned:
			// released, or sent ahead of its record
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

// leavePlanned notes that a run is no longer one whose start was not sent.
func (c *Cell) leavePlanned(r *run) {
	if r.phase == runPlanned {
		c.line.unsent--
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
