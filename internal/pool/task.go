package pool

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/platform"
)

type phase int

const (
	// phaseNew tasks have not been queued yet.
	phaseNew phase = iota
	// phaseWaiting tasks wait for room.
	phaseWaiting
	// phaseBackoff tasks wait until they may be tried again.
	phaseBackoff
	// phaseIntent tasks have a worker and wait for the journal.
	phaseIntent
	// phaseSent attempts were sent; they may or may not run.
	phaseSent
	// phaseRunning attempts run, by the word of their worker.
	phaseRunning
	// phaseEnded tasks run no more and never will again.
	phaseEnded
)

// task is one task of an open job with its current attempt.
type task struct {
	job   *openJob
	id    job.TaskID
	phase phase
	// attempt numbers attempts; tries counts those that may have run.
	attempt int
	// round is that of the gang at the last intent.
	round  int
	tries  int
	worker *worker
	size   job.Size
	// leaseUntil is the end of the lease by the worker's clock.
	leaseUntil time.Time
	// lapsedBy is the time by Clock.Now at which the last lease that could have
	// been granted has surely lapsed.
	lapsedBy     time.Time
	backoffUntil time.Time
	stopping     bool
	// tracked is set when this owner sent the attempt and has followed its
	// worker's reports ever since.
	tracked bool
	// inherited is set while the current attempt is one of an earlier owner.
	inherited bool
	// unreconciled is set while the owner before may have started an attempt that
	// no record names; skip is how many attempt numbers that one may have used.
	unreconciled bool
	attemptSkip  int
	// held is set while the task stands in Pool.held.
	held         bool
	waitingSince time.Time
	// firstQueuedAt is when the task first waited at this owner.
	firstQueuedAt time.Time
	// reportDueAt is when the worker should be asked about the attempt.
	reportDueAt time.Time
	// sentAt is when the current attempt was sent.
	sentAt time.Time
	// preempted is set when the attempt is stopped for urgent work.
	preempted bool
	// claim is the worker that makes room for the waiting task, at the latest
	// until claimUntil.
	claim      *worker
	claimUntil time.Time
	// avoid is the worker on which the last attempt failed.
	avoid *worker
	// backfills is set while the task may take room that is held for a gang.
	backfills bool
}

// holdsCapacity reports whether the task holds room on its worker.
func (t *task) holdsCapacity() bool {
	return t.phase == phaseIntent || t.phase == phaseSent || t.phase == phaseRunning
}

func (t *task) currentAttempt() platform.Attempt {
	return platform.Attempt{Task: t.id, Number: t.attempt}
}

// openJob is a job that has no outcome yet.
type openJob struct {
	spec       job.Spec
	tasks      []*task
	cancelled  bool
	failed     string
	parked     string
	endedTasks int
	// arrival orders jobs of one class.
	arrival uint64
	team    *team
	// failedOn are the first workers on which attempts failed.
	failedOn []*worker
	// expiredReservations counts the reservations of a gang that came to nothing.
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
func (j *openJob) stopped() bool { return j.cancelled || j.failed != "" || j.parked != "" }

func (j *openJob) state() job.State {
	switch {
	case j.parked != "":
		return job.StateParked
	case j.failed != "":
		return job.StateFailed
	case j.cancelled:
		return job.StateCancelled
	case j.endedTasks == len(j.tasks):
		return job.StateDone
	}
	return job.StateAccepted
}
