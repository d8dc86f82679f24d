package journal

import "cicadabarrow.example/cicadabarrow/internal/fault"

// Kind is the kind of an Error.
type Kind string

const (
	// KindCorrupt means that a row or a snapshot is malformed, fails its checksum or
	// is missing.
	KindCorrupt Kind = "torn row"
	// KindDeposed means that the writer is closed, as when another host has taken
	// the unit over.
	KindDeposed Kind = "deposed"
	// KindFull means that too many batches wait for the table service.
	KindFull Kind = "journal full"
	// KindUnreadable means that the table service or the object store did not
	// answer.
	KindUnreadable Kind = "unreadable"
)

// Error is the error of this package.
type Error = fault.Error[Kind]
