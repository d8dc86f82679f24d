package message

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/job/jobwire"

	"cicadabarrow.example/cicadabarrow/internal/peer"
)

type workersQueryWire struct {
	_msgpack struct{} `msgpack:",as_array"`
}

var workersQueryCodec = codec[WorkersQuery, workersQueryWire]{
	kind: KindWorkersQuery,
	toWire: func(WorkersQuery) workersQueryWire {
		return workersQueryWire{}
	},
	fromWire: func(workersQueryWire) WorkersQuery {
		return WorkersQuery{}
	},
}

// EncodeWorkersQuery returns the encoded message.
func EncodeWorkersQuery(m WorkersQuery) peer.Message { return workersQueryCodec.encode(m) }

type workersAnswerWire struct {
	_msgpack struct{} `msgpack:",as_array"`
	Workers  []workerStatusWire
}

var workersAnswerCodec = codec[WorkersAnswer, workersAnswerWire]{
	kind: KindWorkersAnswer,
	toWire: func(m WorkersAnswer) workersAnswerWire {
		return workersAnswerWire{Workers: mapSlice(m.Workers, encodeWorkerStatus)}
	},
	fromWire: func(w workersAnswerWire) WorkersAnswer {
		return WorkersAnswer{Workers: mapSlice(w.Workers, decodeWorkerStatus)}
	},
}

// EncodeWorkersAnswer returns the encoded message.
func EncodeWorkersAnswer(m WorkersAnswer) peer.Message { return workersAnswerCodec.encode(m) }

// DecodeWorkersAnswer decodes the message. It fails if p is of another kind or
// its body is malformed.
func DecodeWorkersAnswer(p peer.Message) (WorkersAnswer, error) { return workersAnswerCodec.decode(p) }

type cordonWire struct {
	_msgpack   struct{} `msgpack:",as_array"`
	Worker     string
	Closed     bool
	Quarantine bool
}

var cordonCodec = codec[Cordon, cordonWire]{
	kind: KindCordon,
	toWire: func(m Cordon) cordonWire {
		return cordonWire{Worker: m.Worker, Closed: m.Closed, Quarantine: m.Quarantine}
	},
	fromWire: func(w cordonWire) Cordon {
		return Cordon{Worker: w.Worker, Closed: w.Closed, Quarantine: w.Quarantine}
	},
}

// EncodeCordon returns the encoded message.
func EncodeCordon(m Cordon) peer.Message { return cordonCodec.encode(m) }

// DecodeCordon decodes the message. It fails if p is of another kind or its
// body is malformed.
func DecodeCordon(p peer.Message) (Cordon, error) { return cordonCodec.decode(p) }

type cordonedWire struct {
	_msgpack struct{} `msgpack:",as_array"`
	Reason   string
}

var cordonedCodec = codec[Cordoned, cordonedWire]{
	kind: KindCordoned,
	toWire: func(m Cordoned) cordonedWire {
		return cordonedWire{Reason: m.Reason}
	},
	fromWire: func(w cordonedWire) Cordoned {
		return Cordoned{Reason: w.Reason}
	},
}

// EncodeCordoned returns the encoded message.
func EncodeCordoned(m Cordoned) peer.Message { return cordonedCodec.encode(m) }

// DecodeCordoned decodes the message. It fails if p is of another kind or its
// body is malformed.
func DecodeCordoned(p peer.Message) (Cordoned, error) { return cordonedCodec.decode(p) }

type workerStatusWire struct {
	_msgpack       struct{} `msgpack:",as_array"`
	Name           string
	Rack           string
	Capacity       jobwire.Size
	Used           jobwire.Size
	Tasks          int
	Schedulable    bool
	Leaving        bool
	Cordoned       bool
	UnreachableFor int64
	Quarantined    bool
}

func encodeWorkerStatus(s WorkerStatus) workerStatusWire {
	return workerStatusWire{
		Name: s.Name, Rack: s.Rack, Capacity: jobwire.EncodeSize(s.Capacity), Used: jobwire.EncodeSize(s.Used), Tasks: s.Tasks,
		Schedulable: s.Schedulable, Leaving: s.Leaving, Cordoned: s.Cordoned, UnreachableFor: int64(s.UnreachableFor),
		Quarantined: s.Quarantined,
	}
}

func decodeWorkerStatus(w workerStatusWire) WorkerStatus {
	return WorkerStatus{
		Name: w.Name, Rack: w.Rack, Capacity: jobwire.DecodeSize(w.Capacity), Used: jobwire.DecodeSize(w.Used), Tasks: w.Tasks,
		Schedulable: w.Schedulable, Leaving: w.Leaving, Cordoned: w.Cordoned, UnreachableFor: time.Duration(w.UnreachableFor),
		Quarantined: w.Quarantined,
	}
}
