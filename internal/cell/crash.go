package cell

import (
	"slices"
	"time"

	"go.uber.org/zap"
)

// Crash is a crash of a worker that a run of a task may have caused.
type Crash struct {
	// Run is the number of the run.
	Run int
	// JustStarted is set if the run had been at work for less than
	// settledAfter when the worker last reported.
	JustStarted bool
	// Alone is set if this owner had sent the start or seen the run in a report, the
	// worker ran nothing else, and its machine had not crashed within recentCrash
	// before its last answer.
	Alone bool
	// Accepted is set if the worker was known to have accepted the start.
	Accepted bool
	// SentListed is set if the start is known to have been sent while the worker was
	// listed, or after the worker had answered since it left the list. Otherwise the
	// worker may have crashed before the start.
	SentListed bool
}

// RunRange is a range of successive run numbers of a task.
type RunRange struct {
	First int
	Last  int
}

// after returns how many numbers of a range are later than a given one.
func (r RunRange) after(number int) int { return max(r.Last-max(r.First-1, number), 0) }

// workerCrashed ends the runs of a worker that a later worker has superseded.
// They need not wait for the lease to expire.
func (c *Cell) workerCrashed(now time.Time, w *worker) {
	c.endExpiredRuns(now, w, func(*run) bool { return false })
	ordered, alone := c.endedAsOrdered(w, w.incarnation), c.alone(w)
	c.log.Warn("worker has ended, a later one runs on its machine", workerField(w),
		zap.String("Machine", w.registration.Machine), zap.Int64("Incarnation", int64(w.registration.Incarnation)),
		zap.Int("Runs", w.runs.len()), zap.Bool("Ordered", ordered))
	if !ordered {
		c.observer.Count(CountWorkerCrash)
		c.noteMachineCrash(now, w)
	}
	c.dropUnrecorded(w, nil)
	c.stopAwaiting(w.id)
	for _, r := range w.runs.all() {
		crash, counts := r.crash(alone), r.phase != runPlanned && !c.endedAsOrdered(r.worker, r.incarnation)
		c.release(now, r, EndLeaseExpired)
		if counts {
			c.countCrash(now, r, crash)
		}
	}
}

// alone reports whether the one run that may be at work on a worker would be the
// likely cause of its crash: nothing else runs there, and the machine had not
// crashed recently when the worker last answered. The crash may become known much later.
func (c *Cell) alone(w *worker) bool {
	if c.silentSince(w).Sub(w.machineCrashedAt) < recentCrash {
		return false
	}
	n := 0
	for _, r := range w.runs.list {
		if r.phase != runPlanned {
			n++
		}
	}
	return n <= 1 && !w.hasUnknownRuns()
}

// crash returns what is counted if the worker of a run has crashed.
func (r *run) crash(alone bool) Crash {
	accepted := r.wasAccepted()
	alone = alone && r.seen()
	return Crash{Run: r.number, JustStarted: r.justStarted(), Alone: alone, Accepted: accepted, SentListed: accepted || !r.sentAt.IsZero() && !r.sentUnlisted}
}

// seen reports whether this owner has sent the start of a run or seen the run in a
// report. A run that only a record names may have ended before a crash.
func (r *run) seen() bool { return !r.sentAt.IsZero() || r.progressKnown }

// wasAccepted reports whether the worker of a run is known to have accepted its
// start, to this owner or to a predecessor.
func (r *run) wasAccepted() bool { return r.phase == runStarted || r.acceptedOnRecord }

// markAccepted records that the worker of a run has accepted its start. If workers have
// crashed under the task before, a successor has to know that too.
func (c *Cell) markAccepted(r *run) {
	r.phase = runStarted
	chargeSent(r)
	c.countAccepted(r)
	if r.task.mayHaveCrashedWorkers() {
		c.recordChanged(r.task.step.job)
	}
}

// justStarted reports whether the last report of the worker did not show the run
// at work for settledAfter.
func (r *run) justStarted() bool {
	if r.sentAt.IsZero() {
		return !r.progressKnown
	}
	return r.worker.lastReport.Sub(r.sentAt) < settledAfter
}

// countRestartCrash counts the crash of the incarnation to which a start was sent, if it
// was one: when the answer shows that this incarnation had accepted the start, or when
// the start gets no answer.
func (c *Cell) countRestartCrash(now time.Time, r *run, accepted bool) {
	if r.restartCrash != nil {
		r.restartCrash.Accepted = accepted
		c.countCrash(now, r, *r.restartCrash)
	}
}

// countCrash counts a crash against the task of a run.
func (c *Cell) countCrash(now time.Time, r *run, crash Crash) {
	c.countTaskCrash(now, r.task, crash, r.worker.id)
}

// countTaskCrash counts a crash against a task. A run number counts once, so that two
// owners cannot count a crash twice.
func (c *Cell) countTaskCrash(now time.Time, t *task, crash Crash, worker WorkerID) {
	j := t.step.job
	known := slices.ContainsFunc(t.crashes, func(k Crash) bool { return k.Run == crash.Run })
	if known || t.phase == phaseDone || j.state.Final() {
		return
	}
	t.crashes = append(t.crashes, crash)
	c.recordChanged(j)
	c.observer.Count(CountTaskCrash)
	c.log.Warn("worker crashed under a run", jobField(j), zap.String("Task", t.id.String()), zap.Int("Run", crash.Run),
		zap.String("Worker", string(worker)), zap.Bool("JustStarted", crash.JustStarted), zap.Bool("Alone", crash.Alone),
		zap.Bool("Accepted", crash.Accepted), zap.Bool("SentListed", crash.SentListed), zap.Int("Crashes", len(t.crashes)))
	if t.crashesItsWorkers() {
		c.failForCrashes(now, t)
		return
	}
	c.awaitIsolation(now, t)
}
