package cell

import (
	"math"
	"time"

	"go.uber.org/zap"
)

// noDeadline is later than any reading of a worker's clock.
const noDeadline = time.Duration(math.MaxInt64)

// restarted discards the state of a worker's earlier incarnation. A start that
// this owner sent before it learned of the restart may have reached the new
// incarnation.
func (c *Cell) restarted(now time.Time, w *worker, report Report) {
	ordered, alone := c.endedAsOrdered(w, w.incarnation), c.alone(w)
	c.log.Info("worker restarted", workerField(w), zap.Int("Runs", w.runs.len()), zap.Bool("Ordered", ordered))
	c.endExpiredRuns(now, w, report.lists)
	w.reported = false
	// A late call to the earlier incarnation may grant this one the longest
	// lease.
	w.clock, w.deadline, w.lateDeadline = 0, 0, report.Clock+c.config.MaxLease
	w.endsSeen, w.pendingEnds = 0, nil
	w.health = health{}
	c.dropUnrecorded(w, nil)
	w.cordonedBy = nil
	if !ordered {
		c.observer.Count(CountWorkerCrash)
		c.noteMachineCrash(now, w)
	}
	for _, r := range w.runs.all() {
		r.startedClock, r.stoppedClock = 0, 0
		crash := r.crash(alone)
		counts := r.phase != runPlanned && r.incarnation < report.Incarnation && !c.endedAsOrdered(w, r.incarnation)
		switch {
		case report.lists(r):
			counts = false
		case r.phase == runSent && !r.stopping:
			// The answer tells which incarnation has accepted the start.
			r.sentBeforeRestart, r.deadline = true, noDeadline
			if counts {
				r.restartCrash = &crash
			}
			counts = false
		case r.phase == runSent || r.phase == runUncertain:
			// The deadline is meaningless on the clock of the new incarnation.
			r.phase, r.deadline = runUncertain, noDeadline
			r.stopping, r.stopAnswered = false, false
			c.stop(now, r)
		default:
			c.release(now, r, EndLeaseExpired)
		}
		if counts {
			c.countCrash(now, r, crash)
		}
	}
}

// endInheritedOfEarlier ends the runs that a predecessor recorded on an earlier
// incarnation of a worker, when the worker first reports. A run that the report
// lists was started before the predecessor had learned of this incarnation.
// Without a fence, a start of the predecessor may still reach this incarnation, so
// the run is only counted.
func (c *Cell) endInheritedOfEarlier(now time.Time, w *worker, report Report) {
	alone := c.alone(w)
	for _, r := range w.runs.all() {
		if r.phase != runInherited || r.incarnation == 0 || r.incarnation >= report.Incarnation || report.lists(r) {
			continue
		}
		crash, counts := r.crash(alone), !c.endedAsOrdered(w, r.incarnation)
		if !c.config.Unfenced {
			c.release(now, r, EndLeaseExpired)
		}
		if counts {
			c.countCrash(now, r, crash)
		}
	}
}
