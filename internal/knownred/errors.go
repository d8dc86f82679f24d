package knownred

import "cicadabarrow.example/cicadabarrow/internal/fault"

// Kind is a kind of failure of this package.
type Kind string

const (
	// KindInvalid is a list of known-red tests that breaks its format.
	KindInvalid Kind = "invalid"
	// KindUnreadable is input that could not be read.
	KindUnreadable Kind = "unreadable"
	// KindUnwritable is output that could not be written.
	KindUnwritable Kind = "unwritable"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]
