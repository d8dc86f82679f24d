// Package message holds what entry hosts say to each other, and its encoding.
//
// Each message is a small value of its own type. Encode gives it a kind and a
// msgpack body; Decode reads the body into the type that the receiver expects
// for that kind.
package message

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/job"
)

// Kinds of messages. A number is never used for anything else.
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

// PromiseRequest asks for a promise not to fence the sender.
type PromiseRequest struct {
	Unjournaled bool
}

// Promise answers AskPromise.
type Promise struct {
	Granted     bool
	Unjournaled bool
}

// FenceConsentRequest asks a heir for its word about a lapsed host.
type FenceConsentRequest struct {
	Incarnation string
	Version     uint64
}

// FenceConsent answers AskWord.
type FenceConsent struct {
	Granted     bool
	Unjournaled bool
}

// PlanDigest tells which revisions of the plan the sender has in force.
// Revisions is empty in the first question, and set in a second one when the
// sums differ.
type PlanDigest struct {
	Largest   uint64
	Sum       uint64
	Revisions []TeamRevision
}

// TeamRevision is the revision of one team's section.
type TeamRevision struct {
	Team     string
	Revision uint64
}

// PlanSections answers PlanDigest with the sections that are newer, as JSON.
type PlanSections struct {
	// Same is set when the sums of both sides are equal.
	Same     bool
	Sections [][]byte
}

// Outcome is what became of a caller's request.
type Outcome string

const (
	// OutcomeAnswered means that the whole answer of an instance is there.
	OutcomeAnswered Outcome = "answered"
	// OutcomeNotRun means that the request surely did not run.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the request may have run, and that its answer
	// is lost.
	OutcomeUnknown Outcome = "unknown"
)

// Stage says what a peer is asked to do with a request.
type Stage uint8

const (
	// StageKeyOwner asks the owner of the caller's key to see to the request.
	StageKeyOwner Stage = iota + 1
	// StageGroupOwner asks the owner of an instance group to send the request.
	StageGroupOwner
	// StageRemote asks an entry host of another data centre to send the request
	// there, and nowhere else.
	StageRemote
)

// Request is a caller's request on its way through the entry hosts.
type Request struct {
	Stage   Stage
	ID      string
	Service string
	Unit    string
	Team    string
	// Caller is who sent the request.
	Caller     string
	Key        string
	Idempotent bool
	Urgent     bool
	// Deadline is how long the caller still waits.
	Deadline time.Duration
	Method   string
	Path     string
	Body     []byte
}

// Answer is what became of a Request.
type Answer struct {
	ID      string
	Outcome Outcome
	Status  int
	Body    []byte
	// Reason explains an outcome that is not OutcomeAnswered.
	Reason string
	// RetryAfter is when a request that did not run may be tried again.
	RetryAfter time.Duration
}

// Submit asks the owner of a data centre's workers to accept a job.
type Submit struct {
	Spec job.Spec
}

// Submitted answers Submit and Cancel.
type Submitted struct {
	Outcome    Outcome
	Reason     string
	Invalid    bool
	RetryAfter time.Duration
	State      job.State
}

// Cancel asks to cancel jobs by ID, or by team and name.
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

// JobQuery asks for the open jobs that match all the fields that are set.
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
	Room        job.Size
	Used        job.Size
	Tasks       int
	Schedulable bool
	Leaving     bool
	Cordoned    bool
	// Quarantined workers are probed before they get new work again.
	Quarantined bool
	SinceReport time.Duration
}

// Cordon opens or closes a worker for new work.
type Cordon struct {
	Worker string
	Closed bool
	// Quarantine closes the worker only until a probe shows that it is well.
	Quarantine bool
}

// Cordoned answers Cordon; Reason is empty when it is done.
type Cordoned struct {
	Reason string
}

// StatusQuery asks a host for its state.
type StatusQuery struct{}

// StatusAnswer answers StatusQuery.
type StatusAnswer struct {
	Name       string
	DataCentre string
	Revisions  []TeamRevision
	Units      []string
}

// FreeSlots tells how many free slots some groups of the sender have.
type FreeSlots struct {
	Groups []GroupSlots
}

// GroupSlots is the free slots of one group and the requests that wait for one.
type GroupSlots struct {
	Unit    string
	Free    int
	Waiting int
}

// FreeSlotsAck answers Room.
type FreeSlotsAck struct{}
