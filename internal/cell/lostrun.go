package cell

import (
	"slices"
	"time"
)

// LostRun is a run whose worker stopped answering until its lease expired. Only
// what is heard of the machine later tells whether the worker crashed.
type LostRun struct {
	// Crash is counted if the worker crashed.
	Crash       Crash
	Machine     string
	Incarnation Incarnation
	// leaseEnd is when the run has certainly ended with the lease.
	leaseEnd time.Time
}

// noteRenewal records when the worker renewed its entry, before the registration is set.
// A later incarnation says nothing about the earlier one.
func (w *worker) noteRenewal(r Registration) {
	switch {
	case r.Incarnation != w.registration.Incarnation:
		w.renewedAfter = time.Time{}
	case r.Renewal > w.registration.Renewal && r.WrittenAfter.After(w.renewedAfter):
		w.renewedAfter = r.WrittenAfter
	}
}

// outlivedLease reports whether the incarnation that a run was started on has renewed its
// entry after the lease has ended. The run has then ended with the lease, and a crash of
// the worker after that is none under the run.
func (w *worker) outlivedLease(incarnation Incarnation, leaseEnd time.Time) bool {
	return incarnation == w.registration.Incarnation && w.renewedAfter.After(leaseEnd)
}

// noteLostRun records that a run has ended with the lease of its worker, before
// the run is released.
func (c *Cell) noteLostRun(r *run, alone bool) {
	t, machine := r.task, r.worker.registration.Machine
	if t.current != r || r.phase == runPlanned || machine == "" || r.incarnation == 0 || c.endedAsOrdered(r.worker, r.incarnation) {
		return
	}
	leaseEnd := c.leaseEnd(r.worker)
	if r.worker.outlivedLease(r.incarnation, leaseEnd) {
		return
	}
	t.lost = append(t.lost, LostRun{Crash: r.crash(alone), Machine: machine, Incarnation: r.incarnation, leaseEnd: leaseEnd})
	c.watchLostRuns(t, machine)
}

// neverStarted reports whether the report of the incarnation on which a run was lost
// shows that the run did not start and will not: the end of a run is listed until it is
// durable, and a fencing token refuses the start of a predecessor.
func (c *Cell) neverStarted(t *task, l LostRun, report *Report) bool {
	return !l.Crash.Accepted && !c.config.Unfenced && !report.EndsTruncated && !report.listsRun(t.id, l.Crash.Run)
}

// watchLostRuns has the lost runs of a task on a machine resolved once the
// machine is heard of.
func (c *Cell) watchLostRuns(t *task, machine string) {
	if !slices.Contains(c.lostRuns[machine], t) {
		c.lostRuns[machine] = append(c.lostRuns[machine], t)
	}
}

// sighting is what was heard of a worker.
type sighting struct {
	incarnation Incarnation
	// answered is set if the incarnation has answered a call. Its entry in the list of
	// workers alone does not show that it exists.
	answered bool
	// notCrashed is set if the runs of the incarnation were not lost in a crash: it has
	// answered, or leaves.
	notCrashed bool
	// renewedAfter is a time after which the incarnation has renewed its entry; zero if
	// none is known.
	renewedAfter time.Time
	// report is the answer, if there is one.
	report *Report
}

// crashOf returns what is counted for a lost run if a later worker shows that the one of
// the run has ended. If this owner has ordered the maintenance of the machine in between,
// the worker may have ended by that, after the run had ended with the lease. The crash
// then shows as little of the task as one under a start that was not accepted. It is
// counted nevertheless, since the worker may have crashed just before the order.
func (c *Cell) crashOf(l LostRun, later *worker) Crash {
	crash := l.Crash
	for _, w := range c.waves {
		if at := w.ordered[l.Machine]; at.After(l.leaseEnd) && later.registeredAt.After(at) {
			crash.Accepted, crash.Alone = false, false
		}
	}
	return crash
}

// resolveLostRuns resolves the lost runs on the machine of a worker that was seen.
// Those of an earlier incarnation were lost in a crash.
func (c *Cell) resolveLostRuns(now time.Time, w *worker, seen sighting) {
	machine := w.registration.Machine
	watched := c.lostRuns[machine]
	delete(c.lostRuns, machine)
	crashed := false
	for _, t := range watched {
		lost := t.lost
		t.lost = nil
		for _, l := range lost {
			switch {
			case l.Machine == machine && l.Incarnation < seen.incarnation && seen.answered:
				crashed = true
				c.countTaskCrash(now, t, c.crashOf(l, w), "")
			case l.Machine == machine && l.Incarnation == seen.incarnation && (seen.notCrashed || seen.renewedAfter.After(l.leaseEnd)):
				if seen.report != nil && c.neverStarted(t, l, seen.report) {
					t.noteNotStarted(l.Crash.Run)
				}
			default:
				t.lost = append(t.lost, l)
			}
		}
		if len(t.lost) < len(lost) {
			if !t.mayHaveCrashedWorkers() {
				t.notStarted = nil
			}
			c.recordChanged(t.step.job)
			// The durable record still names the lost run, so that a successor skips
			// no run number: the next start waits for the new record.
			t.numberRevision = t.step.job.revision
			// It may have waited for what is heard of the run.
			c.awaitIsolation(now, t)
		}
		for _, l := range t.lost {
			c.watchLostRuns(t, l.Machine)
		}
	}
	if !crashed {
		return
	}
	c.noteMachineCrash(now, w)
	if w.incarnation == 0 { // a worker that restarts under its ID is counted when it reports
		c.observer.Count(CountWorkerCrash)
	}
}
