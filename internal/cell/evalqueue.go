package cell

import (
	"slices"
	"time"
)

// evaluationQueue holds the open steps in the order in which they get room, and says at which
// of them the next decisions look. A step that has found no worker is left
// alone until something changes that can help it, so that a decision costs no more
// while many steps wait.
type evaluationQueue struct {
	// all holds the open steps.
	all stepList
	// pending holds the steps that the pending decisions look at.
	pending stepList
	// unplaceable holds the steps for which no worker is left to start on or to ask about.
	unplaceable stepList
	// freedWorkers holds the workers that may have got room since the last decision.
	freedWorkers []*worker
	// timers holds when steps are due to be looked at, the earliest first.
	timers []stepTimer
	// sweepCursor is the key of the last step that a sweep has come to.
	sweepCursor stepKey
	// round counts the decisions.
	round uint64
	// ranksStale is set while the ranks may have changed with the manifest.
	ranksStale bool
}

// stepTimer is a time at which the rank of a step changes, or what may be done for it.
type stepTimer struct {
	at   time.Time
	step *stepState
}

const (
	// maxEvaluations is how many steps a decision looks at; the next one goes on.
	maxEvaluations = 40
	// maxOffers is how many steps of a kind a worker with new room is offered to.
	maxOffers = 30
	// sweepFirst and sweepOthers are how many steps are looked at in any case at each
	// tick: the first ones, and others in turn.
	sweepFirst    = 8
	sweepRotating = 24
	// justAfter makes an alarm of a time that has to be past.
	justAfter = 1 * time.Nanosecond
)

// openStep notes that a step has tasks to place.
func (c *Cell) openStep(now time.Time, s *stepState) {
	if !s.open {
		s.open = true
		s.key = stepKey{c.rank(now, s), s.id}
		c.openSteps[s.id] = s
		c.evalQueue.all.add(s)
		for _, l := range c.allowedStepLists(s) {
			l.add(s)
		}
		c.setTimers(now, s)
	}
	c.markStep(s)
}

// closeStep notes that a step has no tasks to place.
func (c *Cell) closeStep(s *stepState) {
	if !s.open {
		return
	}
	for _, l := range c.stepLists(s) {
		l.remove(s)
	}
	s.open = false
	delete(c.openSteps, s.id)
}

// allowedStepLists returns the lists of the workers that a step is allowed on.
func (c *Cell) allowedStepLists(s *stepState) []*stepList {
	var out []*stepList
	for _, id := range s.advice.allowedIDs {
		if w, known := c.workers[id]; known {
			out = append(out, &w.allowedSteps)
		}
	}
	return out
}

// stepLists returns the lists that may hold a step.
func (c *Cell) stepLists(s *stepState) []*stepList {
	return append(c.allowedStepLists(s), &c.evalQueue.all, &c.evalQueue.pending, &c.urgentQuestions.waiting, &c.longQuestions.waiting, &c.evalQueue.unplaceable)
}

// markStep has the next decision look at a step.
func (c *Cell) markStep(s *stepState) {
	if s.open {
		c.evalQueue.pending.add(s)
		c.placementPending = true
	}
}

// markAllSteps has the next decisions look at all steps.
func (c *Cell) markAllSteps() {
	for _, s := range c.evalQueue.all.steps {
		c.evalQueue.pending.add(s)
	}
	c.placementPending = true
}

// rerank gives a step the place that its rank asks for now, and reports whether it
// is another one.
func (c *Cell) rerank(now time.Time, s *stepState) bool {
	key := stepKey{c.rank(now, s), s.id}
	if key.compare(s.key) == 0 {
		return false
	}
	lists := slices.DeleteFunc(c.stepLists(s), func(l *stepList) bool { return !l.remove(s) })
	s.key = key
	for _, l := range lists {
		l.add(s)
	}
	return true
}

// setTimers notes when the rank of a step changes, and when it may preempt.
func (c *Cell) setTimers(now time.Time, s *stepState) {
	q := c.queueOf(s.job)
	if q.Priority == 0 {
		c.setTimer(now, s, s.readyAt.Add(preemptAfter))
	}
	if s.spec.LongRunning {
		c.setTimer(now, s, s.readyAt.Add(longRunningWait+justAfter))
		return
	}
	c.setTimer(now, s, s.waitStart().Add(expiredFactor*Objective(s.job.job, q)+justAfter))
}

// setTimer has a step looked at when a time has come that is not past.
func (c *Cell) setTimer(now time.Time, s *stepState, at time.Time) {
	if at.Before(now) {
		return
	}
	alarms := c.evalQueue.timers
	i, _ := slices.BinarySearchFunc(alarms, at, func(a stepTimer, at time.Time) int { return a.at.Compare(at) })
	c.evalQueue.timers = slices.Insert(alarms, i, stepTimer{at, s})
}

// fireTimers marks the steps whose time has come.
func (c *Cell) fireTimers(now time.Time) {
	due := 0
	for due < len(c.evalQueue.timers) && !now.Before(c.evalQueue.timers[due].at) {
		if s := c.evalQueue.timers[due].step; s.open {
			c.rerank(now, s)
			c.evalQueue.pending.add(s)
		}
		due++
	}
	c.evalQueue.timers = slices.Delete(c.evalQueue.timers, 0, due)
}

// refreshRanks ranks all steps anew after a change of the manifest.
func (c *Cell) refreshRanks(now time.Time) {
	if !c.evalQueue.ranksStale {
		return
	}
	c.evalQueue.ranksStale = false
	for _, s := range slices.Clone(c.evalQueue.all.steps) {
		if c.rerank(now, s) {
			c.setTimers(now, s)
		}
	}
	c.markAllSteps()
}

// sweep has some steps looked at whatever has changed, and notes the workers
// that have become usable since the last sweep.
func (c *Cell) sweep(now time.Time) {
	for _, w := range c.sortedWorkers {
		usable := c.usable(now, w)
		if usable && !w.usableAtSweep {
			c.capacityFreed(w)
		}
		w.usableAtSweep = usable
	}
	all := &c.evalQueue.all
	if all.len() == 0 {
		return
	}
	for _, s := range all.first(sweepFirst) {
		c.markStep(s)
	}
	at := all.find(c.evalQueue.sweepCursor)
	for range min(sweepRotating, all.len()) {
		at++
		if at >= all.len() {
			at = 0
		}
		c.markStep(all.steps[at])
	}
	c.evalQueue.sweepCursor = all.steps[at].key
}
