package pool

import "cicadabarrow.example/cicadabarrow/internal/fault"

// Kind classifies the errors of this package.
type Kind string

const (
	// KindInvalid means that a field of the job is out of range.
	KindInvalid Kind = "invalid job"
	// KindNeverFits means that the job could never start, whatever else runs.
	KindNeverFits Kind = "never fits"
	// KindMissing means that no open job or no worker has the given name.
	KindMissing Kind = "missing job"
	// KindFull means that the open jobs would have more than MaxOpenTasks
	// tasks.
	KindFull Kind = "pool full"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]
