package cell

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// Reported handles a worker's answer to a hold call.
func (c *Cell) Reported(now time.Time, id WorkerID, report Report) {
	w, known := c.workers[id]
	if !known || w.reported && report.Incarnation < w.incarnation {
		return
	}
	if w.reported && report.Incarnation > w.incarnation {
		c.restarted(now, w, report)
	}
	if w.reported && report.Incarnation == w.incarnation && report.Clock < w.clock {
		return // a later answer was handled first
	}
	first := !w.reported
	if first {
		c.endInheritedOfEarlier(now, w, report)
	}
	c.resolveLostRuns(now, w, sighting{incarnation: report.Incarnation, answered: true, notCrashed: true, report: &report})
	// A worker that was silent is offered by the next tick, although it may have
	// been usable at the last one.
	w.usableAtTick = w.usableAtTick && c.inContact(now, w)
	w.reported = true
	w.incarnation = report.Incarnation
	w.lastReport, w.failedHolds, w.expired = now, 0, false
	c.answered(w)
	if w.incarnationUnsure {
		w.incarnationUnsure = false
		c.capacityFreed(w)
	}
	w.clock, w.clockAt, w.clockAge = report.Clock, now, report.Age
	if first {
		// A predecessor may have granted the worker a lease shortly before this
		// owner took over.
		w.deadline = max(w.deadline, report.Clock+c.config.Lease)
		c.capacityFreed(w)
		w.earlyStartsUntil = c.lastEarlyStart(now.Add(-report.Age), report.Clock)
		c.noteLaterWorkers(w.registration.Machine)
	}
	if c.earlyStarts.awaited[id] {
		c.createStartedOccurrences(now, &report)
		c.trackEarlyStarts(w, report)
	}
	for _, e := range report.Ended {
		if e.Number > w.endsSeen {
			w.endsSeen = e.Number
			c.handleEnd(now, w, e)
		}
	}
	c.reconcile(now, w, report)
	c.observeInterference(now, w, &report)
	c.adjustPace(now, w)
}

// trackEarlyStarts handles a report of a worker that may have had early starts
// of a predecessor: it tracks the listed runs that no record names as unrecorded
// runs. Once the worker takes no more early starts of the predecessor, the
// placement of tasks no longer waits for it.
func (c *Cell) trackEarlyStarts(w *worker, report Report) {
	for i := range report.Running {
		e := &report.Running[i]
		if r, known := w.runs.get(e.Task); !known || r.number != e.Run {
			c.noteUnrecorded(w, e)
		}
	}
	if report.Clock >= w.earlyStartsUntil && !report.EndsTruncated {
		c.stopAwaiting(w.id)
	}
}

// lists reports whether the report lists a run, as running or as ended.
func (r *Report) lists(known *run) bool { return r.listsRun(known.task.id, known.number) }

func (r *Report) listsRun(task workload.TaskID, number int) bool {
	for i := range r.Running {
		if r.Running[i].Task == task && r.Running[i].Run == number {
			return true
		}
	}
	for i := range r.Ended {
		if r.Ended[i].Task == task && r.Ended[i].Run == number {
			return true
		}
	}
	return false
}

// reconcile compares the known runs with those that the worker lists. An unknown
// run is one that the worker lists and that this owner does not track. An
// unrecorded run is an unknown run that a predecessor may have started early.
func (c *Cell) reconcile(now time.Time, w *worker, report Report) {
	listed := make(map[workload.TaskID]int, len(report.Running))
	reservedBefore, unsizedBefore := w.unknownReserved, w.unsizedRuns
	w.unknownReserved, w.unsizedRuns = job.Size{}, 0
	useBefore := w.unknownUse
	w.unknownUse = nil
	c.setUnsizedTasks(w, nil)
	for i := range report.Running {
		e := &report.Running[i]
		listed[e.Task] = e.Run
		r, known := w.runs.get(e.Task)
		if !known || r.number != e.Run {
			c.stopUnknownRun(now, w, e)
			continue
		}
		delete(w.unknownRuns, e.Task)
		c.updateProgress(now, r, e)
	}
	c.dischargeUnknown(useBefore)
	c.dropUnrecorded(w, listed)
	w.forgetUnknownRuns(listed)
	if w.unknownReserved != reservedBefore || w.unsizedRuns != unsizedBefore {
		c.capacityFreed(w)
	}
	if report.EndsTruncated {
		return
	}
	for _, r := range w.runs.all() {
		if number, ok := listed[r.task.id]; ok && number == r.number {
			continue
		}
		c.handleAbsentRun(now, r, report.Clock)
	}
}

// handleAbsentRun resolves a run that the worker lists neither as running nor
// as ended.
func (c *Cell) handleAbsentRun(now time.Time, r *run, clock time.Duration) {
	switch r.phase {
	case runInherited:
		if c.config.Unfenced {
			c.doubtInherited(now, r, clock)
			return
		}
		// The fencing token of this owner keeps a start that is still in flight
		// from being accepted.
		if r.incarnation == r.worker.incarnation {
			r.noteNotStarted() // its end would be listed until it is durable
		}
		c.release(now, r, EndStopped)
	case runStarted:
		if clock > r.startedClock {
			c.log.Warn("a run has disappeared without a reported end", runFields(r)...)
			c.release(now, r, EndLeaseExpired)
		}
	case runSent, runUncertain:
		late := clock > r.deadline
		rejected := r.stopAnswered && clock > r.stoppedClock
		if late || rejected {
			if late {
				r.noteNotStarted()
			}
			c.release(now, r, EndStopped)
		}
	case runPlanned:
	}
}

// handleEnd handles the end of a run.
func (c *Cell) handleEnd(now time.Time, w *worker, e Ended) {
	r, known := w.runs.get(e.Task)
	if !known || r.number != e.Run {
		w.pendingEnds = append(w.pendingEnds, c.handleUnknownEnd(now, w, e))
		return
	}
	t := r.task
	if t.step.spec.Gang && e.Kind == EndFailed {
		t.step.failedRun = max(t.step.failedRun, r.number)
	}
	took, timed := r.elapsed(now)
	c.markStarted(t.step.job)
	c.log.Info("run ended", runFields(r, zap.String("How", string(e.Kind)), zap.Duration("Took", took))...)
	if e.Checkpoint != "" {
		t.checkpoint = e.Checkpoint
	}
	w.health.ended(now, e.Kind)
	if timed {
		c.observe(StageRun, t.step.job, took)
	}
	if timed && t.step.completedBy(e.Kind) {
		c.learnRunTime(now, r, took)
		t.step.timedTasks++
		t.step.runTime += took
	}
	c.release(now, r, e.Kind)
	w.pendingEnds = append(w.pendingEnds, pendingEnd{number: e.Number, job: t.step.job, revision: t.step.job.revision})
}

// handleUnknownEnd handles the end of a run that is not known on this worker.
// Whichever run it was, success completes the task unless it is long-running, and a
// failure counts.
func (c *Cell) handleUnknownEnd(now time.Time, w *worker, e Ended) pendingEnd {
	t := c.task(e.Task)
	if t == nil {
		return pendingEnd{number: e.Number, commit: c.confirmingCommit()}
	}
	c.markStarted(t.step.job)
	if e.Run > t.lastRun {
		t.lastRun = e.Run
		c.recordChanged(t.step.job)
		t.numberRevision = t.step.job.revision
	}
	end := pendingEnd{number: e.Number, job: t.step.job, revision: t.step.job.revision}
	if t.phase == phaseDone {
		return end
	}
	if t.succeeded || t.step.job.state.Final() && t.step.completedBy(e.Kind) {
		end.completed, end.run = t, e.Run
		return end
	}
	if t.step.job.state.Final() {
		return end
	}
	if e.Kind == EndFailed {
		c.countFailure(now, t, e.Run, w.id)
		end.revision = t.step.job.revision
		return end
	}
	if !t.step.completedBy(e.Kind) {
		return end
	}
	c.logCompletedByUnknown(w, t, e.Run)
	end.completed, end.run = t, e.Run
	c.succeededEarlier(now, t)
	end.revision = t.step.job.revision
	return end
}

// task finds a task by its ID, or returns nil.
func (c *Cell) task(id workload.TaskID) *task {
	j, known := c.jobs[id.Job]
	if !known || id.Occurrence >= len(j.occurrences) || id.Step >= len(j.occurrences[id.Occurrence]) {
		return nil
	}
	s := j.occurrences[id.Occurrence][id.Step]
	if id.Index >= len(s.tasks) {
		return nil
	}
	return s.tasks[id.Index]
}

// release removes a run from its worker and updates its task according to the
// end of the run.
func (c *Cell) release(now time.Time, r *run, how EndKind) {
	t := r.task
	s := t.step
	if !r.worker.runs.remove(r) {
		return // released with another member of its gang
	}
	if r.phase == runPlanned {
		r.noteNotStarted()
	}
	r.worker.reserved = r.worker.reserved.Sub(s.spec.Reserved())
	c.discharge(r)
	c.preemptedReleased(r, s.spec.Reserved())
	if r.worker.isolated == r {
		c.endIsolation(r.worker)
	}
	c.dispatch.remove(r)
	c.capacityFreed(r.worker)
	if t.current != r {
		return
	}
	t.setCurrent(nil)
	if j := s.job; j.state.Final() && j.member != nil && j.runs == 0 {
		c.finalRecordChanged(j) // a successor need not count the runs any more
	}
	if t.phase == phaseDone {
		return
	}
	c.recordChanged(s.job)
	if t.succeeded {
		c.settleSuccesses(now)
		return
	}
	if s.completedBy(how) {
		c.completeTask(now, t)
		return
	}
	if how == EndLeaseExpired {
		// A successor may know another end of this run, so the next one waits for its
		// record.
		t.numberRevision = s.job.revision
	}
	t.phase = phaseWaiting
	t.waitingSince = now
	s.waiting++
	if how == EndFailed {
		c.countFailure(now, t, r.number, r.worker.id)
	}
	c.setTaskTimers(now, t)
	if s.spec.Gang && !s.job.state.Final() {
		c.stopStep(now, s)
	}
	if !s.job.state.Final() {
		c.openStep(now, s)
	}
}

// countFailure counts a failed run against its task or its gang.
func (c *Cell) countFailure(now time.Time, t *task, number int, worker WorkerID) {
	s := t.step
	t.avoidWorker = worker
	c.setTaskTimers(now, t)
	c.markStep(s)
	if s.spec.LongRunning {
		return
	}
	failedRuns := &t.failedRuns
	if s.spec.Gang {
		failedRuns = &s.failedRuns
	}
	if slices.Contains(*failedRuns, number) {
		return
	}
	*failedRuns = append(*failedRuns, number)
	c.recordChanged(s.job)
	limit := c.queueOf(s.job).MaxAttempts
	if limit == 0 || len(*failedRuns) < limit {
		return
	}
	c.log.Info("task has exhausted its attempts", zap.String("Job", string(t.id.Job)), zap.String("Task", t.id.String()),
		zap.Int("Run", number), zap.String("Worker", string(worker)), zap.Int("Attempts", len(*failedRuns)))
	c.fail(now, s.job, workload.CauseAttempts)
}

// completedBy reports whether the end of a run completes its task. A long-running task
// is started again however its runs end.
func (s *stepState) completedBy(how EndKind) bool {
	return how == EndDone && !s.spec.LongRunning
}

// completeTask marks a task as done; for a gang, all of its tasks.
func (c *Cell) completeTask(now time.Time, t *task) {
	s := t.step
	if s.spec.Gang {
		for _, member := range s.tasks {
			s.markDone(member)
		}
	} else {
		s.markDone(t)
	}
	c.recordChanged(s.job)
	if s.done < len(s.tasks) || s.job.state.Final() {
		return
	}
	c.closeStep(s)
	c.openReadySteps(now, s.job.occurrences[s.id.Occurrence])
	c.completeIfDone(now, s.job)
}

func (s *stepState) markDone(t *task) {
	if t.phase == phaseDone {
		return
	}
	if t.phase == phaseWaiting {
		s.waiting--
	}
	t.phase = phaseDone
	s.done++
}
