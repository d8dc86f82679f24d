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
	// runs is the number of tasks that have a run.
	runs int
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
