// Package message defines the messages between entry hosts and their encoding.
//
// Each message has a type of its own. Its Encode function returns the kind of
// the message and a msgpack body. The receiver selects the Decode function by
// the kind.
package message

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/job"
)

// Kinds of messages. The numbers are part of the protocol: a number is never
// reused for another kind.
const (
	KindPromiseRequest uint8 = iota + 1
	KindPromise
	KindFenceConsentRequest
	KindFenceConsent
	KindPlanDigest
	KindPlanSections
	KindRequest
	KindAnswer
	KindSubmit
	KindSubmitted
	KindCancel
	KindCancelled
	KindJobQuery
	KindJobAnswer
	KindWorkersQuery
	KindWorkersAnswer
	KindCordon
	KindCordoned
	KindStatusQuery
	KindStatusAnswer
	KindFreeSlots
	KindFreeSlotsAck
	KindBurnQuery
	KindBurnAnswer
	KindKeyHandoff
	KindKeyHandoffAck
	KindHostPing
	KindOwnerPong
	KindStepAdviceRequest
	KindStepAdvice
	KindJobLookup
	KindJobLookupReply
	KindQueueLookup
	KindQueueLookupReply
	KindRelayedSubmit
	KindRelayedCancel
	KindRelayReply
	KindIntakeNotice
	KindIntakeAck
	KindCellLookup
	KindCellLookupReply
)

// PromiseRequest asks a grantor for a promise not to fence the sender, which
// extends the lease of the sender.
type PromiseRequest struct {
	// Unjournaled tells that the sender may start work that is in no journal.
	Unjournaled bool
}

// Promise answers PromiseRequest.
type Promise struct {
	Granted     bool
	Unjournaled bool
}

// FenceConsentRequest asks a grantor of a lapsed host for its consent to fence
// that host.
type FenceConsentRequest struct {
	// Incarnation is that of the lapsed host, and Version that of its row.
	Incarnation string
	Version     uint64
}

// FenceConsent answers FenceConsentRequest.
type FenceConsent struct {
	Granted     bool
	Unjournaled bool
}

// PlanDigest identifies the revisions of the plan that the sender has in force.
// The first request of an exchange has no Revisions. If the sums differ, a
// second request lists them.
type PlanDigest struct {
	MaxRevision   uint64
	Sum       uint64
	Revisions []TeamRevision
}

// TeamRevision is the revision of a team's section of the plan.
type TeamRevision struct {
	Team     string
	Revision uint64
}

// PlanSections answers PlanDigest. It holds the sections that are newer than the
// requested revisions, in JSON.
type PlanSections struct {
	// Same is set when both sides have the same plan in force, by its digest.
	Same     bool
	Sections [][]byte
}

// Outcome is the outcome of a caller's request.
type Outcome string

const (
	// OutcomeAnswered means that the complete answer of an instance arrived.
	OutcomeAnswered Outcome = "answered"
	// OutcomeNotRun means that the request did not run.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the request may have run but its answer was
	// lost.
	OutcomeUnknown Outcome = "unknown"
)

// Stage tells what a peer is asked to do with a request.
type Stage uint8

const (
	// StageKeyOwner asks the owner of the caller's idempotency key to handle
	// the request.
	StageKeyOwner Stage = iota + 1
	// StageGroupOwner asks the owner of an instance group to send the request.
	StageGroupOwner
	// StageRemote asks an entry host of another data centre to send the request
	// within that data centre only.
	StageRemote
)

// Request is a caller's request as entry hosts forward it to each other.
type Request struct {
	Stage   Stage
	ID      string
	Service string
	Unit    string
	Team    string
	// Caller identifies the sender of the request.
	Caller     string
	Key        string
	Idempotent bool
	Urgent     bool
	// Timeout is how long the caller still waits.
	Timeout time.Duration
	Method   string
	Path     string
	Body     []byte
}

// Answer reports the outcome of a Request.
type Answer struct {
	ID      string
	Outcome Outcome
	Status  int
	Body    []byte
	// Reason explains an outcome that is not OutcomeAnswered.
	Reason string
	// RetryAfter is how long to wait before a request that did not run is
	// retried.
	RetryAfter time.Duration
}

// Submit asks the owner of a data centre's workers to accept a job.
type Submit struct {
	Spec job.Spec
}

// Submitted answers Submit.
type Submitted struct {
	Outcome    Outcome
	Reason     string
	Invalid    bool
	RetryAfter time.Duration
	State      job.State
}

// Cancel asks to cancel jobs, selected by ID or by team and name.
type Cancel struct {
	ID   string
	Team string
	Name string
}

// Cancelled answers Cancel.
type Cancelled struct {
	Jobs   []string
	Reason string
}

// JobQuery asks for the open jobs that match all fields that are set.
type JobQuery struct {
	ID   string
	Team string
	Name string
}

// JobAnswer answers JobQuery.
type JobAnswer struct {
	Jobs []JobStatus
}

// JobStatus is the state of one job.
type JobStatus struct {
	Spec    job.Spec
	State   job.State
	Waiting int
	Running int
	Ended   int
	Message string
}

// WorkersQuery asks for the workers of a data centre.
type WorkersQuery struct{}

// WorkersAnswer answers WorkersQuery.
type WorkersAnswer struct {
	Workers []WorkerStatus
}

// WorkerStatus is the state of one worker.
type WorkerStatus struct {
	Name        string
	Rack        string
	Capacity        job.Size
	Used        job.Size
	Tasks       int
	Schedulable bool
	Leaving     bool
	Cordoned    bool
	// Quarantined is set while the worker has to pass a probe before it gets
	// new work.
	Quarantined bool
	// UnreachableFor is how long the worker has not answered. It is zero while
	// the worker answers.
	UnreachableFor time.Duration
}

// Cordon opens or closes a worker for new work.
type Cordon struct {
	Worker string
	Closed bool
	// Quarantine closes the worker only until a probe shows that it is healthy.
	Quarantine bool
}

// Cordoned answers Cordon. Reason is empty on success.
type Cordoned struct {
	Reason string
}

// StatusQuery asks a host for its status.
type StatusQuery struct{}

// StatusAnswer answers StatusQuery.
type StatusAnswer struct {
	Name       string
	DataCentre string
	Revisions  []TeamRevision
	Units      []string
}

// FreeSlots reports the free slots of some groups that the sender owns.
type FreeSlots struct {
	Groups []GroupSlots
}

// GroupSlots holds the number of free slots of a group, and the number of
// requests that wait for a slot.
type GroupSlots struct {
	Unit    string
	Free    int
	Waiting int
}

// FreeSlotsAck acknowledges FreeSlots.
type FreeSlotsAck struct{}
