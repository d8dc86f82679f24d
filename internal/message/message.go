// Package message defines the messages between entry hosts and their encoding.
// It serves both kinds of entry hosts: those of package entry, whose users are
// called callers, and those of package host, whose users are called clients.
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
	// Messages between hosts of package entry.

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

	// Messages between hosts of package host, which own a cell in turn.

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
	KindQueueJobLookup
	KindQueueCancel
	KindWorkerHold
	KindWorkerStart
	KindWorkerStop
	KindWorkerPace
	KindWorkerReport
	KindWorkerStarted
	KindWorkerDone
	KindAccountJobLookup
	KindAccountCancel
	KindManifestRequest
	KindManifestContent
)

// PromiseRequest asks a peer, as a grantor of the sender's lease, to promise not
// to fence the sender for some time. The promises of all grantors extend the lease
// while the table service is unreachable. Package lease describes the protocol.
type PromiseRequest struct {
	// Unjournaled tells that the sender may start unjournaled work, that is, work
	// whose records are in no journal, from which a successor could read them.
	Unjournaled bool
}

// Promise answers PromiseRequest.
type Promise struct {
	Granted     bool
	Unjournaled bool
}

// FenceConsentRequest asks a grantor of a host whose lease has expired for the
// consent to fence that host.
type FenceConsentRequest struct {
	// Incarnation identifies the host to fence, and Version is the version of
	// its lease row.
	Incarnation string
	Version     uint64
}

// FenceConsent answers FenceConsentRequest.
type FenceConsent struct {
	Granted     bool
	Unjournaled bool
}

// PlanDigest identifies the revisions of the plan's sections that the sender has
// in force. The first request of an exchange has no Revisions. If the digests of
// the two hosts differ, a second request lists them and has no Sum.
type PlanDigest struct {
	// MaxRevision is the largest revision of any section.
	MaxRevision uint64
	// Sum is the XOR of a hash of each team and its revision.
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
	// Same is set if MaxRevision and Sum of both hosts are equal, that is, both
	// have the same plan in force.
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

// Stage tells in which role a peer is asked to handle a request.
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
	// Unit is the lease unit whose owner is asked: a key shard for StageKeyOwner,
	// an instance group for StageGroupOwner.
	Unit string
	Team string
	// Caller identifies the sender of the request.
	Caller     string
	Key        string
	Idempotent bool
	Urgent     bool
	// Timeout is how long the caller still waits.
	Timeout time.Duration
	Method  string
	Path    string
	Body    []byte
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

// Submit asks the pool owner of a data centre, which is the host that schedules
// tasks on its workers, to accept a job.
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

// JobQuery asks a pool owner for the open jobs that match all fields that are set.
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
	Name string
	Rack string
	// Capacity holds the total resources of the worker, and Used the part that
	// its tasks reserve.
	Capacity job.Size
	Used     job.Size
	Tasks    int
	// Schedulable is set while the worker may get new work. It is not set while
	// the worker is leaving, cordoned, quarantined or unreachable, or while its
	// tasks are not yet known.
	Schedulable bool
	// Leaving is set for a worker that has been told to leave.
	Leaving bool
	// Cordoned is set while an operator has closed the worker for new work.
	Cordoned bool
	// Quarantined is set while the worker has to pass a probe before it gets
	// new work.
	Quarantined bool
	// UnreachableFor is how long the worker has not answered. It is zero while
	// the worker answers.
	UnreachableFor time.Duration
}

// Cordon closes a worker for new work (cordons it), opens it again (uncordons it)
// or quarantines it.
type Cordon struct {
	Worker string
	// Closed cordons the worker if set, and uncordons it otherwise.
	Closed bool
	// Quarantine quarantines the worker: it gets no new work until a probe shows
	// that it is healthy. Closed is then ignored.
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
	// Units are the lease units that the host owns.
	Units []string
}

// FreeSlots reports the free slots of some groups that the sender owns.
type FreeSlots struct {
	Groups []GroupSlots
}

// GroupSlots holds the number of free slots of a group, and the number of
// requests that wait for a slot.
type GroupSlots struct {
	// Unit is the lease unit of the group.
	Unit    string
	Free    int
	Waiting int
}

// FreeSlotsAck acknowledges FreeSlots.
type FreeSlotsAck struct{}
