package platform

import "time"

// UpstreamRequest is one request to an upstream instance.
type UpstreamRequest struct {
	// ID matches the response to the request.
	ID string
	// IdempotencyKey is chosen by the caller and is the same for all retries
	// of a request. It is empty if the caller gave none.
	IdempotencyKey string
	// Idempotent is set if the request may run more than once.
	Idempotent bool
	// Deadline is the time that the instance may spend on the request.
	Deadline time.Duration
	Method   string
	Path     string
	Body     []byte
}

// UpstreamResponse is the complete response of an upstream instance. A truncated
// response is never returned; it gives an error of KindUnknown.
type UpstreamResponse struct {
	// ID is the ID of the request.
	ID     string
	Status int
	Body   []byte
	// Leaving is set if the instance reports that it is leaving.
	Leaving bool
}

// UpstreamStatus is the status that an upstream instance reports.
type UpstreamStatus struct {
	// Running is the number of requests in progress.
	Running int
	Leaving bool
}
