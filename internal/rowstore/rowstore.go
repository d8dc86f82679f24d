// Package rowstore describes the platform's store of rows as the scheduler
// uses it. A row lies in a part of a table, and a transaction touches one part.
package rowstore

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/fault"
)

// Kind tells what a failed call means for its caller.
type Kind string

const (
	// KindConflict means that a condition failed; nothing was written.
	KindConflict Kind = "conflict"
	// KindNotDone means that the call surely had no effect.
	KindNotDone Kind = "not done"
	// KindUnknown means that the call may have had its effect, now or later.
	KindUnknown Kind = "unknown"
	// KindCompacted means that the history asked for is no longer kept.
	KindCompacted Kind = "history compacted"
	// KindInvalid means that an answer is malformed.
	KindInvalid Kind = "invalid"
)

// Error is the error of this package and of the store's client.
type Error = fault.Error[Kind]

// Key names a row.
type Key struct {
	Table     string
	Partition string
	Name      string
}

// Row is one row, or the news that it was removed.
type Row struct {
	Key
	Value []byte
	// Version is the number of the transaction that wrote the row. Numbers
	// rise over the whole store.
	Version uint64
	// Deleted is set in a feed for a row that is no longer there.
	Deleted bool
}

// Condition demands that a row still has a version; 0 means that it does not
// exist.
type Condition struct {
	Key
	Version uint64
}

// Write puts a row.
type Write struct {
	Key
	Value []byte
}

// Transaction happens as a whole or not at all. All of its keys lie in one
// part.
type Transaction struct {
	Conditions []Condition
	Writes     []Write
	Deletes    []Key
}

// Range selects rows of one part of a table.
type Range struct {
	Table     string
	Partition string
	// From is the first name; empty means the beginning.
	From string
	// Limit is the largest number of rows; 0 leaves it to the store.
	Limit int
}

// Snapshot holds rows as of one moment.
type Snapshot struct {
	Rows []Row
	// More is set when the range has further rows.
	More bool
	// Version is the newest of the store at that moment.
	Version uint64
	// Clock is the store's steady clock.
	Clock time.Duration
}

// Result is the outcome of a transaction that went through.
type Result struct {
	Version uint64
	// Clock is the store's steady clock.
	Clock time.Duration
}

// ConflictError carries the rows that a failed condition named, as they are.
type ConflictError struct {
	Rows []Row
}

// Error says how many rows were read back.
func (e *ConflictError) Error() string { return "a condition failed" }
