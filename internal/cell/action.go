package cell

import (
	"errors"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// ErrFenced means that a worker has seen the fencing token of a later owner.
var ErrFenced = errors.New("the worker has seen a higher fencing token")

// Action is something that the cell wants done: an AskAdvice, a SendStart, a
// SendStop, a SetPace or a Look.
type Action interface{ action() }

// AskAdvice asks which workers may run a step.
type AskAdvice struct {
	Step    workload.StepID
	Workers []WorkerID
	// Urgent questions go before the others.
	Urgent bool
	// Cost is how long the advice service takes for the question.
	Cost time.Duration
}

// SendStart starts a run at a worker. Its intent is durable.
type SendStart struct {
	Worker WorkerID
	Task   workload.TaskID
	Run    int
	Spec   string
	// Deadline is the end of the worker's lease, on the worker's clock.
	Deadline   time.Duration
	Ticket     string
	Checkpoint string
}

// SendStop stops a run at a worker, whether it has arrived there or not.
type SendStop struct {
	Worker WorkerID
	Task   workload.TaskID
	Run    int
}

// SetPace lets a run work at a share of its speed.
type SetPace struct {
	Worker  WorkerID
	Task    workload.TaskID
	Run     int
	Percent int
}

// RequestReport asks a worker for a report at once, beside the hold call that stands.
type RequestReport struct {
	Worker WorkerID
}

func (RequestReport) action() {}
func (AskAdvice) action()     {}
func (SendStart) action()     {}
func (SendStop) action()      {}
func (SetPace) action()       {}

// Refusal is a worker's reason for not starting a run.
type Refusal string

const (
	// RefusedFence means that the worker has seen a higher fencing token.
	RefusedFence Refusal = "fence"
	// RefusedStale means that a run of this number or a higher one was there.
	RefusedStale Refusal = "old"
	// RefusedLate means that the start's deadline had passed.
	RefusedLate Refusal = "late"
	// RefusedCapacity means that the worker has no room.
	RefusedCapacity Refusal = "room"
	// RefusedTicket means that the ticket is not valid.
	RefusedTicket Refusal = "ticket"
	// RefusedBusy means that the worker was not able to take the call.
	RefusedBusy Refusal = "busy"
	// RefusedInvalid means that the worker did not accept the call's form.
	RefusedInvalid Refusal = "invalid"
)

// StartOutcome is what became of a SendStart.
type StartOutcome struct {
	// Unknown means that no answer came: the run may start later.
	Unknown bool
	// NotSent means that nothing of the call reached the worker.
	NotSent bool
	// Refused is empty when the worker took the start.
	Refused Refusal
	// Clock is the worker's clock, where it answered.
	Clock time.Duration
}

// Ticket allows a worker to run a step.
type Ticket struct {
	Worker WorkerID
	Value  string
}

// Advice is the answer to an AskAdvice.
type Advice struct {
	Step workload.StepID
	// Asked holds the workers of the question.
	Asked   []WorkerID
	Allowed []Ticket
	// Valid is how long the tickets last; 0 means as the queue says.
	Valid time.Duration
	// Failed means that there was no answer; nothing was learned.
	Failed bool
}
