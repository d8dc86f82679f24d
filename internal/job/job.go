// Package job defines the jobs that teams submit to an entry host of the command
// "serve". Packages entry and pool run them. Package workload defines the jobs of the
// users' platform and tells which of its terms correspond to those of this package.
package job

import "time"

// Kind is the scheduling policy of a job's tasks.
type Kind string

const (
	// KindService keeps the tasks running and spreads them over racks.
	KindService Kind = "Service"
	// KindBatch packs the tasks densely. They may be preempted if the job is
	// replayable and not urgent.
	KindBatch Kind = "Batch"
	// KindAllAtOnce runs the tasks as a gang: within one start window, all of
	// them start or none does.
	KindAllAtOnce Kind = "AllAtOnce"
)

// Priority orders jobs that wait for the same capacity.
type Priority string

const (
	// PriorityNormal is the default priority.
	PriorityNormal Priority = "Normal"
	// PriorityUrgent is for jobs that should start within a second; they may
	// preempt batch jobs.
	PriorityUrgent Priority = "Urgent"
)

// State is the state of a job.
type State string

const (
	// StateAccepted means that the job is durable and is waiting or running.
	StateAccepted State = "Accepted"
	// StateDone means that every task succeeded.
	StateDone State = "Done"
	// StateFailed means that a task has used up its attempts.
	StateFailed State = "Failed"
	// StateCancelled means that the cancellation was recorded before the job
	// ended.
	StateCancelled State = "Cancelled"
	// StateParked means that the outcome of a task is unknown and the task must
	// not run again. The job then waits for an operator's decision.
	StateParked State = "Parked"
)

// Final reports whether a job in this state can no longer change.
func (s State) Final() bool { return s != StateAccepted }

// Spec is a job as its team submitted it. It does not change after the job is
// accepted.
type Spec struct {
	// ID identifies the job. A repeated submission has the same ID.
	ID string
	// Team is the team that submitted the job. The job counts against the team's
	// quota.
	Team string
	// Name is shared by jobs of the same sort. The plan's job policies and
	// objectives refer to jobs by this name.
	Name string
	Kind Kind
	// Priority is PriorityNormal when empty.
	Priority Priority
	// Tasks is the number of tasks, at least 1.
	Tasks int
	// Size is the amount of resources that the team declares for each task.
	Size Size
	// RunTime is the run time that the team declares for each task; 0 for
	// services.
	RunTime time.Duration
	// DataCentre is the data centre where the job must run. Empty means that
	// the scheduler chooses.
	DataCentre string
	// Replayable allows a task to run again after an attempt whose outcome is
	// unknown. A job that is not replayable is parked instead.
	Replayable bool
	// MaxAttempts is the largest number of attempts of one task, counted when
	// they start.
	MaxAttempts int
}

// TaskID identifies one task of a job.
type TaskID struct {
	Job   string
	Index int
}
