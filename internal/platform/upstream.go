package platform

import "time"

// UpstreamRequest is one request as it goes to an upstream instance.
type UpstreamRequest struct {
	// ID matches the answer to the request.
	ID string
	// IdempotencyKey is the caller's key, under which repeats of a request meet. It is
	// empty when the caller gave none.
	IdempotencyKey string
	// Idempotent allows the request to run more than once.
	Idempotent bool
	// Deadline is how long the instance may work on it.
	Deadline time.Duration
	Method   string
	Path     string
	Body     []byte
}

// UpstreamResponse is a whole answer of an upstream instance. An answer that is
// cut short is never returned as one; it is an error of KindUnknown.
type UpstreamResponse struct {
	// ID is that of the request.
	ID     string
	Status int
	Body   []byte
	// Leaving is set when the instance says that it is leaving.
	Leaving bool
}

// UpstreamStatus is what an instance says of itself.
type UpstreamStatus struct {
	// Running is the number of requests that it works on.
	Running int
	Leaving bool
}
