package cell

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/interference"
)

const (
	// minInterferenceGain is by how much less another worker has to be penalized. Smaller
	// differences are within the error of what was learned.
	minInterferenceGain = 0.05
	// unknownServingLoss is the penalty that a serving task has at least on a worker that
	// serves, since serving tasks often interfere. Without it, an unknown neighbour
	// would be preferred to a known one of little harm.
	unknownServingLoss = 0.2
	// maxCompared limits the workers that are compared for one task.
	maxCompared = 64
)

// avoidInterference returns a worker with less interference than the best one, if another
// one suits the step as well except for its fit. Otherwise it returns the best one.
func (c *Cell) avoidInterference(now time.Time, s *stepState, best *worker, eligible []*worker, exclude WorkerID) *worker {
	m := c.interference.model
	if m == nil || best == nil || c.config.Policy.Fit != FitBest || !m.Known(classOf(s.spec)) {
		return best
	}
	if c.interferencePenalty(now, s, best) < minInterferenceGain {
		return best
	}
	other := c.leastInterference(now, s, best, eligible, exclude)
	if other == nil {
		return best
	}
	counter := CountAvoidable
	if c.config.Interference == interference.ModeAvoid {
		counter, best = CountAvoided, other
	}
	if !s.spec.Gang { // its members may not be placed
		c.observer.Count(counter)
	}
	return best
}

// leastInterference returns the worker with the least penalty among those that suit a step
// no worse than the best one except for their fit, or nil if none gains enough. Penalties
// are compared in steps of minInterferenceGain; of equal ones, the better score decides.
func (c *Cell) leastInterference(now time.Time, s *stepState, best *worker, eligible []*worker, exclude WorkerID) *worker {
	limit := c.comparedPenalty(now, s, best) - minInterferenceGain
	var least *worker
	var leastStep int
	var leastScore float64
	begin, compared, i := c.interference.nextCompared%len(eligible), 0, 0
	for ; i < len(eligible) && compared < maxCompared; i++ {
		w := eligible[(begin+i)%len(eligible)]
		if w == best || w.id == exclude || !s.hasRoom(w) || !s.suitsNoWorse(now, w, best) {
			continue
		}
		compared++
		penalty := c.comparedPenalty(now, s, w)
		if penalty > limit {
			continue
		}
		step, score := int(penalty/minInterferenceGain), c.config.Policy.scoreAt(now, s, w)
		if least == nil || step < leastStep || step == leastStep && score > leastScore {
			least, leastStep, leastScore = w, step, score
		}
	}
	c.interference.nextCompared = begin + i
	return least
}

// suitsNoWorse reports whether a worker is no worse for a step than another one in all that
// has precedence over interference: locality, health, the rack of a step whose tasks slow
// down across racks, and that best-effort tasks avoid serving ones.
func (s *stepState) suitsNoWorse(now time.Time, w, than *worker) bool {
	switch {
	case s.locality(w) < s.locality(than), w.health.avoidedSlowness(now) > than.health.avoidedSlowness(now):
		return false
	case s.spec.SameRack && w.registration.Rack() != than.registration.Rack():
		return false
	case s.spec.BestEffort && w.serves() && !than.serves():
		return false
	}
	return true
}

// comparedPenalty returns the penalty by which workers are compared.
func (c *Cell) comparedPenalty(now time.Time, s *stepState, w *worker) float64 {
	penalty := c.interferencePenalty(now, s, w)
	if s.spec.LatencyTarget > 0 && w.serves() {
		return max(penalty, unknownServingLoss)
	}
	return penalty
}

// interferencePenalty returns the loss that one more task of a step would cause and suffer
// on a worker. Runs that are being stopped do not count, and throttled ones count in full:
// beside more serving tasks they would stay throttled.
func (c *Cell) interferencePenalty(now time.Time, s *stepState, w *worker) float64 {
	beside := c.interference.beside[:0]
	for _, r := range w.runs.list {
		if !r.stopping {
			beside = addPresence(beside, classOf(r.task.step.spec), 1)
		}
	}
	c.interference.beside = beside
	return c.interference.model.Penalty(now, classOf(s.spec), beside)
}
