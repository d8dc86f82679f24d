package pool

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/platform"
)

// RecordKind tells what a Record says.
type RecordKind string

const (
	// RecordAccepted adds a job.
	RecordAccepted RecordKind = "Accepted"
	// RecordIntent says that an attempt may be sent to a worker from now on.
	RecordIntent RecordKind = "Intent"
	// RecordEnded says that an attempt runs no more.
	RecordEnded RecordKind = "Ended"
	// RecordCancelled says that no further attempt of a job may start.
	RecordCancelled RecordKind = "Cancelled"
	// RecordJobEnded gives the outcome of a job.
	RecordJobEnded RecordKind = "JobEnded"
	// RecordRenewalsEnded says that no owner before an epoch renews any lease more.
	RecordRenewalsEnded RecordKind = "Settled"
	// RecordReconciled says that every attempt of the owners before an epoch is
	// named by a record or runs no more.
	RecordReconciled RecordKind = "Accounted"
)

// RecoveredState is what the earlier owners of a pool left.
type RecoveredState struct {
	Snapshot Snapshot
	// Records are the transitions since the snapshot.
	Records []Record
}

// Record is one transition of the journal. Which fields are set follows from
// its kind.
type Record struct {
	Kind RecordKind
	// Spec is the job of RecordAccepted. RecordJobEnded has it too, but the
	// journal does not keep it there.
	Spec job.Spec
	// Job is the job of RecordCancelled and RecordJobEnded.
	Job string
	// Attempt, Worker, Size and Until describe a RecordIntent; Attempt also a
	// RecordEnded.
	Attempt platform.Attempt
	Worker  string
	Size    job.Size
	// Until is the end of the first lease by the worker's clock.
	Until time.Time
	// Ending is how the attempt of a RecordEnded came to its end.
	Ending Ending
	// State is the outcome of RecordJobEnded.
	State   job.State
	Message string
	// Epoch is that of the owner that wrote a RecordSettled or a
	// RecordAccounted.
	Epoch uint64
}

// Ending is how an attempt came to its end.
type Ending string

const (
	// EndingDone means that it ended well.
	EndingDone Ending = "Done"
	// EndingFailed means that it ended badly.
	EndingFailed Ending = "Failed"
	// EndingStopped means that it was stopped on the owner's word.
	EndingStopped Ending = "Stopped"
	// EndingLost means that it may have run, and that its outcome is lost.
	EndingLost Ending = "Lost"
	// EndingNotRun means that it surely never ran.
	EndingNotRun Ending = "NotRun"
)
