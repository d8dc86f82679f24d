// Package plan holds the plan document: a section for each team with its
// quota, services, job policies and objectives.
package plan

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/job"
)

// Kind tells what a failed operation on the plan means for its caller.
type Kind string

const (
	// KindInvalid means that a section has faults; the error wraps
	// document.Faults. Nothing was changed.
	KindInvalid Kind = "invalid"
	// KindConflict means that another edit came first; the error wraps a
	// *Conflict. Nothing was changed.
	KindConflict Kind = "conflict"
	// KindMissing means that the team has no section.
	KindMissing Kind = "missing"
	// KindNotRun means that the platform did not take the call; nothing was
	// changed.
	KindNotRun Kind = "not run"
	// KindUnknown means that the edit may have been accepted, and that it
	// could not be read back.
	KindUnknown Kind = "unknown"
)

// Error is the error of this package.
type Error = fault.Error[Kind]

// Document is the plan: the sections by team.
type Document map[string]Section

// Section is a team's part of the plan.
type Section struct {
	Team string
	// Revision is the version of the section's row in the table; 0 means that
	// the section has not been accepted yet.
	Revision uint64
	Quota    Quota
	Services []Service
	Jobs     []JobPolicy
	// Objectives are what the report on service-level burn measures.
	Objectives []Objective
}

// Service is the policy for requests to a service of the team.
type Service struct {
	Name string
	// Leaving names upstream instances that get no new work.
	Leaving []string
	// MaxDeadline is the longest deadline of a request.
	MaxDeadline time.Duration
	// RetryBudget is the share of requests that may be retries.
	RetryBudget float64
	// Idempotent tells whether requests that do not say so are idempotent.
	Idempotent bool
	Priority   job.Priority
}

// JobPolicy is the policy for the team's jobs of one name.
type JobPolicy struct {
	Name string
	Kind job.Kind
	// Size is the most that one task may declare; the zero size leaves it
	// open.
	Size        job.Size
	Priority    job.Priority
	MaxAttempts int
	// Replayable allows a task to run again after an attempt whose outcome is
	// lost.
	Replayable bool
	// Preemptible allows urgent work to stop a task.
	Preemptible bool
	// GracePeriod is how long a task may take to save its progress.
	GracePeriod time.Duration
}

// ObjectiveKind tells what an objective counts as good.
type ObjectiveKind string

const (
	// ObjectiveLatency counts requests answered within the threshold.
	ObjectiveLatency ObjectiveKind = "Latency"
	// ObjectiveSuccess counts requests answered without an error.
	ObjectiveSuccess ObjectiveKind = "Success"
	// ObjectiveStartWait counts tasks started within the threshold.
	ObjectiveStartWait ObjectiveKind = "StartWait"
)

// Objective is a service-level objective of the team.
type Objective struct {
	Name string
	// Of names the service or the job policy that is measured.
	Of   string
	Kind ObjectiveKind
	// Target is the share that must be good, between 0 and 1.
	Target float64
	// Threshold is the bound of ObjectiveLatency and ObjectiveStartWait.
	Threshold time.Duration
	// Window is the time over which the target holds.
	Window time.Duration
}

// Capacity is what the workers known so far offer. A zero size is not known.
type Capacity struct {
	// LargestWorker is the largest room of one worker in each resource.
	LargestWorker job.Size
	// Total is the room of all workers together.
	Total job.Size
}
