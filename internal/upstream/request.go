package upstream

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/platform"
)

// Request is a request that needs a slot of an instance.
type Request struct {
	ID string
	// Caller names the caller whose share of the queue the request uses.
	Caller   string
	Urgent   bool
	Deadline time.Time
	// Avoid names an instance that must not get the request.
	Avoid string
}

// Action tells what to do with a request.
type Action int

const (
	// ActionSend means that the request is sent to Decision.Instance.
	ActionSend Action = iota + 1
	// ActionRefuse means that the request is refused; it did not run.
	ActionRefuse
)

// Reasons for refusing a request.
const (
	ReasonDeadline    = "no slot before the deadline"
	ReasonQueueFull   = "queue full"
	ReasonCallerLimit = "the caller has the most requests in a full queue"
	ReasonNoInstance  = "no instance takes requests"
)

// Decision is the decision on one request. A request without one keeps waiting.
type Decision struct {
	Request  Request
	Action   Action
	Instance platform.Host
	Reason   string
	// RetryAfter is the time after which a refused request may find a slot.
	RetryAfter time.Duration
}

// Result is the result of sending a request to an instance.
type Result int

const (
	// ResultAnswered means that the response arrived complete.
	ResultAnswered Result = iota + 1
	// ResultFailed means that the response arrived complete and reports a
	// failure of the instance.
	ResultFailed
	// ResultNotRun means that the request did not run.
	ResultNotRun
	// ResultNotSent means that the owner did not send the request. It says
	// nothing about the instance.
	ResultNotSent
	// ResultUnknown means that the request may still reach the instance or
	// run on it.
	ResultUnknown
)
