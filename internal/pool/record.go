package pool

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/platform"
)

// RecordKind is the kind of transition that a Record describes.
type RecordKind string

const (
	// RecordAccepted adds a job.
	RecordAccepted RecordKind = "Accepted"
	// RecordIntent says that an attempt may be sent to a worker from now on.
	RecordIntent RecordKind = "Intent"
	// RecordEnded says that an attempt has ended.
	RecordEnded RecordKind = "Ended"
	// RecordCancelled says that no further attempt of a job may start.
	RecordCancelled RecordKind = "Cancelled"
	// RecordJobEnded gives the outcome of a job.
	RecordJobEnded RecordKind = "JobEnded"
	// RecordRenewalsEnded says that no owner before an epoch renews a lease any
	// more.
	RecordRenewalsEnded RecordKind = "Settled"
	// RecordReconciled says that every attempt started by the owners before an
	// epoch is either named by a record or has ended.
	RecordReconciled RecordKind = "Accounted"
)

// RecoveredState is the state that a new owner recovers from the journal of its
// predecessors.
type RecoveredState struct {
	Snapshot Snapshot
	// Records are the transitions since the snapshot.
	Records []Record
}

// Record is one transition in the journal. Its kind determines which fields are
// set.
type Record struct {
	Kind RecordKind
	// Spec is the job of a RecordAccepted. A RecordJobEnded carries it too, but
	// the journal does not store it there.
	Spec job.Spec
	// Job is the ID of the job of a RecordCancelled or RecordJobEnded.
	Job string
	// Attempt, Worker, Size and Until describe a RecordIntent. A RecordEnded
	// has only the Attempt of them.
	Attempt platform.Attempt
	Worker  string
	Size    job.Size
	// Until is the end of the first lease by the worker's clock.
	Until time.Time
	// Ending is how the attempt of a RecordEnded ended.
	Ending Ending
	// State is the outcome of a RecordJobEnded.
	State   job.State
	Message string
	// Epoch is the epoch of the owner that wrote a RecordRenewalsEnded or a
	// RecordReconciled.
	Epoch uint64
}

// Ending is how an attempt ended.
type Ending string

const (
	// EndingDone means that the attempt succeeded.
	EndingDone Ending = "Done"
	// EndingFailed means that the attempt failed.
	EndingFailed Ending = "Failed"
	// EndingStopped means that the attempt was stopped at the owner's request.
	EndingStopped Ending = "Stopped"
	// EndingLost means that the attempt may have run, and that its outcome is
	// unknown.
	EndingLost Ending = "Lost"
	// EndingNotRun means that the attempt never ran.
	EndingNotRun Ending = "NotRun"
)
