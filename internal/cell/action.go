package cell

import (
	"errors"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// ErrFenced means that a worker has seen the fencing token of a later owner.
var ErrFenced = errors.New("the worker has seen a higher fencing token")

// Action is something that the cell wants carried out: an AskAdvice, a
// SendStart, a SendStop, a SetPace, a RequestReport, a Maintenance or a
// WaveStatus.
type Action interface{ action() }

// AskAdvice is a question: it asks the advice service which workers may run a
// step.
type AskAdvice struct {
	Step    workload.StepID
	Workers []WorkerID
	// Urgent questions are asked before the others.
	Urgent bool
	// Cost is how long the advice service takes to answer the question.
	Cost time.Duration
}

// SendStart starts a run on a worker. The record of the run is durable, unless
// the start is an early start.
type SendStart struct {
	Worker WorkerID
	// Incarnation is the process of the worker that the start is meant for; 0 if any may
	// have it. The start is not sent to another one, and counts as RefusedRestarted.
	Incarnation Incarnation
	Task        workload.TaskID
	Run         int
	Spec        string
	// Deadline is the end of the worker's lease, on the worker's clock.
	Deadline   time.Duration
	Ticket     string
	Checkpoint string
}

// SendStop stops a run on a worker, whether the start has arrived there or not.
type SendStop struct {
	Worker WorkerID
	Task   workload.TaskID
	Run    int
}

// SetPace limits a run to a percentage of its full speed.
type SetPace struct {
	Worker  WorkerID
	Task    workload.TaskID
	Run     int
	Percent int
}

// RequestReport asks a worker for an immediate report, in addition to the
// pending hold call.
type RequestReport struct {
	Worker WorkerID
}

func (RequestReport) action() {}
func (AskAdvice) action()     {}
func (SendStart) action()     {}
func (SendStop) action()      {}
func (SetPace) action()       {}

// Refusal is a worker's reason for refusing a start.
type Refusal string

const (
	// RefusedFence means that the worker has seen a higher fencing token.
	RefusedFence Refusal = "fence"
	// RefusedStale means that the worker has already had a run of the task with
	// this number or a higher one.
	RefusedStale Refusal = "old"
	// RefusedLate means that the deadline of the start had passed.
	RefusedLate Refusal = "late"
	// RefusedCapacity means that the worker has too little free capacity.
	RefusedCapacity Refusal = "room"
	// RefusedTicket means that the ticket is not valid.
	RefusedTicket Refusal = "ticket"
	// RefusedBusy means that the worker was not able to take the call.
	RefusedBusy Refusal = "busy"
	// RefusedRestarted means that the start was meant for an incarnation that no longer
	// answers, so that it was not sent.
	RefusedRestarted Refusal = "restarted"
	// RefusedInvalid means that the worker rejected the call as malformed.
	RefusedInvalid Refusal = "invalid"
)

// StartOutcome is the result of a SendStart.
type StartOutcome struct {
	// Unknown means that no answer arrived: the run may still start later.
	Unknown bool
	// NotSent means that no part of the call reached the worker.
	NotSent bool
	// Refused is empty when the worker accepted the start.
	Refused Refusal
	// Clock is the reading of the worker's clock, if it answered.
	Clock time.Duration
}

// Ticket permits a worker to run a step.
type Ticket struct {
	Worker WorkerID
	Value  string
}

// Advice is the answer to an AskAdvice.
type Advice struct {
	Step workload.StepID
	// Asked holds the workers that the question named.
	Asked   []WorkerID
	Allowed []Ticket
	// Valid is how long the tickets are valid; 0 selects the queue's default.
	Valid time.Duration
	// Failed means that there was no answer, so nothing is known about the
	// workers.
	Failed bool
}
