package entry

import "cicadabarrow.example/cicadabarrow/internal/fault"

// Kind classifies the errors of an entry host by what they mean for the caller.
type Kind string

const (
	// KindNotOwner means that this host does not own the unit or may not act
	// on it now; the operation had no effect.
	KindNotOwner Kind = "not the owner"
	// KindUnavailable means that a required service cannot be reached; the
	// operation had no effect.
	KindUnavailable Kind = "unavailable"
	// KindUnknown means that the operation may have taken effect or may still
	// take effect.
	KindUnknown Kind = "unknown"
	// KindMalformed means that a message or a row cannot be interpreted.
	KindMalformed Kind = "malformed"
	// KindMoved means that the unit is moving to another owner; the operation
	// had no effect.
	KindMoved Kind = "moved"
)

// Error is the error of this package.
type Error = fault.Error[Kind]

// errLoopEnded reports that an event loop has ended.
var errLoopEnded = fault.New("wait", KindUnavailable, "the duty has ended")
