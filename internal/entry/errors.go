package entry

import "cicadabarrow.example/cicadabarrow/internal/fault"

// Kind tells what a failed operation of an entry host means for its caller.
type Kind string

const (
	// KindNotOwner means that this host does not own the unit, or may not act
	// on it now; nothing was done.
	KindNotOwner Kind = "not the owner"
	// KindUnavailable means that what is needed cannot be reached; nothing was
	// done.
	KindUnavailable Kind = "unavailable"
	// KindUnknown means that it may have been done, now or later.
	KindUnknown Kind = "unknown"
	// KindMalformed means that a message cannot be served.
	KindMalformed Kind = "malformed"
	// KindMoved means that the unit goes to another owner; nothing was done.
	KindMoved Kind = "moved"
)

// Error is the error of this package.
type Error = fault.Error[Kind]

// errLoopEnded tells that a duty has ended.
var errLoopEnded = fault.New("wait", KindUnavailable, "the duty has ended")
