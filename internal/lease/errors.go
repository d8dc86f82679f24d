package lease

import "cicadabarrow.example/cicadabarrow/internal/fault"

// Kind is the kind of an Error.
type Kind string

const (
	// KindMalformed means that a row cannot be decoded; the view is unchanged.
	KindMalformed Kind = "malformed row"
	// KindLapsed means that the authority to act on a unit has ended.
	KindLapsed Kind = "authority lapsed"
)

// Error is the error of this package.
type Error = fault.Error[Kind]
