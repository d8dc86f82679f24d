package upstream

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/platform"
)

// Request is a request that wants a slot.
type Request struct {
	ID string
	// Caller is whose share of the queue the request counts against.
	Caller   string
	Urgent   bool
	Deadline time.Time
	// Avoid names an instance that must not get the request.
	Avoid string
}

// Action is what becomes of a request for now.
type Action int

const (
	// ActionSend means that the request goes to an instance.
	ActionSend Action = iota + 1
	// ActionRefuse means that the request is refused and did not run.
	ActionRefuse
)

// Reasons of a refusal.
const (
	ReasonDeadline    = "no slot before the deadline"
	ReasonQueueFull   = "queue full"
	ReasonCallerLimit = "the caller has the most requests in a full queue"
	ReasonNoInstance  = "no instance takes requests"
)

// Decision is a verdict on one request. A request without a decision waits.
type Decision struct {
	Request  Request
	Action   Action
	Instance platform.Host
	Reason   string
	// RetryAfter is when a refused request may find a slot.
	RetryAfter time.Duration
}

// Result is how a request came back from an instance.
type Result int

const (
	// ResultAnswered means that the whole answer came.
	ResultAnswered Result = iota + 1
	// ResultFailed means that the whole answer came and tells of a failure of
	// the instance.
	ResultFailed
	// ResultNotRun means that the request surely did not run.
	ResultNotRun
	// ResultNotSent means that the owner did not send the request after all,
	// which tells nothing of the instance.
	ResultNotSent
	// ResultUnknown means that the request may still reach the instance or
	// run on it.
	ResultUnknown
)
