package cell

import (
	"slices"
	"time"
)

// succeededEarlier handles the success of a run of a task other than its current one, if
// it has one. The current run is stopped. The task is done once no start of it can be
// accepted any more: nobody may be told before that it is done, and the success is not
// acknowledged.
func (c *Cell) succeededEarlier(now time.Time, t *task) {
	for _, member := range t.completedTogether() {
		member.succeeded = true
		if member.current != nil {
			c.stop(now, member.current)
		}
	}
	c.recordChanged(t.step.job)
	if c.settleSuccess(now, t) {
		return
	}
	c.unsettled = append(c.unsettled, t)
	if t.phase == phaseWaiting {
		c.withhold(t)
	}
}

// withhold keeps a waiting task from being placed.
func (c *Cell) withhold(t *task) {
	t.phase = phaseActive
	t.step.waiting--
	if t.step.waiting == 0 {
		c.closeStep(t.step)
	}
}

// completedTogether returns the tasks that a success completes: all members of a gang.
func (t *task) completedTogether() []*task {
	if t.step.spec.Gang {
		return t.step.tasks
	}
	return []*task{t}
}

// settleSuccess completes a task that has succeeded in an earlier run, and reports
// whether nothing is left to do.
func (c *Cell) settleSuccess(now time.Time, t *task) bool {
	if t.phase == phaseDone || t.step.job.state.Final() {
		return true
	}
	if slices.ContainsFunc(t.completedTogether(), c.startInFlight) {
		return false
	}
	for _, member := range t.completedTogether() {
		if member.current != nil {
			c.stop(now, member.current)
		}
	}
	c.completeTask(now, t)
	return true
}

// settled reports whether a task that has succeeded in an earlier run is done, or its job
// has ended, and no start of it is in flight.
func (c *Cell) settled(t *task) bool {
	decided := t.phase == phaseDone || t.step.job.state.Final()
	return decided && !slices.ContainsFunc(t.completedTogether(), c.startInFlight)
}

// settleSuccesses completes the tasks that have succeeded in an earlier run and of which
// no start is in flight any more.
func (c *Cell) settleSuccesses(now time.Time) {
	unsettled := c.unsettled
	c.unsettled = nil
	for _, t := range unsettled {
		if !c.settleSuccess(now, t) {
			c.unsettled = append(c.unsettled, t)
		}
	}
}

// restoreSuccesses restores the tasks of an occurrence that have succeeded in an earlier run
// while a later run of them is on record. They are done once the outcome of the later run is
// known, or at once if a task of a dependent step has already been started.
func (c *Cell) restoreSuccesses(steps []*stepState) {
	for _, s := range steps {
		relied := reliedOn(s, steps)
		for _, t := range s.tasks {
			switch {
			case !t.succeeded:
			case relied:
				s.markDone(t)
			default:
				c.unsettled = append(c.unsettled, t)
			}
		}
	}
}

// reliedOn reports whether a task of a step that depends on the given one has been started.
func reliedOn(s *stepState, steps []*stepState) bool {
	return slices.ContainsFunc(steps, func(later *stepState) bool {
		return slices.Contains(later.spec.After, s.id.Step) &&
			slices.ContainsFunc(later.tasks, func(t *task) bool { return t.lastRun > 0 })
	})
}

// startInFlight reports whether a worker may accept a start of a task later. Once a worker
// has reported to this owner, its fence refuses the starts of predecessors: an inherited
// run is found started or is released, and an early start is found or was not made. Gangs
// are not started early.
func (c *Cell) startInFlight(t *task) bool {
	if r := t.current; r != nil {
		return r.phase == runSent || r.phase == runUncertain || r.phase == runInherited
	}
	return c.awaitingWorkers() && !t.step.spec.Gang || c.earlyStarts.unrecorded[t.id] != nil
}
