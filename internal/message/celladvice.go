package message

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/peer"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// StepAdviceRequest asks a peer to query the advice service for a step.
type StepAdviceRequest struct {
	Step    workload.StepID
	Workers []cell.WorkerID
	// Timeout is how long the sender waits for the answer.
	Timeout time.Duration
}

// StepAdvice answers StepAdviceRequest.
type StepAdvice struct {
	// Failed is set when the advice service gave no advice.
	Failed  bool
	Valid   time.Duration
	Allowed []cell.Ticket
}

type stepAdviceRequestWire struct {
	_msgpack   struct{} `msgpack:",as_array"`
	Job        string
	Occurrence int
	Step       int
	Workers    []string
	Timeout    time.Duration
}

var stepAdviceRequestCodec = codec[StepAdviceRequest, stepAdviceRequestWire]{
	kind: KindStepAdviceRequest,
	toWire: func(m StepAdviceRequest) stepAdviceRequestWire {
		return stepAdviceRequestWire{
			Job: string(m.Step.Job), Occurrence: m.Step.Occurrence, Step: m.Step.Step, Timeout: m.Timeout,
			Workers: mapSlice(m.Workers, func(id cell.WorkerID) string { return string(id) }),
		}
	},
	fromWire: func(w stepAdviceRequestWire) StepAdviceRequest {
		return StepAdviceRequest{
			Step:    workload.StepID{Job: workload.JobID(w.Job), Occurrence: w.Occurrence, Step: w.Step},
			Workers: mapSlice(w.Workers, func(id string) cell.WorkerID { return cell.WorkerID(id) }),
			Timeout: w.Timeout,
		}
	},
}

// EncodeStepAdviceRequest returns the encoded message.
func EncodeStepAdviceRequest(m StepAdviceRequest) peer.Message {
	return stepAdviceRequestCodec.encode(m)
}

// DecodeStepAdviceRequest decodes the message. It fails if p is of another kind
// or its body is malformed.
func DecodeStepAdviceRequest(p peer.Message) (StepAdviceRequest, error) {
	return stepAdviceRequestCodec.decode(p)
}

type stepAdviceWire struct {
	_msgpack struct{} `msgpack:",as_array"`
	Failed   bool
	Valid    time.Duration
	Allowed  []ticketWire
}

type ticketWire struct {
	_msgpack struct{} `msgpack:",as_array"`
	Worker   string
	Value    string
}

var stepAdviceCodec = codec[StepAdvice, stepAdviceWire]{
	kind: KindStepAdvice,
	toWire: func(m StepAdvice) stepAdviceWire {
		return stepAdviceWire{Failed: m.Failed, Valid: m.Valid, Allowed: mapSlice(m.Allowed, func(t cell.Ticket) ticketWire {
			return ticketWire{Worker: string(t.Worker), Value: t.Value}
		})}
	},
	fromWire: func(w stepAdviceWire) StepAdvice {
		return StepAdvice{Failed: w.Failed, Valid: w.Valid, Allowed: mapSlice(w.Allowed, func(t ticketWire) cell.Ticket {
			return cell.Ticket{Worker: cell.WorkerID(t.Worker), Value: t.Value}
		})}
	},
}

// EncodeStepAdvice returns the encoded message.
func EncodeStepAdvice(m StepAdvice) peer.Message { return stepAdviceCodec.encode(m) }

// DecodeStepAdvice decodes the message. It fails if p is of another kind or its
// body is malformed.
func DecodeStepAdvice(p peer.Message) (StepAdvice, error) { return stepAdviceCodec.decode(p) }
