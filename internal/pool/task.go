package pool

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/platform"
)

type phase int

const (
	// phaseNew: the task has not been queued yet.
	phaseNew phase = iota
	// phaseWaiting: the task waits for capacity.
	phaseWaiting
	// phaseBackoff: the task waits until it may be tried again.
	phaseBackoff
	// phaseIntent: the task has a worker, and its intent is not durable yet.
	phaseIntent
	// phaseSent: the attempt was sent; it may or may not run.
	phaseSent
	// phaseRunning: the worker has confirmed that the attempt runs.
	phaseRunning
	// phaseEnded: the task has ended and never runs again.
	phaseEnded
)

// task is one task of an open job with its current attempt.
type task struct {
	job   *openJob
	id    job.TaskID
	phase phase
	// attempt is the number of the last attempt; tries counts the attempts that
	// may have run.
	attempt int
	// round is the gang's round at the last intent.
	round  int
	tries  int
	worker *worker
	size   job.Size
	// leaseUntil is the end of the lease by the worker's clock.
	leaseUntil time.Time
	// lapsedBy is the time, by Clock.Now, at which the last lease that could
	// have been granted has certainly lapsed.
	lapsedBy     time.Time
	backoffUntil time.Time
	stopping     bool
	// tracked is set when this owner sent the attempt and has followed its
	// worker's reports without a gap ever since.
	tracked bool
	// inherited is set while the current attempt was started by a predecessor.
	inherited bool
	// unreconciled is set while the predecessor may have started the task
	// unjournaled. attemptSkip is how many attempt numbers it may have used.
	unreconciled bool
	attemptSkip  int
	// held is set while the task is in Pool.heldTasks.
	held         bool
	waitingSince time.Time
	// firstQueuedAt is when the task first waited at this owner.
	firstQueuedAt time.Time
	// reportDueAt is when to request a report about the attempt.
	reportDueAt time.Time
	// sentAt is when the current attempt was sent.
	sentAt time.Time
	// preempted is set when the attempt is being stopped to free its worker's
	// capacity. The task waits again afterwards.
	preempted bool
	// claimedWorker is the worker on which capacity is being freed for the
	// waiting task, or nil. The claim is given up at claimUntil.
	claimedWorker *worker
	claimUntil    time.Time
	// avoid is the worker on which the last attempt failed.
	avoid *worker
	// backfills is set while the task may take capacity that is reserved for a
	// gang.
	backfills bool
}

// holdsCapacity reports whether the task holds capacity on its worker.
func (t *task) holdsCapacity() bool {
	return t.phase == phaseIntent || t.phase == phaseSent || t.phase == phaseRunning
}

func (t *task) currentAttempt() platform.Attempt {
	return platform.Attempt{Task: t.id, Number: t.attempt}
}

// openJob is a job that has no outcome yet.
type openJob struct {
	spec      job.Spec
	tasks     []*task
	cancelled bool
	// failReason and parkReason say why the job failed or was parked. They are
	// empty if it was not.
	failReason string
	parkReason string
	endedTasks int
	// arrival numbers the jobs in the order of their acceptance.
	arrival uint64
	team    *team
	// failedOn holds the workers on which attempts failed, at most
	// maxBlamedWorkers.
	failedOn []*worker
	// expiredReservations counts the gang's reservations that expired before it
	// could start.
	expiredReservations int
	// nextReservationAt is when the gang may get a reservation again.
	nextReservationAt time.Time
	gang              gang
	// tasksPerRack counts the tasks of a service on each rack.
	tasksPerRack map[string]int
}

func (j *openJob) adjustRackCount(rack string, n int) {
	if j.spec.Kind != job.KindService {
		return
	}
	if j.tasksPerRack == nil {
		j.tasksPerRack = make(map[string]int)
	}
	j.tasksPerRack[rack] += n
}

// stopped reports whether no further attempt of the job may start.
func (j *openJob) stopped() bool { return j.cancelled || j.failReason != "" || j.parkReason != "" }

func (j *openJob) state() job.State {
	switch {
	case j.parkReason != "":
		return job.StateParked
	case j.failReason != "":
		return job.StateFailed
	case j.cancelled:
		return job.StateCancelled
	case j.endedTasks == len(j.tasks):
		return job.StateDone
	}
	return job.StateAccepted
}
