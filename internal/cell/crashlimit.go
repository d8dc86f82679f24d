package cell

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/workload"
)

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
