package cell

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// AcceptedJob is a job as it stands in the store, with what its queue said when
// it was accepted.
type AcceptedJob struct {
	Job workload.Job
	// Queue is the queue at the time of acceptance. It serves once the queue
	// has left the manifest.
	Queue manifest.Queue
}

// jobState is a job and how far it has come.
type jobState struct {
	job   *workload.Job
	queue manifest.Queue
	state workload.State
	// visibleState is the state of the last durable record. A caller sees no end
	// before it is durable.
	visibleState workload.State
	acceptedAt   time.Time
	// started is set when a worker has taken a start of any task.
	started bool
	// occurrences holds the steps of each occurrence that has become due.
	occurrences [][]*stepState

	// revision counts the changes of the record; durable is the last one that
	// the store holds.
	revision uint64
	durable  uint64
	// dirty is set while the job waits for its record to be written, and again if
	// that has failed.
	dirty       bool
	retryRecord bool
	// planned holds the runs whose start waits for a durable record.
	planned []*run
}

// stepState is one occurrence of a step.
type stepState struct {
	id    workload.StepID
	job   *jobState
	spec  *workload.Step
	tasks []*task
	// ready is set when all steps that it depends on are done.
	ready   bool
	readyAt time.Time
	waiting int
	done    int
	// failedRuns has the numbers of a gang's runs that failed.
	failedRuns []int
	// runTime is the sum of the run times of timed tasks that are done.
	runTime    time.Duration
	timedTasks int
	// rack is where the tasks of a step that slows down across racks began.
	rack string
	// preemptedFor counts the tasks for which runs are being stopped elsewhere.
	preemptedFor int
	advice       adviceState
	// open is set while the step is on the agenda, where key is its place.
	open bool
	key  stepKey
	// evaluatedIn is the last decision that has looked at the step.
	evaluatedIn uint64
}

type phase uint8

const (
	// phaseWaiting tasks have no run.
	phaseWaiting phase = iota
	// phaseActive tasks have a run that may be at a worker.
	phaseActive
	// phaseDone tasks are done.
	phaseDone
)

type task struct {
	id    workload.TaskID
	step  *stepState
	phase phase
	// lastRun is the highest run number used, and numberRevision the record
	// that names it.
	lastRun        int
	numberRevision uint64
	// failedRuns has the numbers of the runs that failed, each once, however
	// often and late a worker lists their ends.
	failedRuns []int
	checkpoint string
	current    *run
	// failedOn is the worker of the last run that failed or was moved.
	failedOn WorkerID
	// reschedules counts the runs given up for their lack of progress.
	reschedules  int
	waitingSince time.Time
}

type runPhase uint8

const (
	// runPlanned runs wait for their record to be durable, or to be sent.
	runPlanned runPhase = iota
	// runSent runs have a start on its way.
	runSent
	// runStarted runs were taken by the worker.
	runStarted
	// runUncertain runs may be at the worker now or later.
	runUncertain
	// runInherited runs were recorded by an earlier owner.
	runInherited
)

type run struct {
	task   *task
	number int
	worker *worker
	phase  runPhase
	// queued is set while the start waits to be sent, and ahead if it need not
	// wait for its record.
	queued   bool
	queuedAt time.Time
	early    bool
	// urgent is set if its queue was of the first priority when it was planned.
	urgent bool
	// sentBeforeRestart is set when the worker began a new life while the start was on its
	// way.
	sentBeforeRestart bool
	// revision is that of the record which names the run.
	revision uint64
	ticket   string
	// deadline is the lease deadline of the start, on the worker's clock.
	deadline time.Duration
	// startedClock is the worker's clock when it took the start.
	startedClock time.Duration
	plannedAt    time.Time
	sentAt       time.Time
	// stopping is set once the run is to end, and stoppedClock once the
	// worker has answered a stop.
	stopping     bool
	stopSentAt   time.Time
	stopAnswered bool
	// preempted is set when the run is stopped to make room for others.
	preempted    bool
	stoppedClock time.Duration

	// percent is the progress last reported, and movedAt when it changed.
	percent    int
	progressAt time.Time
	// fresh runs began without a checkpoint.
	fresh bool
	seen  bool
	pace  int
	load  float64
}

// Accept takes in a job of the store. A job that is known already is left as
// it is.
func (c *Cell) Accept(now time.Time, a AcceptedJob) {
	if _, known := c.jobs[a.Job.ID]; known {
		return
	}
	j := &jobState{
		job: &a.Job, queue: a.Queue, state: workload.StateQueued, visibleState: workload.StateQueued, acceptedAt: now,
	}
	c.jobs[a.Job.ID] = j
	c.pending[a.Job.Queue]++
	c.openJobs++
	c.openDue(now, j)
}

// queueOf returns the queue of a job: the manifest's, or that of its
// acceptance once it has left the manifest.
func (c *Cell) queueOf(j *jobState) *manifest.Queue {
	if c.manifest != nil {
		if q := c.manifest.Queue(j.job.Queue); q != nil {
			return q
		}
	}
	return &j.queue
}

// openDue opens the occurrences that are due by the time of day.
func (c *Cell) openDue(now time.Time, j *jobState) {
	for k := len(j.occurrences); k < j.job.Occurrences(); k++ {
		// The due time has no monotonic reading, so the time of day decides.
		if due := j.job.Due(k); !due.IsZero() && now.Before(due) {
			c.scheduled[j.job.ID] = j
			return
		}
		c.openOccurrence(now, j, k)
	}
	delete(c.scheduled, j.job.ID)
}

func (c *Cell) openOccurrence(now time.Time, j *jobState, k int) {
	steps := make([]*stepState, len(j.job.Steps))
	for i := range j.job.Steps {
		steps[i] = newStepState(now, j, k, i)
	}
	j.occurrences = append(j.occurrences, steps)
	if c.settling() {
		for _, s := range steps {
			for _, t := range s.tasks {
				c.skipRunNumber(t)
			}
		}
	}
	c.openReady(now, steps)
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

// openReady opens the steps of an occurrence whose dependencies are done.
func (c *Cell) openReady(now time.Time, steps []*stepState) {
	for _, s := range steps {
		if s.ready || !s.dependenciesDone(steps) {
			continue
		}
		s.ready = true
		s.readyAt = now
		for _, t := range s.tasks {
			t.waitingSince = now
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

// recordChanged notes that the job's record has to be written again. What happens to
// a job after its end needs no record.
func (c *Cell) recordChanged(j *jobState) {
	if j.state.Final() {
		return
	}
	j.revision++
	c.markDirty(j)
}

// finalRecordChanged notes that the job's last record has to be written.
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

// markStarted notes that a worker has taken a start of the job. A start that was only
// sent may be refused or lost, so it says nothing to callers.
func (c *Cell) markStarted(j *jobState) {
	if j.started {
		return
	}
	j.started = true
	c.pending[j.job.Queue]--
	if j.state == workload.StateQueued {
		j.state = workload.StateRunning
		j.visibleState = workload.StateRunning
	}
}

// finish gives a job its final state.
func (c *Cell) finish(now time.Time, j *jobState, state workload.State) {
	if j.state.Final() {
		return
	}
	j.state = state
	c.endedJobs = append(c.endedJobs, endedJob{id: j.job.ID, at: now})
	c.openJobs--
	if !j.started {
		j.started = true
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
	c.log.Info("job ended", jobField(j), stateField(state))
}

func (c *Cell) observe(stage Stage, j *jobState, took time.Duration) {
	c.observer.Observe(stage, j.job.Queue, took)
}

// stopStep stops what runs of a step.
func (c *Cell) stopStep(now time.Time, s *stepState) {
	for _, t := range s.tasks {
		if t.current != nil {
			c.stop(now, t.current)
		}
	}
}

// completeIfDone ends a job whose tasks are all done.
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
