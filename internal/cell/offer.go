package cell

import (
	"time"
)

// gotRoom notes that a worker may have more room than at the last decision.
func (c *Cell) gotRoom(w *worker) {
	if !w.offering {
		w.offering = true
		c.agenda.freed = append(c.agenda.freed, w)
	}
	c.reconsider = true
}

// offerFreed marks the steps that the workers with new room can help. The workers
// that have turned a step down, since others should take the room, stay freed.
func (c *Cell) offerFreed(now time.Time) {
	again := c.agenda.freed[:0]
	for _, w := range c.agenda.freed {
		// If it is not usable, the first sweep that finds it so offers it.
		w.wasUsable = c.usable(now, w)
		w.offering = w.wasUsable && c.offer(now, w)
		if w.offering {
			again = append(again, w)
		}
	}
	c.agenda.freed = again
}

// offer marks the steps that a worker can help, the most pressing ones first,
// until its room is spoken for. These are steps that are allowed there, and steps
// that had no worker left to start on or to ask about. It reports whether it has
// turned a step down that there is room for if the others don't take it.
func (c *Cell) offer(now time.Time, w *worker) (turnedDown bool) {
	unclaimed := w.free()
	allowed, short := w.wanted.first(maxOffers), c.agenda.short.first(maxOffers)
	for len(allowed)+len(short) > 0 {
		var s *stepState
		if len(short) == 0 || len(allowed) > 0 && allowed[0].key.compare(short[0].key) <= 0 {
			s, allowed = allowed[0], allowed[1:]
		} else {
			s, short = short[0], short[1:]
		}
		c.looked++
		if s.lookedIn == c.agenda.decision || !c.helps(w, s) {
			continue
		}
		room := min(s.roomIn(w, unclaimed), int64(s.waiting))
		if room == 0 {
			turnedDown = true
			continue
		}
		c.agenda.next.add(s)
		if c.surelyTakes(now, w, s) {
			unclaimed = unclaimed.Sub(s.spec.Reserved().Times(room))
		}
	}
	return turnedDown
}

// helps reports whether a worker has room for a step that may be allowed there.
func (c *Cell) helps(w *worker, s *stepState) bool {
	return s.waiting > 0 && !s.advice.denied[w.id] && w.registration.Service == c.queueOf(s.job).Service &&
		s.fits(w) && s.roomOn(w) > 0
}

// surelyTakes reports whether a step takes room that it is offered. Otherwise it may
// have to ask first, or find too little room for all of a gang, or avoid
// the worker.
func (c *Cell) surelyTakes(now time.Time, w *worker, s *stepState) bool {
	if c.queueOf(s.job).Advice.Needed() && !s.advice.valid(now, w) || s.spec.Gang || c.settling() || len(c.ahead.unrecorded) > 0 {
		return false
	}
	for _, t := range s.tasks {
		if t.phase == phaseWaiting && t.failedOn == w.id {
			return false
		}
	}
	return true
}
