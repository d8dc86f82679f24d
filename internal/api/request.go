package api

// Headers of a caller's request and of its response.
const (
	// HeaderIdempotencyKey is the idempotency key of a request: the home data
	// centre, a colon, and a UUID of version 7. An idempotent request may omit the
	// home data centre.
	HeaderIdempotencyKey = "Cicadabarrow-Key"
	// HeaderDeadline is how long the caller waits, as a duration with a unit.
	HeaderDeadline = "Cicadabarrow-Deadline"
	// HeaderIdempotent tells whether the request may run more than once.
	HeaderIdempotent = "Cicadabarrow-Idempotent"
	// HeaderPriority is Normal or Urgent.
	HeaderPriority = "Cicadabarrow-Priority"
	// HeaderOutcome is answered, not-run or unknown.
	HeaderOutcome = "Cicadabarrow-Outcome"
)

// Key is the response to a request for a new idempotency key.
type Key struct {
	Key string
}
