package cell

import (
	"cmp"
	"slices"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// Record is the durable progress of a job; that of a wave is a WaveRecord.
type Record struct {
	Job workload.JobID
	// Revision counts the records of a job under one owner.
	Revision uint64
	State    workload.State
	// Cause tells why the job has failed.
	Cause workload.Cause
	// Occurrences holds the steps of each occurrence created so far. It is empty for a job
	// that has ended, unless an account is charged for runs that have not.
	Occurrences [][]StepRecord
}

// StepRecord is the durable progress of one occurrence of a step.
type StepRecord struct {
	// FailedRuns has the numbers of the failed runs of a gang.
	FailedRuns []int
	Tasks      []TaskRecord
}

// TaskRecord is the durable progress of a task.
type TaskRecord struct {
	// Done is set once the task has succeeded. With a Worker, a later run may still be
	// there, or its start in flight.
	Done bool
	// LastRun is the highest run number used.
	LastRun int
	// FailedRuns has the numbers of the failed runs.
	FailedRuns []int
	Checkpoint string
	// Worker is where the task may be running, and Run the number of that run;
	// an empty Worker means that it is not running. Machine and Incarnation are
	// those of the worker's process, to recognize that it has crashed; a worker
	// that is leaving has none.
	Worker      WorkerID
	Run         int
	Machine     string
	Incarnation Incarnation
	// Accepted is set if the worker has accepted the start, and workers have
	// crashed under the task before.
	Accepted bool
	// Crashes has the crashes of workers under the task, and Lost the runs whose
	// worker may have crashed.
	Crashes []Crash
	Lost    []LostRun
	// NotStarted has the numbers of runs after the first of these that certainly did
	// not start.
	NotStarted []RunRange
}

// TakeRecords returns up to limit records to make durable next. A job whose
// record was taken is no longer dirty; its next change produces a new record.
// Each call begins a commit, and Committed or NotCommitted ends it. RecordsEncoded may be
// called before.
func (c *Cell) TakeRecords(limit int) []Record {
	c.commitsBegun++
	n := min(limit, len(c.dirty))
	if n < len(c.dirty) {
		slices.SortStableFunc(c.dirty, func(a, b *jobState) int { return cmp.Compare(a.recordPriority(), b.recordPriority()) })
	}
	out := make([]Record, n)
	for i, j := range c.dirty[:n] {
		j.dirty, j.retryRecord = false, false
		out[i] = j.record(&c.recordBuffer)
	}
	c.dirty = slices.Delete(c.dirty, 0, n)
	return out
}

// recordPriority orders the dirty records: those whose commit has failed come
// first, and then the others by what waits for them: the first class of starts, or the
// client of an urgent job that has ended. Early starts do not wait.
func (j *jobState) recordPriority() int {
	if j.retryRecord {
		return -1
	}
	class := startOther
	if j.state.Final() && j.queue.Priority == 0 {
		class = startUrgent
	}
	for _, r := range j.planned {
		if !r.early {
			class = min(class, r.class)
		}
	}
	return int(class)
}

// HasRecords reports whether a record waits to be made durable.
func (c *Cell) HasRecords() bool { return len(c.dirty) > 0 || len(c.WaveRecords()) > 0 }

// Committed records that records are durable.
func (c *Cell) Committed(now time.Time, records []Record) {
	c.commitsDone = c.commitsBegun
	for i := range records {
		j, known := c.jobs[records[i].Job]
		if !known {
			continue
		}
		if records[i].Revision < j.durable {
			continue
		}
		j.durable = records[i].Revision
		if records[i].State.Final() || !j.leftPending {
			j.visibleState = records[i].State
		}
		c.enqueueDurable(now, j)
	}
}

// NotCommitted marks records for writing again, since they may not be durable.
func (c *Cell) NotCommitted(records []Record) {
	for i := range records {
		if j, known := c.jobs[records[i].Job]; known {
			c.markDirty(j)
			j.retryRecord = true
		}
	}
}

func (j *jobState) record(buffer *recordBuffer) Record {
	rec := Record{Job: j.job.ID, Revision: j.revision, State: j.state, Cause: j.cause}
	if j.state.Final() && (j.member == nil || j.runs == 0) {
		return rec
	}
	rec.Occurrences = make([][]StepRecord, len(j.occurrences))
	for k, steps := range j.occurrences {
		rec.Occurrences[k] = make([]StepRecord, len(steps))
		for i, s := range steps {
			rec.Occurrences[k][i] = s.record(buffer)
		}
	}
	return rec
}

func (s *stepState) record(buffer *recordBuffer) StepRecord {
	rec := StepRecord{FailedRuns: slices.Clone(s.failedRuns), Tasks: buffer.take(len(s.tasks))}
	for i, t := range s.tasks {
		rec.Tasks[i] = TaskRecord{
			Done: t.phase == phaseDone || t.succeeded, LastRun: t.lastRun, FailedRuns: slices.Clone(t.failedRuns),
			Checkpoint: t.checkpoint, Crashes: slices.Clone(t.crashes), Lost: slices.Clone(t.lost),
			NotStarted: slices.Clone(t.notStarted),
		}
		if r := t.current; r != nil {
			rec.Tasks[i].Worker, rec.Tasks[i].Run = r.worker.id, r.number
			rec.Tasks[i].Accepted = t.mayHaveCrashedWorkers() && r.wasAccepted()
			if !r.worker.registration.Leaving {
				rec.Tasks[i].Machine, rec.Tasks[i].Incarnation = r.worker.registration.Machine, r.incarnation
			}
		}
	}
	return rec
}

// Restore applies a record of a predecessor. It is called after Accept of the
// job and before any report of a worker.
func (c *Cell) Restore(now time.Time, rec Record) {
	j, known := c.jobs[rec.Job]
	if !known {
		return
	}
	if rec.State.Final() {
		c.restoreEnded(now, j, rec)
		return
	}
	if !rec.fits(j.job) {
		c.log.Error("a progress record has more occurrences, steps or tasks than its job; the others are ignored", jobField(j))
	}
	for k := range min(len(rec.Occurrences), j.job.Occurrences()) {
		if k == len(j.occurrences) {
			c.createOccurrence(now, j, k)
		}
		for i := range min(len(rec.Occurrences[k]), len(j.occurrences[k])) {
			c.restoreStep(j.occurrences[k][i], rec.Occurrences[k][i])
		}
		c.restoreSuccesses(j.occurrences[k])
		c.openReadySteps(now, j.occurrences[k])
	}
	if rec.State != workload.StateQueued {
		c.markStarted(j)
	}
	// A record may have the last success before it was settled.
	c.completeIfDone(now, j)
}

// fits reports whether a job has all occurrences, steps and tasks of a record.
func (rec *Record) fits(j *workload.Job) bool {
	for _, steps := range rec.Occurrences {
		if len(steps) > len(j.Steps) {
			return false
		}
		for i := range steps {
			if len(steps[i].Tasks) > j.Steps[i].Tasks {
				return false
			}
		}
	}
	return len(rec.Occurrences) <= j.Occurrences()
}

// restoreEnded restores a job that has ended. Runs of it that still exist are
// stopped as unknown runs when their workers report them.
func (c *Cell) restoreEnded(now time.Time, j *jobState, rec Record) {
	c.inheritEnded(now, j, rec)
	for _, steps := range j.occurrences {
		for _, s := range steps {
			c.closeStep(s)
		}
	}
	delete(c.scheduled, j.job.ID)
	c.markStarted(j)
	j.state, j.cause = rec.State, rec.Cause
	j.visibleState = rec.State
	c.endedJobs = append(c.endedJobs, endedJob{id: j.job.ID, at: now})
	c.unfinishedJobs--
}

func (c *Cell) restoreStep(s *stepState, rec StepRecord) {
	s.failedRuns = rec.FailedRuns
	for i := range rec.Tasks {
		if i < len(s.tasks) {
			c.restoreTask(s.tasks[i], rec.Tasks[i])
		}
	}
	if s.waiting == 0 {
		c.closeStep(s)
	}
}

func (c *Cell) restoreTask(t *task, rec TaskRecord) {
	t.lastRun, t.failedRuns, t.checkpoint = rec.LastRun, rec.FailedRuns, rec.Checkpoint
	t.crashes, t.lost, t.notStarted = rec.Crashes, slices.Clone(rec.Lost), slices.Clone(rec.NotStarted)
	for i := range t.lost {
		t.lost[i].leaseEnd = c.ownedSince // a predecessor has recorded it
		c.watchLostRuns(t, t.lost[i].Machine)
	}
	c.awaitIsolation(t.waitingSince, t)
	if rec.Worker != "" {
		c.inherit(t, rec)
	}
	// Earlier releases could record a long-running task as done.
	if rec.Done && t.step.completedBy(EndDone) {
		t.succeeded = t.current != nil
		if !t.succeeded {
			t.step.markDone(t)
		}
	}
	if c.awaitingWorkers() {
		c.skipRunNumber(t)
	}
}

// inherit records a run of a predecessor, until its worker reports.
func (c *Cell) inherit(t *task, rec TaskRecord) {
	w, known := c.workers[rec.Worker]
	if !known {
		w = c.addWorker(rec.Worker)
	}
	if w.registration.Machine == "" {
		c.setRegistration(w, Registration{ID: rec.Worker, Machine: rec.Machine, Incarnation: rec.Incarnation})
	}
	r := &run{
		task: t, number: rec.Run, worker: w, phase: runInherited, incarnation: rec.Incarnation, pace: inheritedPace(t.step.spec),
		acceptedOnRecord: rec.Accepted,
	}
	t.phase = phaseActive
	t.setCurrent(r)
	t.step.waiting--
	w.runs.add(r)
	w.reserved = w.reserved.Add(t.step.spec.Reserved())
	t.step.job.member.Add(t.step.spec.Size)
}
