package cell

import (
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// enqueueDurable queues the planned runs of a job whose record has become
// durable.
func (c *Cell) enqueueDurable(now time.Time, j *jobState) {
	planned := j.planned
	j.planned = nil
	for _, r := range planned {
		if r.revision > j.durable {
			j.planned = append(j.planned, r)
			continue
		}
		if r.task.current == r && r.phase == runPlanned {
			c.enqueueStart(now, r)
		}
	}
}

func (c *Cell) sendStart(now time.Time, r *run) {
	r.phase = runSent
	chargeSent(r)
	if r.revision > r.task.step.job.durable {
		c.earlyStarts.undurable = append(c.earlyStarts.undurable, r)
	}
	r.sentAt, r.sentUnlisted = now, r.worker.unlistedSinceReport()
	r.fresh = r.task.checkpoint == ""
	r.deadline = r.worker.extendLease(now, c.config.Lease)
	if c.config.Unfenced && r.revision > r.task.step.job.durable {
		r.deadline = r.worker.clockNow(now) + earlyStartValidity
	}
	c.observe(StageDispatch, r.task.step.job, now.Sub(r.queuedAt))
	c.log.Info("starting", runFields(r, zap.Duration("Waited", now.Sub(r.task.waitingSince)))...)
	c.emit(SendStart{
		Worker: r.worker.id, Incarnation: r.boundTo(), Task: r.task.id, Run: r.number, Spec: r.task.step.job.job.Spec,
		Deadline: r.deadline, Ticket: r.ticket, Checkpoint: r.task.checkpoint,
	})
}

// boundTo returns the incarnation that alone may get the start of a run, or 0 if any may.
// A later one may have other labels, or be of another service, before this owner can know
// of it. Of steps that need no label, a ticket tells the incarnations apart.
func (r *run) boundTo() Incarnation {
	if r.task.step.spec.Label == "" && r.ticket != "" {
		return 0
	}
	return r.incarnation
}

// Started handles the outcome of a start.
func (c *Cell) Started(now time.Time, id WorkerID, taskID workload.TaskID, number int, outcome StartOutcome) {
	if w, known := c.workers[id]; known && !outcome.Unknown && !outcome.NotSent {
		c.answered(w)
	}
	r := c.run(id, taskID, number)
	if r == nil || r.phase != runSent {
		return
	}
	r.worker.startFailedAt = time.Time{}
	switch {
	case outcome.Unknown:
		r.worker.startFailedAt = now
		r.phase = runUncertain
		c.log.Warn("start was not answered", runFields(r)...)
		c.stop(now, r)
		c.countRestartCrash(now, r, false)
	case outcome.NotSent:
		r.worker.startFailedAt = now
		r.worker.health.refused(now)
		r.noteNotStarted()
		c.release(now, r, EndStopped)
	case outcome.Refused != "":
		c.refused(now, r, outcome.Refused)
	case r.sentBeforeRestart && outcome.Clock > r.worker.clockNow(now)+leaseSlack:
		c.release(now, r, EndLeaseExpired) // the earlier incarnation had accepted it
		c.countRestartCrash(now, r, true)
	default:
		c.markStarted(r.task.step.job)
		c.markAccepted(r)
		r.startedClock = outcome.Clock
		r.progressAt = now
		c.settleSuccesses(now)
	}
}

func (c *Cell) refused(now time.Time, r *run, reason Refusal) {
	c.log.Warn("start was refused", runFields(r, zap.String("Reason", string(reason)))...)
	switch reason {
	case RefusedTicket:
		r.task.step.advice.invalidateTicket(r.worker.id)
	case RefusedBusy, RefusedCapacity, RefusedInvalid:
		r.worker.health.refused(now)
	case RefusedRestarted:
		c.suspectRestart(r)
	case RefusedFence, RefusedStale, RefusedLate:
	}
	r.noteNotStarted()
	c.release(now, r, EndStopped)
}

// suspectRestart keeps further starts from the worker of a run until the worker reports,
// unless it has reported another incarnation than that of the run already.
func (c *Cell) suspectRestart(r *run) {
	if w := r.worker; r.incarnation == w.incarnation {
		w.incarnationUnsure = true
		c.emit(RequestReport{Worker: w.id})
	}
}

// run finds a run on a worker, or returns nil.
func (c *Cell) run(id WorkerID, taskID workload.TaskID, number int) *run {
	w, known := c.workers[id]
	if !known {
		return nil
	}
	r, known := w.runs.get(taskID)
	if !known || r.number != number {
		return nil
	}
	return r
}

// stop ends a run. Its capacity is freed when the worker lists the end.
func (c *Cell) stop(now time.Time, r *run) {
	if r.stopping {
		return
	}
	if r.phase == runPlanned {
		c.release(now, r, EndStopped)
		return
	}
	r.stopping = true
	r.worker.preemptibleIn = 0
	c.sendStop(now, r)
}

// sendStop sends a stop if the worker is in contact. A stop to an unreachable
// worker would delay other stops; it is sent once the worker answers.
func (c *Cell) sendStop(now time.Time, r *run) {
	if !c.inContact(now, r.worker) {
		r.stopSentAt = time.Time{}
		return
	}
	r.stopSentAt = now
	c.emit(SendStop{Worker: r.worker.id, Task: r.task.id, Run: r.number})
}

// Stopped handles the answer to a stop.
func (c *Cell) Stopped(id WorkerID, taskID workload.TaskID, number int, clock time.Duration) {
	if w, known := c.workers[id]; known {
		c.answered(w)
	}
	r := c.run(id, taskID, number)
	if r == nil {
		return
	}
	r.stopAnswered = true
	r.stoppedClock = clock
	if r.phase == runUncertain {
		// The next report tells whether the run is there.
		c.emit(RequestReport{Worker: id})
	}
}

// Cancel ends a job at the request of its client, which is already durable.
func (c *Cell) Cancel(now time.Time, id workload.JobID) {
	if j, known := c.jobs[id]; known {
		c.finish(now, j, workload.StateCancelled)
	}
}

// Tick does the periodic work: it ends the runs whose lease has expired,
// repeats stops, creates due occurrences, advances waves, removes workers that
// are gone and sweeps the open steps.
func (c *Cell) Tick(now time.Time) {
	c.tickState(now)
	c.sweep()
	c.logLongWaits(now)
	c.refreshInterference(now)
	c.logCapWaits(now)
}

// tickState does the periodic work that changes the state of jobs and workers.
func (c *Cell) tickState(now time.Time) {
	for _, w := range c.sortedWorkers {
		c.tickWorker(now, w)
	}
	c.settleSuccesses(now)
	for _, id := range sortedKeys(c.scheduled) {
		if j := c.scheduled[id]; !j.state.Final() {
			c.createDueOccurrences(now, j)
		}
	}
	c.tickEarlyStarts(now)
	c.tickAwaitedJobs(now)
	c.tickWaves(now)
	c.removeGoneWorkers(now)
	c.offerNewlyUsable(now)
	c.tickShares(now)
}

func (c *Cell) tickWorker(now time.Time, w *worker) {
	c.tickUnknownUse(now, w)
	if (w.runs.len() > 0 || c.earlyStarts.awaited[w.id]) && c.superseded(now, w) {
		c.workerCrashed(now, w)
		return
	}
	if len(c.earlyStarts.unrecorded) > 0 && c.leaseExpired(now, w) && !c.mayBeHeard(now, w) {
		c.dropUnrecorded(w, nil)
	}
	if w.runs.len() > 0 && c.leaseExpired(now, w) {
		c.handleExpiredLease(now, w)
		return
	}
	if !c.inContact(now, w) {
		return // stops are repeated once the worker answers
	}
	for _, r := range w.runs.list {
		if r.stopping && !r.stopAnswered && now.Sub(r.stopSentAt) > c.config.StopRetryInterval {
			c.sendStop(now, r)
		}
	}
}
