// Package rowstore defines the scheduler's view of the platform's row store. Each
// row belongs to a table and to a partition. A transaction may write rows of
// several tables, but of one partition only.
package rowstore

import (
	"errors"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/fault"
)

// Kind classifies a failed call, mostly by its effect on the store.
type Kind string

const (
	// KindConflict means that a condition failed and nothing was written.
	KindConflict Kind = "conflict"
	// KindNotDone means that the call had no effect and will have none.
	KindNotDone Kind = "not done"
	// KindUnknown means that the call may have taken effect, or may still do
	// so later.
	KindUnknown Kind = "unknown"
	// KindCompacted means that the store no longer keeps the requested part of
	// the change history.
	KindCompacted Kind = "history compacted"
	// KindInvalid means that the store rejected the request as invalid, so that
	// the call had no effect, or that the rows of a response to a read or of a
	// conflict are malformed.
	KindInvalid Kind = "invalid"
)

// Error is the error type of this package and of the store's client.
type Error = fault.Error[Kind]

// ErrTooLong is the cause of a failed read whose response is longer than the client takes.
// The same read fails again, and one of fewer rows may not.
var ErrTooLong = errors.New("the response is too long")

// Key identifies a row.
type Key struct {
	Table     string
	Partition string
	Name      string
}

// Row is one row, or in a change feed the deletion of one.
type Row struct {
	Key
	// Value is nil if Malformed is set.
	Value []byte
	// Malformed is set if the row holds a value that no writer of this client can have
	// written, so that it cannot be decoded.
	Malformed bool
	// Version is the number of the transaction that wrote the row. Versions
	// increase across the whole store.
	Version uint64
	// Deleted is set in a change feed for a row that was deleted.
	Deleted bool
}

// Condition requires that a row has a given version; 0 requires that it does not
// exist.
type Condition struct {
	Key
	Version uint64
}

// Write creates or replaces a row.
type Write struct {
	Key
	Value []byte
}

// Transaction is atomic. All of its keys must be in the same partition.
type Transaction struct {
	Conditions []Condition
	Writes     []Write
	Deletes    []Key
}

// Range selects rows of one partition of a table.
type Range struct {
	Table     string
	Partition string
	// From is the first name to return; empty means from the beginning.
	From string
	// Limit is the maximum number of rows; 0 leaves it to the store.
	Limit int
}

// Snapshot is the result of a read or of a poll of a change feed. For a read, Rows
// are the rows of the range, all as of one version of the store. For a change feed,
// they are the rows changed since the requested version.
type Snapshot struct {
	Rows []Row
	// More is set when the range has more rows.
	More bool
	// Version is the version of the store when the rows were read. For a change
	// feed it is the version from which the next poll continues.
	Version uint64
	// Clock is the store's monotonic clock.
	Clock time.Duration
}

// Result is the result of a committed transaction.
type Result struct {
	// Version is the number of the transaction, and the version of the rows that
	// it wrote.
	Version uint64
	// Clock is the store's monotonic clock.
	Clock time.Duration
}

// ConflictError carries the current rows of the keys that the conditions name.
type ConflictError struct {
	Rows []Row
}

// Error implements error.
func (e *ConflictError) Error() string { return "a condition of the transaction failed" }
