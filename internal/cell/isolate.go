package cell

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
)

// A suspect is a task that may have crashed a worker. Its next run is started
// alone on a worker, which shows whether it crashes this worker too, and costs
// the other tasks nothing if it does.

const (
	// suspectWait is how long a suspect waits for a worker that runs nothing.
	// Once aloneCrashLimit workers have crashed under it, its next run should
	// decide, so that it waits for decisionWait.
	suspectWait  = 1 * time.Second
	decisionWait = 5 * time.Second
	// isolationTime is how long the worker of a suspect gets no other starts.
	isolationTime = 3 * time.Second
	// maxIsolatedShare is the divisor of the number of workers that gives how
	// many may be kept for suspects at a time.
	maxIsolatedShare = 4
	// recentCrash is how long after a crash a machine counts as unreliable, so
	// that another crash there tells little about a task.
	recentCrash = 10 * time.Second
)

// suspect reports whether a task may have crashed a worker: it had just started
// there, or it was there repeatedly.
func (t *task) suspect() bool {
	for _, crash := range t.crashes {
		if crash.JustStarted {
			return true
		}
	}
	return len(t.crashes) > 1
}

// waitingSuspects returns how many suspects of a step have no run.
func (s *stepState) waitingSuspects() int {
	n := 0
	for _, t := range s.tasks {
		if t.phase == phaseWaiting && t.suspect() {
			n++
		}
	}
	return n
}

// mayIsolate reports whether one more worker may be kept for a suspect.
func (c *Cell) mayIsolate() bool {
	return c.isolatedWorkers < max(len(c.sortedWorkers)/maxIsolatedShare, 1)
}

// awaitIsolation has a waiting suspect evaluated when its wait for a worker that
// runs nothing ends.
func (c *Cell) awaitIsolation(now time.Time, t *task) {
	if t.phase == phaseWaiting && t.suspect() {
		lead := c.queueOf(t.step.job).Advice.Cost(1)
		for _, wait := range []time.Duration{t.maxIsolationWait(), lostRunWait} {
			c.setTimer(now, t.step, t.waitingSince.Add(wait-lead))
			c.setTimer(now, t.step, t.waitingSince.Add(wait))
		}
		c.markStep(t.step)
	}
}

// maxIsolationWait returns how long a suspect waits for a worker that runs nothing.
func (t *task) maxIsolationWait() time.Duration {
	if len(t.crashes) >= aloneCrashLimit {
		return decisionWait
	}
	return suspectWait
}

// workerForSuspect returns the worker for a suspect: one that runs nothing, or
// after its maxIsolationWait the one with the fewest runs. It returns nil if the
// suspect should wait.
func (c *Cell) workerForSuspect(now time.Time, t *task, eligible []*worker) *worker {
	waited := now.Sub(t.waitingSince)
	if t.awaitsLostRun(waited) || t.step.blockedByCap() {
		return nil
	}
	avoid := t.avoidWorker
	if waited > avoidDuration {
		avoid = ""
	}
	var best *worker
	for _, w := range eligible {
		if w.id != avoid && t.step.hasRoom(w) && (best == nil || w.saferFor(now, t.step, best)) {
			best = w
		}
	}
	switch {
	case best == nil || waited >= t.maxIsolationWait():
		return best
	case best.idle() && c.mayIsolate():
		return best
	case best.idle():
		c.awaitingIsolation[t.step.id] = t.step
	}
	return nil
}

// awaitsLostRun reports whether a task that is close to a limit still waits for
// what is heard of the machine of a lost run.
func (t *task) awaitsLostRun(waited time.Duration) bool {
	return len(t.lost) > 0 && len(t.crashes)+len(t.lost) > aloneCrashLimit && waited < lostRunWait
}

// adviceDemand returns for how many waiting tasks of a step advice is wanted now,
// and whether only about workers that run nothing. The ticket of another worker
// would expire while a suspect waits to be isolated, and the question would delay
// those of other steps.
func (c *Cell) adviceDemand(now time.Time, s *stepState, q *manifest.Queue) (tasks int, idleOnly bool) {
	if s.spec.Gang {
		return s.withinCap(job.Size{}), false
	}
	isolated, blocked := 0, 0
	for _, t := range s.tasks {
		if t.phase != phaseWaiting || !t.suspect() {
			continue
		}
		// The answer comes after the cost of the question at the earliest.
		waited := now.Sub(t.waitingSince) + q.Advice.Cost(1)
		switch {
		case t.awaitsLostRun(waited):
			blocked++
		case waited >= t.maxIsolationWait():
		case c.mayIsolate():
			isolated++
		default:
			blocked++
			c.awaitingIsolation[s.id] = s
		}
	}
	tasks = s.waiting - blocked
	return min(tasks, s.withinCap(job.Size{})), tasks > 0 && tasks == isolated
}

// saferFor reports whether a crash on the worker would cost less than one on
// another, or tell more.
func (w *worker) saferFor(now time.Time, s *stepState, other *worker) bool {
	if loss, otherLoss := w.crashLoss(), other.crashLoss(); loss != otherLoss {
		return loss < otherLoss
	}
	if recent := now.Sub(w.machineCrashedAt) < recentCrash; recent != (now.Sub(other.machineCrashedAt) < recentCrash) {
		return !recent
	}
	return s.score(w) > s.score(other)
}

// longRunLoss is the loss by the end of a run that is expensive to repeat,
// compared with that of another run.
const longRunLoss = 4

// crashLoss returns what a crash of the worker would cost.
func (w *worker) crashLoss() int {
	loss := 0
	if w.hasUnknownRuns() {
		loss++
	}
	for _, r := range w.runs.list {
		if spec := r.task.step.spec; spec.LongRunning || spec.Gang {
			loss += longRunLoss
			continue
		}
		loss++
	}
	return loss
}

// idle reports whether a worker runs nothing.
func (w *worker) idle() bool { return w.runs.len() == 0 && !w.hasUnknownRuns() }

// hasUnknownRuns reports whether the worker runs something that this owner does
// not track.
func (w *worker) hasUnknownRuns() bool { return w.unsizedRuns > 0 || w.unknownReserved != job.Size{} }

// isolate keeps the worker of a suspect's run free of other starts, if not too
// many workers are kept already.
func (c *Cell) isolate(r *run) {
	if r.worker.isolated == nil && r.task.suspect() && c.mayIsolate() {
		r.worker.isolated = r
		c.isolatedWorkers++
		c.observer.Count(CountIsolation)
	}
}

// endIsolation makes a worker available to other tasks again.
func (c *Cell) endIsolation(w *worker) {
	w.isolated = nil
	c.isolatedWorkers--
	c.capacityFreed(w)
	c.markAwaitingIsolation()
}

// markAwaitingIsolation marks the steps for evaluation that wait until fewer workers
// are kept for suspects, or until there are more workers.
func (c *Cell) markAwaitingIsolation() {
	for _, s := range c.awaitingIsolation {
		c.markStep(s)
	}
	clear(c.awaitingIsolation)
}
