package cell

import (
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/account"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// AcceptedJob is a job as stored, with the settings that its queue had when the
// job was accepted.
type AcceptedJob struct {
	Job workload.Job
	// Queue is the queue at the time of acceptance. It is used once the
	// manifest no longer contains the queue.
	Queue manifest.Queue
	// Account has the terms of the job's account at the time of acceptance. It is the
	// zero value for a job without an account.
	Account manifest.Terms
}

// jobState is a job and its progress.
type jobState struct {
	job *workload.Job
	// queue is the manifest's queue of the job, or acceptedQueue if the manifest does
	// not have it.
	queue         *manifest.Queue
	acceptedQueue manifest.Queue
	// account has the terms of the job's account at the time of acceptance.
	account manifest.Terms
	state   workload.State
	// visibleState is the state shown to the clients that submit jobs. A final
	// state becomes visible only once it is durable.
	visibleState workload.State
	// cause tells why the job has failed.
	cause      workload.Cause
	acceptedAt time.Time
	// member is the membership in the account; nil without one.
	member *account.Member
	// arrival is the virtual arrival time, which is acceptedAt without an account.
	arrival time.Time
	// bytes is about how much memory the job takes.
	bytes int64
	// leftPending is set once the job no longer counts as pending: a worker has
	// accepted a start of one of its tasks, or the job has ended.
	leftPending bool
	// occurrences holds the steps of each occurrence that has become due.
	occurrences [][]*stepState

	// revision counts the changes of the record; durable is the last revision
	// that the store holds.
	revision uint64
	durable  uint64
	// dirty is set while the record waits to be written, and retryRecord if
	// writing it has failed.
	dirty       bool
	retryRecord bool
	// planned holds the runs whose start waits for a durable record.
	planned []*run
}

// stepState is the state of a step in one occurrence of the job.
type stepState struct {
	id    workload.StepID
	job   *jobState
	spec  *workload.Step
	tasks []*task
	// ready is set when all steps that this one depends on are done.
	ready   bool
	readyAt time.Time
	waiting int
	done    int
	// failedRuns has the numbers of the failed runs of a gang.
	failedRuns []int
	// runTime is the total run time of the timedTasks: the done tasks whose run
	// time is known.
	runTime    time.Duration
	timedTasks int
	// rack is the rack of the first placed task, for steps whose tasks slow
	// down across racks.
	rack string
	// preemptedFor counts the tasks for which other runs are being preempted.
	preemptedFor int
	advice       adviceState
	// open is set while the step has tasks to place. It is then in the
	// evaluation queue, at the position given by key.
	open bool
	key  stepKey
	// class is that of the starts of the step.
	class startClass
	// evaluatedIn is the round of the last decision that evaluated the step.
	evaluatedIn uint64
}

type phase uint8

const (
	// phaseWaiting tasks have no run.
	phaseWaiting phase = iota
	// phaseActive tasks have a run that may be on a worker.
	phaseActive
	// phaseDone tasks are done.
	phaseDone
)

type task struct {
	id    workload.TaskID
	step  *stepState
	phase phase
	// lastRun is the highest run number used, and numberRevision the revision
	// of the record that holds it.
	lastRun        int
	numberRevision uint64
	// failedRuns has the numbers of the failed runs. A run is listed once,
	// however often and however late workers report its end.
	failedRuns []int
	// crashes has the crashes of workers under runs of the task, and lost the
	// runs for which it is not known yet.
	crashes []Crash
	lost    []LostRun
	// notStarted has the numbers of later runs that certainly did not start. It is
	// kept only while the task has crashes or lost runs.
	notStarted []RunRange
	checkpoint string
	current    *run
	// avoidWorker is the worker to avoid: that of the last run that failed or was
	// rescheduled because it made too little progress.
	avoidWorker WorkerID
	// reschedules counts the runs that were stopped because they made too
	// little progress.
	reschedules  int
	waitingSince time.Time
	loggedWait   loggedWait
}

type runPhase uint8

const (
	// runPlanned runs wait for their record to become durable, or in the
	// dispatch queue.
	runPlanned runPhase = iota
	// runSent runs have a start in flight.
	runSent
	// runStarted runs were accepted by the worker.
	runStarted
	// runUncertain runs may be on the worker now or later, since their start
	// was not answered.
	runUncertain
	// runInherited runs were recorded by a predecessor.
	runInherited
)

type run struct {
	task   *task
	number int
	worker *worker
	// incarnation is that of the worker when the run was placed; 0 if unknown.
	incarnation Incarnation
	phase       runPhase
	// acceptedOnRecord is set if a predecessor recorded that the worker had
	// accepted the start.
	acceptedOnRecord bool
	// unsent is set until the start is sent.
	unsent bool
	// queued is set while the start is in the dispatch queue, and early if it
	// need not wait for its record.
	queued   bool
	queuedAt time.Time
	early    bool
	// class is that of the step when the run was planned.
	class startClass
	// sentBeforeRestart is set when the worker began a new incarnation while
	// the start was in flight.
	sentBeforeRestart bool
	// restartCrash is what to count unless the later incarnation accepts or refuses
	// the start; nil if the end of the earlier one was no crash.
	restartCrash *Crash
	// sentUnlisted is set if the worker was unlistedSinceReport when the start was
	// sent.
	sentUnlisted bool
	// revision is the revision of the record that names the run.
	revision uint64
	ticket   string
	// deadline is the lease deadline sent with the start, on the worker's
	// clock.
	deadline time.Duration
	// startedClock is the worker's clock when it accepted the start.
	startedClock time.Duration
	plannedAt    time.Time
	sentAt       time.Time
	// stopping is set once the run is to end. stopAnswered is set once the
	// worker has answered a stop, at stoppedClock on its clock.
	stopping     bool
	stopSentAt   time.Time
	stopAnswered bool
	// preempted is set when the run is stopped to free capacity for others.
	preempted    bool
	stoppedClock time.Duration

	// percent is the progress last reported, and progressAt when it changed. A
	// long-running task reports less than 100 until it has started up.
	percent    int
	progressAt time.Time
	// fresh runs began without a checkpoint.
	fresh         bool
	progressKnown bool
	// firstReportAt is when a report first showed the run to this owner.
	firstReportAt time.Time
	pace          int
	// load is Running.Load as last reported: a latency in milliseconds or a CPU
	// use in millicores, depending on the task.
	load float64
	// inWindow is the progress at the begin of the last window of its worker.
	inWindow windowStart
}

// Accept adds a job from the store. A job that is already known is left
// unchanged.
func (c *Cell) Accept(now time.Time, a AcceptedJob) {
	if _, known := c.jobs[a.Job.ID]; known {
		return
	}
	j := &jobState{
		job: &a.Job, acceptedQueue: a.Queue, account: a.Account, state: workload.StateQueued, visibleState: workload.StateQueued, acceptedAt: now,
		bytes: a.Bytes(),
	}
	c.joinAccount(j)
	c.resolveQueue(j)
	c.jobs[a.Job.ID] = j
	c.hold(j)
	c.pending[a.Job.Queue]++
	c.unfinishedJobs++
	c.createDueOccurrences(now, j)
}

// queueOf returns the queue of a job: the manifest's, or the queue as of the
// job's acceptance if the manifest no longer has it.
func (c *Cell) queueOf(j *jobState) *manifest.Queue { return j.queue }

// resolveQueue finds the queue of a job in the current manifest. Decisions read queues
// far more often than manifests change, and a manifest may have many queues.
func (c *Cell) resolveQueue(j *jobState) {
	if q, ok := c.queues[j.job.Queue]; ok {
		j.queue = q
		return
	}
	j.queue = &j.acceptedQueue
}

// createDueOccurrences creates the occurrences that are due by the wall clock.
func (c *Cell) createDueOccurrences(now time.Time, j *jobState) {
	for k := len(j.occurrences); k < j.job.Occurrences(); k++ {
		// The due time has no monotonic reading, so the wall clock decides.
		if due := j.job.Due(k); !due.IsZero() && now.Before(due) {
			c.scheduled[j.job.ID] = j
			return
		}
		c.createOccurrence(now, j, k)
	}
	delete(c.scheduled, j.job.ID)
}

func (c *Cell) createOccurrence(now time.Time, j *jobState, k int) {
	steps := make([]*stepState, len(j.job.Steps))
	for i := range j.job.Steps {
		steps[i] = newStepState(now, j, k, i)
	}
	j.occurrences = append(j.occurrences, steps)
	if c.awaitingWorkers() {
		for _, s := range steps {
			for _, t := range s.tasks {
				c.skipRunNumber(t)
			}
		}
	}
	c.openReadySteps(now, steps)
}

func newStepState(now time.Time, j *jobState, occurrence, number int) *stepState {
	spec := &j.job.Steps[number]
	s := &stepState{
		id:  workload.StepID{Job: j.job.ID, Occurrence: occurrence, Step: number},
		job: j, spec: spec, waiting: spec.Tasks, tasks: make([]*task, spec.Tasks),
	}
	for i := range s.tasks {
		s.tasks[i] = &task{id: workload.TaskID{StepID: s.id, Index: i}, step: s, waitingSince: now}
	}
	return s
}

// openReadySteps opens, in one occurrence of a job, the steps whose dependencies
// are done.
func (c *Cell) openReadySteps(now time.Time, steps []*stepState) {
	for _, s := range steps {
		if s.ready || !s.dependenciesDone(steps) {
			continue
		}
		s.ready = true
		s.readyAt = now
		for _, t := range s.tasks {
			t.waitingSince = now
			c.setTaskTimers(now, t)
		}
		if s.waiting > 0 {
			c.openStep(now, s)
		}
	}
}

func (s *stepState) dependenciesDone(steps []*stepState) bool {
	for _, after := range s.spec.After {
		if steps[after].done < len(steps[after].tasks) {
			return false
		}
	}
	return true
}

// recordChanged marks the job's record for writing. Changes after a job's end
// need no record.
func (c *Cell) recordChanged(j *jobState) {
	if j.state.Final() {
		return
	}
	j.revision++
	c.markDirty(j)
}

// finalRecordChanged marks the job's final record for writing.
func (c *Cell) finalRecordChanged(j *jobState) {
	j.revision++
	c.markDirty(j)
}

func (c *Cell) markDirty(j *jobState) {
	if j.dirty {
		return
	}
	j.dirty = true
	c.dirty = append(c.dirty, j)
}

// markStarted records that a worker has accepted a start of the job. A start
// that was only sent may be refused or lost, so it does not change the state
// that clients see.
func (c *Cell) markStarted(j *jobState) {
	if j.leftPending {
		return
	}
	j.leftPending = true
	c.pending[j.job.Queue]--
	if j.state == workload.StateQueued {
		j.state = workload.StateRunning
		j.visibleState = workload.StateRunning
	}
}

// fail ends a job that cannot be done.
func (c *Cell) fail(now time.Time, j *jobState, cause workload.Cause) {
	if j.state.Final() {
		return
	}
	j.cause = cause
	if cause == workload.CauseCrashes {
		c.observer.Count(CountFailedCrashes)
	} else {
		c.observer.Count(CountFailedAttempts)
	}
	c.finish(now, j, workload.StateFailed)
}

// finish gives a job its final state and stops what is still running.
func (c *Cell) finish(now time.Time, j *jobState, state workload.State) {
	if j.state.Final() {
		return
	}
	j.state = state
	c.endedJobs = append(c.endedJobs, endedJob{id: j.job.ID, at: now})
	c.unfinishedJobs--
	if !j.leftPending {
		j.leftPending = true
		c.pending[j.job.Queue]--
	}
	for _, steps := range j.occurrences {
		for _, s := range steps {
			c.closeStep(s)
			c.stopStep(now, s)
		}
	}
	c.finalRecordChanged(j)
	c.observe(StageJob, j, now.Sub(j.acceptedAt))
	c.log.Info("job ended", jobField(j), stateField(state), zap.String("Cause", string(j.cause)))
}

func (c *Cell) observe(stage Stage, j *jobState, took time.Duration) {
	c.observer.Observe(stage, j.job.Queue, took)
}

// stopStep stops all runs of a step.
func (c *Cell) stopStep(now time.Time, s *stepState) {
	for _, t := range s.tasks {
		if t.current != nil {
			c.stop(now, t.current)
		}
	}
}

// completeIfDone completes a job whose tasks are all done.
func (c *Cell) completeIfDone(now time.Time, j *jobState) {
	if len(j.occurrences) < j.job.Occurrences() {
		return
	}
	for _, steps := range j.occurrences {
		for _, s := range steps {
			if s.done < len(s.tasks) {
				return
			}
		}
	}
	c.finish(now, j, workload.StateCompleted)
}
