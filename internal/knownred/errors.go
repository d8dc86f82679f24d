package knownred

import "cicadabarrow.example/cicadabarrow/internal/fault"

// Kind is the kind of an error of this package.
type Kind string

const (
	// KindInvalid means that a list of known-red tests violates its format.
	KindInvalid Kind = "invalid"
	// KindUnreadable means that input could not be read.
	KindUnreadable Kind = "unreadable"
	// KindUnwritable means that output could not be written.
	KindUnwritable Kind = "unwritable"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]
