package cell

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/workload"
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

const (
	// settledAfter is how long a run has to be at work before a crash of its
	// worker is more likely due to another run.
	settledAfter = 500 * time.Millisecond
	// A job fails once workers have crashed under one of its tasks
	//   - aloneCrashLimit times, if all had accepted the start and the task was
	//     alone on the last,
	//   - crashLimit times, if minAcceptedCrashes had accepted the start and all but
	//     one of the starts were sent, or
	//   - sentCrashLimit times, if minSentCrashes of the starts were sent to listed
	//     workers: a task may crash its workers before they answer.
	// The first two may have crashed by chance on a day with many crashes, and
	// others before the start arrived or when the run had just ended.
	aloneCrashLimit    = 3
	crashLimit         = 4
	minAcceptedCrashes = 2
	sentCrashLimit     = 5
	minSentCrashes     = 4
	// maxStartsAfterCrashes is how often a task is started after
	// aloneCrashLimit crashes, if no further crash decides and
	// minAcceptedCrashes of the workers had accepted the start. One more start is
	// allowed if some of the starts were not sent, as far as is known.
	maxStartsAfterCrashes       = 1
	maxStartsAfterUnsentCrashes = 2
	// lostRunWait is how long a task that is close to a limit waits for what is
	// heard of the machine of a lost run.
	lostRunWait = 5 * time.Second
	// forgetCrashesAfter is how long a run of a long-running task has to be at work
	// until the earlier crashes of the task no longer count. Over a long life
	// a task sees crashes that it did not cause.
	forgetCrashesAfter = time.Minute
)

// superseded reports whether a worker's process has certainly ended, because a
// later worker has answered from its machine. A worker that answers still runs.
func (c *Cell) superseded(now time.Time, w *worker) bool {
	return w.laterOnMachine && !c.inContact(now, w)
}

// noteLaterWorkers records on which workers of a machine a later one has followed.
func (c *Cell) noteLaterWorkers(machine string) {
	for _, w := range c.onMachine[machine] {
		if w.registration.Incarnation == 0 {
			continue
		}
		known := w.laterOnMachine
		at := slices.IndexFunc(c.onMachine[machine], func(later *worker) bool { return later.follows(w) })
		w.laterOnMachine = at >= 0
		if w.laterOnMachine && !known {
			later := c.onMachine[machine][at]
			w.maintenanceBeforeLater = c.maintenanceOrdered(machine)
			if later.registeredAt.After(w.registeredAt) {
				w.maintenanceBeforeLater = later.maintenanceBefore
			}
		}
	}
}

// follows reports whether a worker has certainly followed another on their machine. Its
// registration does not show that alone: the entry may have another writer, and its
// incarnation is a time of day, which may jump. So the worker must have answered as the
// incarnation that is registered, and must not have been registered before the earlier one.
func (w *worker) follows(earlier *worker) bool {
	return w.reported && w.registered() && w.incarnation > earlier.registration.Incarnation &&
		!w.registeredAt.Before(earlier.registeredAt)
}

// setRegistration sets the registration of a worker and keeps the index of the
// workers by machine.
func (c *Cell) setRegistration(w *worker, r Registration) {
	if w.registration.Machine != r.Machine {
		c.removeFromMachine(w)
		if r.Machine != "" {
			c.onMachine[r.Machine] = append(c.onMachine[r.Machine], w)
		}
	}
	if r.Addr.IsValid() && r.Addr != w.registration.Addr {
		c.newAddrs = append(c.newAddrs, w.id)
	}
	w.registration = r
}

func (c *Cell) removeFromMachine(w *worker) {
	machine := w.registration.Machine
	left := slices.DeleteFunc(c.onMachine[machine], func(o *worker) bool { return o == w })
	if len(left) == 0 {
		delete(c.onMachine, machine)
		return
	}
	c.onMachine[machine] = left
}

// endedAsOrdered reports whether a worker may have ended because it was told to,
// so that its end is no crash. A worker that is only drained for maintenance was
// not told to.
//
// An order to leave ends only the incarnation that was given it, and not an earlier
// one under the same ID. ended is the incarnation in question, or 0 if it is unknown.
func (c *Cell) endedAsOrdered(w *worker, ended Incarnation) bool {
	leaving := w.registration.Leaving && (ended == 0 || ended >= w.registration.Incarnation)
	return leaving || c.endedForMaintenance(w)
}

func (c *Cell) endedForMaintenance(w *worker) bool {
	if w.laterOnMachine {
		return w.maintenanceBeforeLater
	}
	return c.maintenanceOrdered(w.registration.Machine)
}

// workerCrashed ends the runs of a worker that a later worker has superseded.
// They need not wait for the lease to expire.
func (c *Cell) workerCrashed(now time.Time, w *worker) {
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

// noteMachineCrash records that a worker has crashed on the machine of w.
func (c *Cell) noteMachineCrash(now time.Time, w *worker) {
	w.machineCrashedAt = now
	for _, other := range c.onMachine[w.registration.Machine] {
		other.machineCrashedAt = now
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

// crashesItsWorkers reports whether the crashes under a task show that it causes
// them.
func (t *task) crashesItsWorkers() bool {
	n, accepted := len(t.crashes), t.acceptedCrashes()
	switch {
	case n >= crashLimit && accepted >= minAcceptedCrashes && t.sentCrashes() >= crashLimit-1:
		return true
	case n >= sentCrashLimit && t.sentCrashes() >= minSentCrashes:
		return true
	}
	return n >= aloneCrashLimit && accepted >= aloneCrashLimit && t.crashes[n-1].Alone
}

// mayHaveCrashedWorkers reports whether workers have crashed, or may have, under the task.
func (t *task) mayHaveCrashedWorkers() bool { return len(t.crashes)+len(t.lost) > 0 }

// acceptedCrashes returns how many of the workers that crashed had accepted the
// task.
func (t *task) acceptedCrashes() int {
	accepted := 0
	for _, crash := range t.crashes {
		if crash.Accepted {
			accepted++
		}
	}
	return accepted
}

// sentCrashes returns for how many of the workers that crashed the start of the
// task was sent while they were listed. An accepted start counts in any case.
func (t *task) sentCrashes() int {
	sent := 0
	for _, crash := range t.crashes {
		if crash.SentListed || crash.Accepted {
			sent++
		}
	}
	return sent
}

// mayStartAgain reports whether a task may be started once more after the crashes
// under it. Runs that were stopped or lost count too, but not those that certainly did
// not start. Workers that had not accepted the task may have crashed before it arrived,
// so its job does not fail by these.
func (t *task) mayStartAgain() bool {
	if len(t.crashes) < aloneCrashLimit || t.acceptedCrashes() < minAcceptedCrashes {
		return true
	}
	runs := make([]int, len(t.crashes))
	for i, crash := range t.crashes {
		runs[i] = crash.Run
	}
	slices.Sort(runs)
	last := runs[aloneCrashLimit-1]
	starts := t.lastRun - last
	for _, numbers := range t.notStarted {
		starts -= numbers.after(last)
	}
	for _, number := range t.failedRuns {
		if number > last {
			starts-- // it crashed no worker, and counts as a failed attempt
		}
	}
	if t.sentCrashes() < aloneCrashLimit {
		return starts < maxStartsAfterUnsentCrashes
	}
	return starts < maxStartsAfterCrashes
}

// noteNotStarted records that a run certainly did not start: its start was not sent,
// or refused, or its worker would list it. It is called before the run is released.
func (r *run) noteNotStarted() {
	if t := r.task; t.current == r && t.mayHaveCrashedWorkers() {
		t.noteNotStarted(r.number)
	}
}

func (t *task) noteNotStarted(number int) {
	if n := len(t.notStarted); n > 0 && t.notStarted[n-1].Last == number-1 {
		t.notStarted[n-1].Last = number
		return
	}
	t.notStarted = append(t.notStarted, RunRange{First: number, Last: number})
}

// failForCrashes ends the job of a task that crashes its workers.
func (c *Cell) failForCrashes(now time.Time, t *task) {
	j := t.step.job
	c.log.Warn("job fails, since a task crashes its workers", jobField(j), zap.String("Task", t.id.String()),
		zap.Int("Crashes", len(t.crashes)), zap.Int("LastRun", t.lastRun))
	c.fail(now, j, workload.CauseCrashes)
}

// failIfExhausted ends the job of a step with a task that may not be started again,
// and reports whether it did. First it waits a while for the workers of lost runs that
// were not accepted, which may tell that these did not start.
func (c *Cell) failIfExhausted(now time.Time, s *stepState) bool {
	for _, t := range s.tasks {
		if t.phase != phaseWaiting || t.mayStartAgain() {
			continue
		}
		unaccepted := slices.ContainsFunc(t.lost, func(l LostRun) bool { return !l.Crash.Accepted })
		if unaccepted && !s.spec.Gang && t.awaitsLostRun(now.Sub(t.waitingSince)) {
			continue
		}
		c.failForCrashes(now, t)
		return true
	}
	return false
}

// forgetCrashes forgets the crashes of a long-running task whose run has been
// at work for forgetCrashesAfter, as far as this owner has seen.
func (c *Cell) forgetCrashes(now time.Time, r *run) {
	t := r.task
	if t.mayHaveCrashedWorkers() && t.step.spec.LongRunning && now.Sub(r.firstReportAt) > forgetCrashesAfter {
		t.crashes, t.lost, t.notStarted = nil, nil, nil
		c.recordChanged(t.step.job)
	}
}
