package message

import (
	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/peer"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// JobLookup asks the owner for the state of a job. A job that is not in Scope counts as
// unknown. Hosts of earlier releases send no accounts, and some no queue.
type JobLookup struct {
	ID    workload.JobID
	Scope manifest.JobScope
}

// JobLookupReply answers JobLookup.
type JobLookupReply struct {
	Known bool
	State workload.State
	// Cause tells why the job has failed. Hosts of earlier releases neither send
	// nor expect it.
	Cause workload.Cause
}

// QueueLookup asks the owner for the number of waiting jobs of a queue.
type QueueLookup struct {
	Queue string
}

// QueueLookupReply answers QueueLookup.
type QueueLookupReply struct {
	Pending int
}

type jobLookupWire struct {
	_msgpack struct{} `msgpack:",as_array"`
	ID       string
}

var jobLookupCodec = codec[JobLookup, jobLookupWire]{
	kind:     KindJobLookup,
	toWire:   func(m JobLookup) jobLookupWire { return jobLookupWire{ID: string(m.ID)} },
	fromWire: func(w jobLookupWire) JobLookup { return JobLookup{ID: workload.JobID(w.ID)} },
}

type queueJobLookupWire struct {
	_msgpack struct{} `msgpack:",as_array"`
	ID       string
	Queue    string
}

var queueJobLookupCodec = codec[JobLookup, queueJobLookupWire]{
	kind: KindQueueJobLookup,
	toWire: func(m JobLookup) queueJobLookupWire {
		return queueJobLookupWire{ID: string(m.ID), Queue: m.Scope.Queue}
	},
	fromWire: func(w queueJobLookupWire) JobLookup {
		return JobLookup{ID: workload.JobID(w.ID), Scope: manifest.JobScope{Queue: w.Queue}}
	},
}

var scopedLookupCodec = scopedCodec[JobLookup]{
	scope:    func(m JobLookup) manifest.JobScope { return m.Scope },
	anyQueue: jobLookupCodec, queue: queueJobLookupCodec, account: accountJobLookupCodec,
}

// EncodeJobLookup returns the encoded message: a KindAccountJobLookup, or, without
// accounts, a KindQueueJobLookup, or a KindJobLookup if the lookup names no queue.
func EncodeJobLookup(m JobLookup) peer.Message { return scopedLookupCodec.encode(m) }

// DecodeJobLookup decodes a message of any of these kinds. It fails if p is of another
// kind or its body is malformed.
func DecodeJobLookup(p peer.Message) (JobLookup, error) { return scopedLookupCodec.decode(p) }

type jobLookupReplyWire struct {
	_msgpack struct{} `msgpack:",as_array"`
	Known    bool
	State    string
}

var jobLookupReplyCodec = codec[JobLookupReply, jobLookupReplyWire]{
	kind: KindJobLookupReply,
	toWire: func(m JobLookupReply) jobLookupReplyWire {
		return jobLookupReplyWire{Known: m.Known, State: string(m.State)}
	},
	fromWire: func(w jobLookupReplyWire) JobLookupReply {
		return JobLookupReply{Known: w.Known, State: workload.State(w.State)}
	},
}

// EncodeJobLookupReply returns the encoded message. The cause is a second value,
// which hosts of earlier releases ignore.
func EncodeJobLookupReply(m JobLookupReply) peer.Message {
	p := jobLookupReplyCodec.encode(m)
	if m.Cause == workload.CauseNone {
		return p
	}
	return appendExtension(p, string(m.Cause))
}

// DecodeJobLookupReply decodes the message. It fails if p is of another kind or
// its body is malformed.
func DecodeJobLookupReply(p peer.Message) (JobLookupReply, error) {
	m, err := jobLookupReplyCodec.decode(p)
	if err != nil {
		return JobLookupReply{}, err
	}
	var cause string
	if err := decodeExtension(p, &cause); err != nil {
		return JobLookupReply{}, err
	}
	m.Cause = workload.Cause(cause)
	return m, nil
}

type queueLookupWire struct {
	_msgpack struct{} `msgpack:",as_array"`
	Queue    string
}

var queueLookupCodec = codec[QueueLookup, queueLookupWire]{
	kind:     KindQueueLookup,
	toWire:   func(m QueueLookup) queueLookupWire { return queueLookupWire{Queue: m.Queue} },
	fromWire: func(w queueLookupWire) QueueLookup { return QueueLookup{Queue: w.Queue} },
}

// EncodeQueueLookup returns the encoded message.
func EncodeQueueLookup(m QueueLookup) peer.Message { return queueLookupCodec.encode(m) }

// DecodeQueueLookup decodes the message. It fails if p is of another kind or
// its body is malformed.
func DecodeQueueLookup(p peer.Message) (QueueLookup, error) { return queueLookupCodec.decode(p) }

type queueLookupReplyWire struct {
	_msgpack struct{} `msgpack:",as_array"`
	Pending  int
}

var queueLookupReplyCodec = codec[QueueLookupReply, queueLookupReplyWire]{
	kind:     KindQueueLookupReply,
	toWire:   func(m QueueLookupReply) queueLookupReplyWire { return queueLookupReplyWire{Pending: m.Pending} },
	fromWire: func(w queueLookupReplyWire) QueueLookupReply { return QueueLookupReply{Pending: w.Pending} },
}

// EncodeQueueLookupReply returns the encoded message.
func EncodeQueueLookupReply(m QueueLookupReply) peer.Message { return queueLookupReplyCodec.encode(m) }

// DecodeQueueLookupReply decodes the message. It fails if p is of another kind
// or its body is malformed.
func DecodeQueueLookupReply(p peer.Message) (QueueLookupReply, error) {
	return queueLookupReplyCodec.decode(p)
}
