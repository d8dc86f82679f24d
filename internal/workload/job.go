// Package workload holds what a caller submits to a queue: jobs of steps, the
// tasks of each step, and how they may run.
package workload

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/job"
)

// JobID names a job. The caller chooses it, and a repeated submission carries
// the same one.
type JobID string

// Job is a piece of work that was accepted on a queue. It never changes.
type Job struct {
	ID JobID
	// Queue is the name of the queue that accepted the job.
	Queue string
	// Spec is handed to the tasks unread.
	Spec  string
	Steps []Step
	// Schedule is zero for a job that runs once, at once.
	Schedule Schedule
}

// Schedule makes a job run several times, each time at its own moment.
type Schedule struct {
	// First is when occurrence 0 is due.
	First time.Time
	// Every is the time between two occurrences.
	Every time.Duration
	// Times is the number of occurrences; 0 means that there is no schedule.
	Times int
}

// Occurrences returns how many times the steps run.
func (j *Job) Occurrences() int { return max(j.Schedule.Times, 1) }

// Due returns when an occurrence may begin; the zero time means at once.
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

// Step is a group of like tasks.
type Step struct {
	// Tasks is the number of tasks, at least 1.
	Tasks int
	// Size is what one task needs.
	Size job.Size
	// Estimate is the caller's rough estimate of a task's run time.
	Estimate time.Duration
	// After lists the earlier steps whose tasks must all be done first.
	After []int
	// Checkpoints means that the tasks save their progress.
	Checkpoints bool
	// Gang means that the tasks of a run start and end together.
	Gang bool
	// SameRack means that the tasks slow down when they span racks.
	SameRack bool
	// Label is a label that the worker must have; empty means none.
	Label string
	// DataRack is the rack where the data lies; empty means anywhere.
	DataRack string
	// MaxPerWorker bounds the tasks of the step on one worker; 0 is no bound.
	MaxPerWorker int
	// Speculative means that a second copy of a slow task may run.
	Speculative bool
	// LongRunning tasks run until the job is cancelled.
	LongRunning bool
	// Image names what the tasks run. Tasks of one image behave alike.
	Image string
	// LatencyTarget bounds the tail latency of tasks that serve users of
	// their own; 0 means that they have none.
	LatencyTarget time.Duration
	// BestEffort tasks take only processor time that the others leave unused.
	BestEffort bool
	// MaxUnavailable is how many tasks of a long-running step the scheduler may
	// make unavailable at the same time.
	MaxUnavailable int
	// HasMaxUnavailable is set when MaxAway was given.
	HasMaxUnavailable bool
}

// Reserved is the room that a task takes from its worker. A best-effort task takes no
// processor time of its own.
func (s *Step) Reserved() job.Size {
	size := s.Size
	if s.BestEffort {
		size.MilliCores = 0
	}
	return size
}

// State is the outcome of a job so far.
type State string

const (
	// StateQueued means that no task has started.
	StateQueued State = "Queued"
	// StateRunning means that a task has started.
	StateRunning State = "Running"
	// StateCompleted means that all tasks are done.
	StateCompleted State = "Completed"
	// StateFailed means that a task has used up its attempts.
	StateFailed State = "Failed"
	// StateCancelled means that the caller cancelled the job.
	StateCancelled State = "Cancelled"
)

// Final reports whether the job changes no more.
func (s State) Final() bool {
	return s == StateCompleted || s == StateFailed || s == StateCancelled
}
