package journal

import "cicadabarrow.example/cicadabarrow/internal/fault"

// Kind is the kind of an Error.
type Kind string

const (
	// KindCorrupt means that a row or a snapshot is malformed, fails its checksum or
	// is missing.
	KindCorrupt Kind = "torn row"
	// KindDeposed means that the writer has stopped: another host has taken over
	// the unit, or Close was called.
	KindDeposed Kind = "deposed"
	// KindFull means that the queue of batches that wait for a commit is full.
	KindFull Kind = "journal full"
	// KindUnreadable means that the table service or the object store did not
	// answer.
	KindUnreadable Kind = "unreadable"
)

// Error is the error of this package.
type Error = fault.Error[Kind]
