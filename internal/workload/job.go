// Package workload defines what clients submit to a queue of the manifest on the
// users' platform: jobs, which consist of steps, and the requirements of the tasks
// of each step. The packages cell, owner and host run these jobs.
//
// Package job defines the jobs that teams submit, which packages entry and pool run.
// Jobs of one package are never converted into jobs of the other; workload uses only
// job.Size. Some concepts have one name here and another there: Gang is
// job.KindAllAtOnce, LongRunning is job.KindService, Estimate is RunTime, and
// StateCompleted is job.StateDone.
package workload

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/job"
)

// JobID identifies a job. The client chooses it, and a repeated submission has
// the same ID.
type JobID string

// Job is a job that was accepted on a queue. It is immutable.
type Job struct {
	ID JobID
	// Queue is the name of the queue that accepted the job.
	Queue string
	// Spec is an opaque string that is passed to the tasks. It is unrelated to
	// job.Spec.
	Spec  string
	Steps []Step
	// Schedule is zero for a job that runs once and immediately.
	Schedule Schedule
}

// Schedule makes a job run several times, at regular intervals.
type Schedule struct {
	// First is when occurrence 0 is due.
	First time.Time
	// Every is the interval between two occurrences.
	Every time.Duration
	// Times is how many occurrences there are; 0 means that there is no schedule,
	// and the job has one occurrence.
	Times int
}

// Occurrences returns the number of occurrences of the steps, which is 1 without a
// schedule.
func (j *Job) Occurrences() int { return max(j.Schedule.Times, 1) }

// Due returns the earliest start time of an occurrence. The zero time means
// immediately.
func (j *Job) Due(occurrence int) time.Time {
	if j.Schedule.Times == 0 {
		return time.Time{}
	}
	return j.Schedule.First.Add(time.Duration(occurrence) * j.Schedule.Every)
}

// LongRunning reports whether any step runs until the job is cancelled.
func (j *Job) LongRunning() bool {
	for i := range j.Steps {
		if j.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// Step is a group of tasks with the same requirements.
type Step struct {
	// Tasks is the number of tasks, at least 1.
	Tasks int
	// Size is the amount of resources that one task needs.
	Size job.Size
	// Estimate is the client's rough estimate of a task's run time.
	Estimate time.Duration
	// After lists the indexes of the earlier steps whose tasks must all be done
	// before this step starts.
	After []int
	// Checkpoints means that the tasks save their progress in checkpoints.
	Checkpoints bool
	// Gang means that the tasks form a gang: all of them start together or none
	// does, the others are stopped when one ends without success, and all are done
	// when one is done.
	Gang bool
	// SameRack means that the tasks slow down when they span racks.
	SameRack bool
	// Label is a label that the worker must have. Empty means that any worker
	// will do.
	Label string
	// DataRack is the rack that stores the data of the tasks. Empty means that
	// the tasks prefer no rack.
	DataRack string
	// MaxPerWorker is the largest number of tasks of the step on one worker; 0
	// means that there is no bound.
	MaxPerWorker int
	// Speculative means that a second copy of a slow task may be started.
	Speculative bool
	// LongRunning means that the tasks run until the job is cancelled.
	LongRunning bool
	// Image is the name of the program that the tasks run. Tasks of the same
	// image are expected to behave alike.
	Image string
	// LatencyTarget is the target for the tail latency of tasks that serve
	// requests of end users; 0 means that the tasks serve none.
	LatencyTarget time.Duration
	// BestEffort means that the tasks use only processor time that other tasks
	// leave unused.
	BestEffort bool
	// MaxUnavailable is the largest number of tasks of a long-running step that
	// the scheduler may make unavailable at the same time.
	MaxUnavailable int
	// HasMaxUnavailable is set when MaxUnavailable was given.
	HasMaxUnavailable bool
}

// Reserved returns the capacity that a task takes from its worker. A best-effort
// task reserves no processor time.
func (s *Step) Reserved() job.Size {
	size := s.Size
	if s.BestEffort {
		size.MilliCores = 0
	}
	return size
}

// State is the state of a job.
type State string

const (
	// StateQueued means that no task has started.
	StateQueued State = "Queued"
	// StateRunning means that a task has started.
	StateRunning State = "Running"
	// StateCompleted means that all tasks are done.
	StateCompleted State = "Completed"
	// StateFailed means that a task has used up its attempts or crashes its
	// workers; the cause tells which.
	StateFailed State = "Failed"
	// StateCancelled means that the client cancelled the job.
	StateCancelled State = "Cancelled"
)

// Cause tells why a job has failed.
type Cause string

const (
	// CauseNone is the cause of a job that has not failed.
	CauseNone Cause = ""
	// CauseAttempts means that a task has failed as often as its queue allows.
	CauseAttempts Cause = "Attempts"
	// CauseCrashes means that workers have crashed while they ran a task.
	CauseCrashes Cause = "Crashes"
)

// Status is the state of a job as shown to its client.
type Status struct {
	State State
	// Cause tells why the job has failed.
	Cause Cause
}

// Final reports whether a job in this state can no longer change.
func (s State) Final() bool {
	return s == StateCompleted || s == StateFailed || s == StateCancelled
}
