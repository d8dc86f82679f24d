package cell

import (
	"slices"
	"time"
)

// evaluationQueue holds the open steps in rank order and determines which of
// them the next decisions evaluate. A step for which no worker was found is not
// evaluated again until a change may help it, so the cost of a decision does
// not grow with the backlog.
type evaluationQueue struct {
	// all holds the open steps.
	all stepList
	// pending holds the steps that the next decisions evaluate.
	pending classifiedSteps
	// unplaceable holds the steps that have no worker left to start on or to
	// ask about.
	unplaceable stepList
	// freedWorkers holds the workers that may have gained free capacity since
	// the last decision.
	freedWorkers []*worker
	// freedAccounts has what waits for the caps of accounts whose use has fallen.
	freedAccounts []*capWaits
	// timers holds when steps are due to be evaluated.
	timers stepTimers
	// sweepCursor is the key of the last step that a sweep reached.
	sweepCursor stepKey
	// round counts the decisions.
	round uint64
	// ranksStale is set when the ranks may have changed with the manifest.
	ranksStale bool
}

const (
	// maxEvaluations is how many steps one decision evaluates; the next
	// decision continues with the rest.
	maxEvaluations = 40
	// maxOffers is how many steps of each kind a worker with new free capacity
	// is offered to: steps allowed on it, and unplaceable steps.
	maxOffers = 30
	// sweepFirst and sweepRotating are how many steps each tick marks
	// regardless of changes: the first ones, and others in rotation.
	sweepFirst    = 8
	sweepRotating = 24
	// justAfter is added to a time that has to be past when its timer fires.
	justAfter = 1 * time.Nanosecond
)

// openStep records that a step has tasks to place, and marks it for evaluation.
func (c *Cell) openStep(now time.Time, s *stepState) {
	if !s.open {
		s.open = true
		s.key = stepKey{c.rank(now, s), s.id}
		s.class = c.startClassOf(s, s.key.rank)
		c.openSteps[s.id] = s
		c.evalQueue.all.add(s)
		for _, l := range c.allowedStepLists(s) {
			l.add(s)
		}
		c.setTimers(now, s)
	}
	c.markStep(s)
}

// closeStep records that a step has no tasks to place.
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

// allowedStepLists returns the lists of allowed steps of the workers that a
// step is allowed on.
func (c *Cell) allowedStepLists(s *stepState) []*stepList {
	var out []*stepList
	for _, id := range s.advice.allowedIDs {
		if w, known := c.workers[id]; known {
			out = append(out, &w.allowedSteps)
		}
	}
	return out
}

// sortedSteps is a list of open steps.
type sortedSteps interface {
	add(s *stepState)
	remove(s *stepState) bool
}

// stepLists returns all lists that may contain a step.
func (c *Cell) stepLists(s *stepState) []sortedSteps {
	out := []sortedSteps{&c.evalQueue.all, &c.evalQueue.pending, &c.urgentQuestions.waiting, &c.longQuestions.waiting, &c.evalQueue.unplaceable}
	for _, l := range c.allowedStepLists(s) {
		out = append(out, l)
	}
	if waits := c.capWaitsOf(s); waits != nil {
		out = append(out, &waits.steps)
	}
	return out
}

// markStep marks a step for evaluation by the next decision.
func (c *Cell) markStep(s *stepState) {
	if s.open && !c.holdBack(s) {
		c.evalQueue.pending.add(s)
		c.placementPending = true
	}
}

// markAllSteps marks all open steps for evaluation by the next decisions.
func (c *Cell) markAllSteps() {
	for _, s := range c.evalQueue.all.steps {
		c.markStep(s)
	}
	c.placementPending = true
}

// rerank moves a step to the position of its current rank and to its current class,
// and reports whether either has changed.
func (c *Cell) rerank(now time.Time, s *stepState) bool {
	key := stepKey{c.rank(now, s), s.id}
	class := c.startClassOf(s, key.rank)
	if key.compare(s.key) == 0 && class == s.class {
		return false
	}
	lists := slices.DeleteFunc(c.stepLists(s), func(l sortedSteps) bool { return !l.remove(s) })
	s.key, s.class = key, class
	for _, l := range lists {
		l.add(s)
	}
	return true
}

// setTimers sets timers for the times when the rank of a step changes, also at its virtual
// arrival, and when it may preempt.
func (c *Cell) setTimers(now time.Time, s *stepState) {
	q := c.queueOf(s.job)
	if now.Before(s.job.arrival) {
		c.setTimer(now, s, s.job.arrival)
	}
	if q.Priority == 0 {
		c.setTimer(now, s, s.readyAt.Add(preemptAfter))
		c.setTimer(now, s, s.readyAt.Add(preemptWhileAsking))
	}
	if s.spec.LongRunning {
		c.setTimer(now, s, s.readyAt.Add(longRunningWait+justAfter))
		return
	}
	c.setTimer(now, s, s.waitStart().Add(expiredFactor*Objective(s.job.job, q)+justAfter))
}

// setTaskTimers sets timers for the times from which a waiting task may use the
// worker that it avoids, and from which a suspect is placed in other ways.
func (c *Cell) setTaskTimers(now time.Time, t *task) {
	if t.avoidWorker != "" {
		c.setTimer(now, t.step, t.waitingSince.Add(avoidDuration+justAfter))
	}
	c.awaitIsolation(now, t)
}

// setTimer has a step evaluated at the given time, unless that is past.
func (c *Cell) setTimer(now time.Time, s *stepState, at time.Time) {
	if at.Before(now) {
		return
	}
	c.evalQueue.timers.push(stepTimer{at, s})
}

// fireTimers marks the steps whose timers are due.
func (c *Cell) fireTimers(now time.Time) {
	for timer, due := c.evalQueue.timers.popDue(now); due; timer, due = c.evalQueue.timers.popDue(now) {
		if s := timer.step; s.open {
			c.rerank(now, s)
			c.markStep(s)
		}
	}
}

// refreshRanks recomputes the rank of every open step after a change of the
// manifest.
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

// offerNewlyUsable offers the workers that have become usable since the last tick.
func (c *Cell) offerNewlyUsable(now time.Time) {
	for _, w := range c.sortedWorkers {
		usable := c.usable(now, w)
		if usable && !w.usableAtTick {
			c.capacityFreed(w)
		}
		w.usableAtTick = usable
	}
}

// sweep marks some steps for evaluation regardless of changes.
func (c *Cell) sweep() {
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
