package cell

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/job"
)

// capacityFreed records that a worker may have more free capacity than at the
// last decision.
func (c *Cell) capacityFreed(w *worker) {
	if !w.offerPending {
		w.offerPending = true
		c.evalQueue.freedWorkers = append(c.evalQueue.freedWorkers, w)
	}
	c.placementPending = true
}

// offerFreedWorkers marks the steps that workers with new free capacity may
// help. A worker whose free capacity is offered to other steps, so that a step
// was passed over, remains freed and is offered again.
func (c *Cell) offerFreedWorkers(now time.Time) {
	remaining := c.evalQueue.freedWorkers[:0]
	for _, w := range c.evalQueue.freedWorkers {
		// A worker that is not usable is offered by the first tick that finds
		// it usable.
		w.usableAtTick = c.usable(now, w)
		if w.usableAtTick {
			c.usableNow.addRecent(w)
		}
		w.offerPending = w.usableAtTick && c.offerSteps(now, w)
		if w.offerPending {
			remaining = append(remaining, w)
		}
	}
	c.evalQueue.freedWorkers = remaining
}

// offerSteps marks the steps that a worker can help, in rank order, until its
// free capacity is fully claimed. These are the steps that are allowed on the
// worker and the unplaceable steps. It reports whether it passed over a step
// that would have capacity if the steps before it did not use theirs.
func (c *Cell) offerSteps(now time.Time, w *worker) (passedOver bool) {
	unclaimed := w.freeCapacity()
	allowed, unplaceable := c.firstUnblocked(&w.allowedSteps, maxOffers), c.firstUnblocked(&c.evalQueue.unplaceable, maxOffers)
	for len(allowed)+len(unplaceable) > 0 {
		var s *stepState
		if len(unplaceable) == 0 || len(allowed) > 0 && allowed[0].key.compare(unplaceable[0].key) <= 0 {
			s, allowed = allowed[0], allowed[1:]
		} else {
			s, unplaceable = unplaceable[0], unplaceable[1:]
		}
		c.stepsEvaluated++
		if s.evaluatedIn == c.evalQueue.round || !c.canHost(w, s) {
			continue
		}
		tasks := min(s.capacityIn(w, unclaimed), int64(s.withinCap(job.Size{})))
		if tasks == 0 {
			passedOver = true
			continue
		}
		c.evalQueue.pending.add(s)
		if c.certainToPlace(now, w, s) {
			unclaimed = unclaimed.Sub(s.spec.Reserved().Times(tasks))
		}
	}
	return passedOver
}

// canHost reports whether a worker has capacity for a step that may be allowed
// on it.
func (c *Cell) canHost(w *worker, s *stepState) bool {
	return s.waiting > 0 && !s.advice.denied[w.id] && w.registration.Service == c.queueOf(s.job).Service &&
		s.fits(w) && s.capacityOn(w) > 0
}

// certainToPlace reports whether a step certainly uses capacity that it is
// offered. Otherwise it may have to ask for advice first, may find too little
// capacity for a whole gang, may avoid the worker, or waits for the dispatch queue.
func (c *Cell) certainToPlace(now time.Time, w *worker, s *stepState) bool {
	if c.queueOf(s.job).Advice.Needed() && !s.advice.hasTicket(now, w) || s.spec.Gang || c.awaitingWorkers() || s.job.member.Limited() && c.mayHaveJobsOfPredecessor(now) || len(c.earlyStarts.unrecorded) > 0 || c.dispatch.full(now, s.class) {
		return false
	}
	for _, t := range s.tasks {
		if t.phase == phaseWaiting && (t.avoidWorker == w.id || t.suspect()) {
			return false
		}
	}
	return true
}
