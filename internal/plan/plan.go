// Package plan defines the plan, which is the configuration of all teams: one
// section for each team with its quota, services, job policies and
// objectives. It also validates, stores and replicates the sections.
package plan

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/job"
)

// Kind classifies the errors of this package by their effect on the plan.
type Kind string

const (
	// KindInvalid means that a section did not pass validation; the error
	// wraps document.Faults. Nothing was changed.
	KindInvalid Kind = "invalid"
	// KindConflict means that another edit was committed first; the error
	// wraps a *Conflict. Nothing was changed.
	KindConflict Kind = "conflict"
	// KindMissing means that the team has no section.
	KindMissing Kind = "missing"
	// KindNotRun means that a read failed, that the platform did not carry out
	// the commit of an edit, or that other edits prevented it on every attempt.
	// Nothing was changed.
	KindNotRun Kind = "not run"
	// KindUnknown means that the edit may have been committed or may still be
	// committed later, and that its outcome could not be read back.
	KindUnknown Kind = "unknown"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Document is the whole plan: the section of each team, by the team's name.
type Document map[string]Section

// Section is a team's part of the plan.
type Section struct {
	Team string
	// Revision is the version of the section's row in the table, or 0 before
	// the section is accepted.
	Revision uint64
	Quota    Quota
	Services []Service
	Jobs     []JobPolicy
	// Objectives are measured by the error budget report.
	Objectives []Objective
}

// Service is the policy for requests to a service of the team.
type Service struct {
	Name string
	// Leaving names the upstream instances that are drained: they get no new
	// work.
	Leaving []string
	// MaxDeadline is the longest deadline of a request.
	MaxDeadline time.Duration
	// RetryBudget is the largest share of requests that may be retries.
	RetryBudget float64
	// Idempotent is the default for requests that do not state whether they
	// are idempotent.
	Idempotent bool
	Priority   job.Priority
}

// JobPolicy is the policy for the team's jobs of one name.
type JobPolicy struct {
	Name string
	Kind job.Kind
	// Size is the largest size that one task may declare; the zero size sets
	// no bound.
	Size        job.Size
	Priority    job.Priority
	MaxAttempts int
	// Replayable allows a task to run again after an attempt whose outcome is
	// unknown.
	Replayable bool
	// Preemptible states that other jobs may preempt a task; it must be false for
	// a job.KindService. It is validated and stored, but not enforced: package
	// pool preempts replayable batch tasks that are not urgent, whatever this
	// field says.
	Preemptible bool
	// GracePeriod is how long a stopped task may take to save its progress.
	GracePeriod time.Duration
}

// ObjectiveKind selects the events that an objective counts as good.
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
	// Of is the name of the service or job policy that is measured.
	Of   string
	Kind ObjectiveKind
	// Target is the share of events that must be good, between 0 and 1.
	Target float64
	// Threshold is the longest good duration of ObjectiveLatency and
	// ObjectiveStartWait; it is 0 for ObjectiveSuccess.
	Threshold time.Duration
	// Window is the period over which the target is measured.
	Window time.Duration
}

// Capacity is the capacity of the workers known so far. A zero size means that
// it is not known.
type Capacity struct {
	// LargestWorker is, for each resource, the largest capacity of one worker.
	LargestWorker job.Size
	// Total is the sum of the capacities of all workers.
	Total job.Size
}
