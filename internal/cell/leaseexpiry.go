package cell

import (
	"time"

	"go.uber.org/zap"
)

// lateAnswerTime is how long after a lease, counted from the last answer of its worker, a
// worker that is registered may still be heard. The tasks of a worker that is cut off are
// then without a run for less than 3 s, unless this owner was late.
const lateAnswerTime = 2300 * time.Millisecond

// mayBeHeard reports whether a worker whose lease has expired may still tell how its runs
// have ended. The answers to this owner may only be late, or lost. The time in which this
// owner was delayed does not count, since answers may wait for it.
func (c *Cell) mayBeHeard(now time.Time, w *worker) bool {
	return w.listed && now.Sub(c.silentSince(w)) <= c.config.Lease+lateAnswerTime+c.delay
}

// handleExpiredLease releases the runs of a worker whose lease has expired. While the
// worker may still be heard, it keeps those whose success, or last failure, the worker may
// have listed in an answer that was lost: such a task must not be started again.
func (c *Cell) handleExpiredLease(now time.Time, w *worker) {
	heard := c.mayBeHeard(now, w)
	released, kept := c.releaseLapsed(now, w, func(r *run) bool { return heard && r.mayHaveDecided() })
	if released == 0 && w.expired {
		return
	}
	w.expired = true
	c.log.Warn("worker lease expired", workerField(w), zap.Int("Runs", released), zap.Int("RunsKept", kept),
		zap.Duration("Silent", now.Sub(c.silentSince(w))), zap.Duration("Delay", c.delay), zap.Int("FailedHolds", w.failedHolds),
		zap.Bool("Registered", w.listed), zap.Time("RenewedAfter", w.renewedAfter))
}

// endExpiredRuns releases the runs that were kept after the lease of their worker had
// expired, when its process is found to have ended. The lease ended them, not a crash.
// Those that the next process lists are left to its report.
func (c *Cell) endExpiredRuns(now time.Time, w *worker, listed func(*run) bool) {
	if w.expired {
		c.releaseLapsed(now, w, listed)
	}
}

// releaseLapsed releases the runs of a worker whose lease has expired, apart from those to
// keep, and returns the number of both.
func (c *Cell) releaseLapsed(now time.Time, w *worker, keep func(*run) bool) (released, kept int) {
	alone := c.alone(w)
	for _, r := range w.runs.all() {
		if keep(r) {
			kept++
			continue
		}
		released++
		c.noteLostRun(r, alone)
		c.release(now, r, EndLeaseExpired)
	}
	return released, kept
}

// mayHaveDecided reports whether a run may have ended in a way that decides about its task,
// so that the next run has to wait for it: by success, or by a failure that counts. A failure
// of a gang counts once, whichever member is known to have failed.
func (r *run) mayHaveDecided() bool {
	t, s := r.task, r.task.step
	switch {
	case r.phase == runPlanned, t.current != r, t.succeeded, t.phase == phaseDone, s.job.state.Final():
		return false
	case s.spec.LongRunning:
		return false
	}
	return !s.spec.Gang || r.number > s.failedRun
}
