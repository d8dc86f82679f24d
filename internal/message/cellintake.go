package message

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/peer"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// RelayedSubmit asks a peer to write an accepted job to the store.
type RelayedSubmit struct {
	// Job is the encoded value of the job's row.
	Job []byte
	// Timeout is how long the client still waits.
	Timeout time.Duration
}

// RelayedCancel asks a peer to write the cancel of a job to the store. A job that is
// not in Scope counts as missing. Hosts of earlier releases send no accounts, and some
// no queue.
type RelayedCancel struct {
	ID      workload.JobID
	Timeout time.Duration
	Scope   manifest.JobScope
}

// RelayReply answers RelayedSubmit and RelayedCancel.
type RelayReply struct {
	Outcome RelayOutcome
}

// RelayOutcome is the outcome of a relayed write.
type RelayOutcome uint8

const (
	// RelayDone means that the row is durable.
	RelayDone RelayOutcome = iota + 1
	// RelayNotDone means that nothing was written and nothing will be.
	RelayNotDone
	// RelayUnknown means that the row may have been written or may still be.
	RelayUnknown
	// RelayMissing means that the job did not exist when an owner of an earlier release
	// looked it up. A submission of it may have been in flight.
	RelayMissing
	// RelayTaken means that the ID belongs to a job of another queue or account.
	RelayTaken
	// RelayNoRoom means that nothing was written, since the owner has too little memory
	// for the job. Hosts of earlier releases take it for RelayUnknown.
	RelayNoRoom
	// RelayNoJob means that the job does not exist, and that a submission of it that is
	// still in flight will not take effect. Hosts of earlier releases take this and
	// RelayCancelled for RelayUnknown.
	RelayNoJob
	// RelayCancelled means that nothing was written, since the job was cancelled before.
	RelayCancelled
)

// IntakeNotice notifies the owner of a row that has just become durable, so that
// the owner does not have to wait for the store's change feed.
type IntakeNotice struct {
	// Job is the encoded value of the job's row. It is empty for a cancel.
	Job []byte
	// Cancelled is the ID of the cancelled job. It is empty for a new job.
	Cancelled workload.JobID
}

// IntakeAck acknowledges IntakeNotice.
type IntakeAck struct{}

type intakeNoticeWire struct {
	_msgpack  struct{} `msgpack:",as_array"`
	Job       []byte
	Cancelled string
}

var intakeNoticeCodec = codec[IntakeNotice, intakeNoticeWire]{
	kind: KindIntakeNotice,
	toWire: func(m IntakeNotice) intakeNoticeWire {
		return intakeNoticeWire{Job: m.Job, Cancelled: string(m.Cancelled)}
	},
	fromWire: func(w intakeNoticeWire) IntakeNotice {
		return IntakeNotice{Job: w.Job, Cancelled: workload.JobID(w.Cancelled)}
	},
}

// EncodeIntakeNotice returns the encoded message.
func EncodeIntakeNotice(m IntakeNotice) peer.Message { return intakeNoticeCodec.encode(m) }

// DecodeIntakeNotice decodes the message. It fails if p is of another kind or
// its body is malformed.
func DecodeIntakeNotice(p peer.Message) (IntakeNotice, error) { return intakeNoticeCodec.decode(p) }

type intakeAckWire struct {
	_msgpack struct{} `msgpack:",as_array"`
}

var intakeAckCodec = codec[IntakeAck, intakeAckWire]{
	kind:     KindIntakeAck,
	toWire:   func(IntakeAck) intakeAckWire { return intakeAckWire{} },
	fromWire: func(intakeAckWire) IntakeAck { return IntakeAck{} },
}

// EncodeIntakeAck returns the encoded message.
func EncodeIntakeAck(m IntakeAck) peer.Message { return intakeAckCodec.encode(m) }

type relayedSubmitWire struct {
	_msgpack struct{} `msgpack:",as_array"`
	Job      []byte
	Timeout  time.Duration
}

var relayedSubmitCodec = codec[RelayedSubmit, relayedSubmitWire]{
	kind:     KindRelayedSubmit,
	toWire:   func(m RelayedSubmit) relayedSubmitWire { return relayedSubmitWire{Job: m.Job, Timeout: m.Timeout} },
	fromWire: func(w relayedSubmitWire) RelayedSubmit { return RelayedSubmit{Job: w.Job, Timeout: w.Timeout} },
}

// EncodeRelayedSubmit returns the encoded message.
func EncodeRelayedSubmit(m RelayedSubmit) peer.Message { return relayedSubmitCodec.encode(m) }

// DecodeRelayedSubmit decodes the message. It fails if p is of another kind or
// its body is malformed.
func DecodeRelayedSubmit(p peer.Message) (RelayedSubmit, error) { return relayedSubmitCodec.decode(p) }

type relayedCancelWire struct {
	_msgpack struct{} `msgpack:",as_array"`
	ID       string
	Timeout  time.Duration
}

var relayedCancelCodec = codec[RelayedCancel, relayedCancelWire]{
	kind: KindRelayedCancel,
	toWire: func(m RelayedCancel) relayedCancelWire {
		return relayedCancelWire{ID: string(m.ID), Timeout: m.Timeout}
	},
	fromWire: func(w relayedCancelWire) RelayedCancel {
		return RelayedCancel{ID: workload.JobID(w.ID), Timeout: w.Timeout}
	},
}

type queueCancelWire struct {
	_msgpack struct{} `msgpack:",as_array"`
	ID       string
	Timeout  time.Duration
	Queue    string
}

var queueCancelCodec = codec[RelayedCancel, queueCancelWire]{
	kind: KindQueueCancel,
	toWire: func(m RelayedCancel) queueCancelWire {
		return queueCancelWire{ID: string(m.ID), Timeout: m.Timeout, Queue: m.Scope.Queue}
	},
	fromWire: func(w queueCancelWire) RelayedCancel {
		return RelayedCancel{ID: workload.JobID(w.ID), Timeout: w.Timeout, Scope: manifest.JobScope{Queue: w.Queue}}
	},
}

var scopedCancelCodec = scopedCodec[RelayedCancel]{
	scope:    func(m RelayedCancel) manifest.JobScope { return m.Scope },
	anyQueue: relayedCancelCodec, queue: queueCancelCodec, account: accountCancelCodec,
}

// EncodeRelayedCancel returns the encoded message: a KindAccountCancel, or, without
// accounts, a KindQueueCancel, or a KindRelayedCancel if the cancel names no queue.
func EncodeRelayedCancel(m RelayedCancel) peer.Message { return scopedCancelCodec.encode(m) }

// DecodeRelayedCancel decodes a message of any of these kinds. It fails if p is of
// another kind or its body is malformed.
func DecodeRelayedCancel(p peer.Message) (RelayedCancel, error) { return scopedCancelCodec.decode(p) }

type relayReplyWire struct {
	_msgpack struct{} `msgpack:",as_array"`
	Outcome  uint8
}

var relayReplyCodec = codec[RelayReply, relayReplyWire]{
	kind:     KindRelayReply,
	toWire:   func(m RelayReply) relayReplyWire { return relayReplyWire{Outcome: uint8(m.Outcome)} },
	fromWire: func(w relayReplyWire) RelayReply { return RelayReply{Outcome: RelayOutcome(w.Outcome)} },
}

// EncodeRelayReply returns the encoded message.
func EncodeRelayReply(m RelayReply) peer.Message { return relayReplyCodec.encode(m) }

// DecodeRelayReply decodes the message. It fails if p is of another kind or its
// body is malformed.
func DecodeRelayReply(p peer.Message) (RelayReply, error) { return relayReplyCodec.decode(p) }
