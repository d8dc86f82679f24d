package httplimit

import "cicadabarrow.example/cicadabarrow/internal/fault"

// Kind classifies the reasons why a request is refused. None of these requests has run.
type Kind string

const (
	// KindTooLarge means that a body exceeds its limit.
	KindTooLarge Kind = "body too large"
	// KindTooSlow means that a body was not complete in time.
	KindTooSlow Kind = "body too slow"
	// KindNoCapacity means that the host is short of memory or of processor time for
	// requests.
	KindNoCapacity Kind = "no capacity"
	// KindBroken means that a body ended early or that its encoding is malformed.
	KindBroken Kind = "broken body"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]
