package message

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/peer"
)

type requestWire struct {
	_msgpack   struct{} `msgpack:",as_array"`
	Stage      uint8
	ID         string
	Service    string
	Unit       string
	Team       string
	Caller     string
	Key        string
	Idempotent bool
	Urgent     bool
	Timeout    int64
	Method     string
	Path       string
	Body       []byte
}

var requestCodec = codec[Request, requestWire]{
	kind: KindRequest,
	toWire: func(m Request) requestWire {
		return requestWire{Stage: uint8(m.Stage), ID: m.ID, Service: m.Service, Unit: m.Unit, Team: m.Team, Caller: m.Caller, Key: m.Key, Idempotent: m.Idempotent, Urgent: m.Urgent, Timeout: int64(m.Timeout), Method: m.Method, Path: m.Path, Body: m.Body}
	},
	fromWire: func(w requestWire) Request {
		return Request{Stage: Stage(w.Stage), ID: w.ID, Service: w.Service, Unit: w.Unit, Team: w.Team, Caller: w.Caller, Key: w.Key, Idempotent: w.Idempotent, Urgent: w.Urgent, Timeout: time.Duration(w.Timeout), Method: w.Method, Path: w.Path, Body: w.Body}
	},
}

// EncodeRequest returns the encoded message.
func EncodeRequest(m Request) peer.Message { return requestCodec.encode(m) }

// DecodeRequest decodes the message. It fails if p is of another kind or its
// body is malformed.
func DecodeRequest(p peer.Message) (Request, error) { return requestCodec.decode(p) }

type answerWire struct {
	_msgpack   struct{} `msgpack:",as_array"`
	ID         string
	Outcome    string
	Status     int
	Body       []byte
	Reason     string
	RetryAfter int64
}

var answerCodec = codec[Answer, answerWire]{
	kind: KindAnswer,
	toWire: func(m Answer) answerWire {
		return answerWire{ID: m.ID, Outcome: string(m.Outcome), Status: m.Status, Body: m.Body, Reason: m.Reason, RetryAfter: int64(m.RetryAfter)}
	},
	fromWire: func(w answerWire) Answer {
		return Answer{ID: w.ID, Outcome: Outcome(w.Outcome), Status: w.Status, Body: w.Body, Reason: w.Reason, RetryAfter: time.Duration(w.RetryAfter)}
	},
}

// EncodeAnswer returns the encoded message.
func EncodeAnswer(m Answer) peer.Message { return answerCodec.encode(m) }

// DecodeAnswer decodes the message. It fails if p is of another kind or its
// body is malformed.
func DecodeAnswer(p peer.Message) (Answer, error) { return answerCodec.decode(p) }
