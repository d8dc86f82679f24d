package api

// Headers of a caller's request and of its answer.
const (
	// HeaderIdempotencyKey is the caller's key of a request: the home data centre, a
	// colon, and a UUID of version 7. An idempotent request may leave out the
	// home.
	HeaderIdempotencyKey = "Cicadabarrow-Key"
	// HeaderDeadline is how long the caller waits, as a duration with its
	// unit.
	HeaderDeadline = "Cicadabarrow-Deadline"
	// HeaderIdempotent tells whether the request may run more than once.
	HeaderIdempotent = "Cicadabarrow-Idempotent"
	// HeaderPriority is Normal or Urgent.
	HeaderPriority = "Cicadabarrow-Priority"
	// HeaderOutcome is answered, not-run or unknown.
	HeaderOutcome = "Cicadabarrow-Outcome"
)

// Key answers a request for a new key.
type Key struct {
	Key string
}
