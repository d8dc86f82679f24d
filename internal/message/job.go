package message

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/job/jobwire"

	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/peer"
)

type submitWire struct {
	_msgpack struct{} `msgpack:",as_array"`
	Spec     jobwire.Spec
}

var submitCodec = codec[Submit, submitWire]{
	kind: KindSubmit,
	toWire: func(m Submit) submitWire {
		return submitWire{Spec: jobwire.EncodeSpec(m.Spec)}
	},
	fromWire: func(w submitWire) Submit {
		return Submit{Spec: jobwire.DecodeSpec(w.Spec)}
	},
}

// EncodeSubmit returns the encoded message.
func EncodeSubmit(m Submit) peer.Message { return submitCodec.encode(m) }

// DecodeSubmit decodes the message. It fails if p is of another kind or its
// body is malformed.
func DecodeSubmit(p peer.Message) (Submit, error) { return submitCodec.decode(p) }

type submittedWire struct {
	_msgpack   struct{} `msgpack:",as_array"`
	Outcome    string
	Reason     string
	Invalid    bool
	RetryAfter int64
	State      string
}

var submittedCodec = codec[Submitted, submittedWire]{
	kind: KindSubmitted,
	toWire: func(m Submitted) submittedWire {
		return submittedWire{Outcome: string(m.Outcome), Reason: m.Reason, Invalid: m.Invalid, RetryAfter: int64(m.RetryAfter), State: string(m.State)}
	},
	fromWire: func(w submittedWire) Submitted {
		return Submitted{Outcome: Outcome(w.Outcome), Reason: w.Reason, Invalid: w.Invalid, RetryAfter: time.Duration(w.RetryAfter), State: job.State(w.State)}
	},
}

// EncodeSubmitted returns the encoded message.
func EncodeSubmitted(m Submitted) peer.Message { return submittedCodec.encode(m) }

// DecodeSubmitted decodes the message. It fails if p is of another kind or its
// body is malformed.
func DecodeSubmitted(p peer.Message) (Submitted, error) { return submittedCodec.decode(p) }

type cancelWire struct {
	_msgpack struct{} `msgpack:",as_array"`
	ID       string
	Team     string
	Name     string
}

var cancelCodec = codec[Cancel, cancelWire]{
	kind: KindCancel,
	toWire: func(m Cancel) cancelWire {
		return cancelWire{ID: m.ID, Team: m.Team, Name: m.Name}
	},
	fromWire: func(w cancelWire) Cancel {
		return Cancel{ID: w.ID, Team: w.Team, Name: w.Name}
	},
}

// EncodeCancel returns the encoded message.
func EncodeCancel(m Cancel) peer.Message { return cancelCodec.encode(m) }

// DecodeCancel decodes the message. It fails if p is of another kind or its
// body is malformed.
func DecodeCancel(p peer.Message) (Cancel, error) { return cancelCodec.decode(p) }

type cancelledWire struct {
	_msgpack struct{} `msgpack:",as_array"`
	Jobs     []string
	Reason   string
}

var cancelledCodec = codec[Cancelled, cancelledWire]{
	kind: KindCancelled,
	toWire: func(m Cancelled) cancelledWire {
		return cancelledWire{Jobs: m.Jobs, Reason: m.Reason}
	},
	fromWire: func(w cancelledWire) Cancelled {
		return Cancelled{Jobs: w.Jobs, Reason: w.Reason}
	},
}

// EncodeCancelled returns the encoded message.
func EncodeCancelled(m Cancelled) peer.Message { return cancelledCodec.encode(m) }

// DecodeCancelled decodes the message. It fails if p is of another kind or its
// body is malformed.
func DecodeCancelled(p peer.Message) (Cancelled, error) { return cancelledCodec.decode(p) }

type jobQueryWire struct {
	_msgpack struct{} `msgpack:",as_array"`
	ID       string
	Team     string
	Name     string
}

var jobQueryCodec = codec[JobQuery, jobQueryWire]{
	kind: KindJobQuery,
	toWire: func(m JobQuery) jobQueryWire {
		return jobQueryWire{ID: m.ID, Team: m.Team, Name: m.Name}
	},
	fromWire: func(w jobQueryWire) JobQuery {
		return JobQuery{ID: w.ID, Team: w.Team, Name: w.Name}
	},
}

// EncodeJobQuery returns the encoded message.
func EncodeJobQuery(m JobQuery) peer.Message { return jobQueryCodec.encode(m) }

// DecodeJobQuery decodes the message. It fails if p is of another kind or its
// body is malformed.
func DecodeJobQuery(p peer.Message) (JobQuery, error) { return jobQueryCodec.decode(p) }

type jobAnswerWire struct {
	_msgpack struct{} `msgpack:",as_array"`
	Jobs     []jobStatusWire
}

var jobAnswerCodec = codec[JobAnswer, jobAnswerWire]{
	kind: KindJobAnswer,
	toWire: func(m JobAnswer) jobAnswerWire {
		return jobAnswerWire{Jobs: mapSlice(m.Jobs, encodeJobStatus)}
	},
	fromWire: func(w jobAnswerWire) JobAnswer {
		return JobAnswer{Jobs: mapSlice(w.Jobs, decodeJobStatus)}
	},
}

// EncodeJobAnswer returns the encoded message.
func EncodeJobAnswer(m JobAnswer) peer.Message { return jobAnswerCodec.encode(m) }

// DecodeJobAnswer decodes the message. It fails if p is of another kind or its
// body is malformed.
func DecodeJobAnswer(p peer.Message) (JobAnswer, error) { return jobAnswerCodec.decode(p) }

type jobStatusWire struct {
	_msgpack struct{} `msgpack:",as_array"`
	Spec     jobwire.Spec
	State    string
	Waiting  int
	Running  int
	Ended    int
	Message  string
}

func encodeJobStatus(s JobStatus) jobStatusWire {
	return jobStatusWire{
		Spec: jobwire.EncodeSpec(s.Spec), State: string(s.State), Waiting: s.Waiting, Running: s.Running,
		Ended: s.Ended, Message: s.Message,
	}
}

func decodeJobStatus(w jobStatusWire) JobStatus {
	return JobStatus{
		Spec: jobwire.DecodeSpec(w.Spec), State: job.State(w.State), Waiting: w.Waiting, Running: w.Running,
		Ended: w.Ended, Message: w.Message,
	}
}
