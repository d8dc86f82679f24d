package message

import (
	"net/netip"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/peer"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// WorkerCall is the common part of the calls that the owner passes to a relay, which
// is a host that makes them to a worker for the owner.
type WorkerCall struct {
	// Epoch is the owner's epoch, which is the fencing token of the call.
	Epoch uint64
	// Timeout is how long the worker may take.
	Timeout time.Duration
	// Addr is the address of the worker.
	Addr netip.AddrPort
}

// WorkerHold asks a relay to make a hold call. WorkerReport answers it.
type WorkerHold struct {
	WorkerCall
	Request cell.HoldRequest
}

// WorkerStart asks a relay to start a run. WorkerStarted answers it.
type WorkerStart struct {
	WorkerCall
	Start cell.SendStart
	// SpecSum is a hash of the spec. With it, the spec is left out if the relay has
	// had it with an earlier start of the job; 0 means that the spec is not kept.
	SpecSum uint64
}

// WorkerStop asks a relay to stop a run. WorkerDone answers it.
type WorkerStop struct {
	WorkerCall
	Stop cell.SendStop
}

// WorkerPace asks a relay to set the pace of a run. WorkerDone answers it.
type WorkerPace struct {
	WorkerCall
	Pace cell.SetPace
}

// WorkerFailure tells why a relay's call to a worker failed.
type WorkerFailure uint8

const (
	// WorkerAnswered means that the call did not fail.
	WorkerAnswered WorkerFailure = iota
	// WorkerNotSent means that no part of the call was sent to the worker.
	WorkerNotSent
	// WorkerSilent means that the call may have been sent and was not answered, or
	// that the worker's answer reports a failure.
	WorkerSilent
	// WorkerFenced means that the worker has seen a higher epoch.
	WorkerFenced
	// WorkerNeedsSpec means that the relay doesn't have the spec that was left out, so
	// that no call was sent.
	WorkerNeedsSpec
)

// WorkerResult is the common part of a relay's answers.
type WorkerResult struct {
	Failure WorkerFailure
	// Error is the error of a call that failed.
	Error string
}

// WorkerReport answers WorkerHold.
type WorkerReport struct {
	WorkerResult
	Report cell.Report
}

// WorkerStarted answers WorkerStart.
type WorkerStarted struct {
	WorkerResult
	Outcome cell.StartOutcome
}

// WorkerDone answers WorkerStop and WorkerPace. Clock is the worker's clock after a
// stop.
type WorkerDone struct {
	WorkerResult
	Clock time.Duration
}

type workerCallWire struct {
	_msgpack struct{} `msgpack:",as_array"`
	Epoch    uint64
	Timeout  time.Duration
	Addr     []byte
}

// toWire encodes the common part. The address is a list of bytes, which is shorter than
// its text and faster to decode.
func (m *WorkerCall) toWire() workerCallWire {
	addr, _ := m.Addr.MarshalBinary() // never fails
	return workerCallWire{Epoch: m.Epoch, Timeout: m.Timeout, Addr: addr}
}

// fromWire decodes the common part. A malformed address gives the zero value.
func (w *workerCallWire) fromWire() WorkerCall {
	out := WorkerCall{Epoch: w.Epoch, Timeout: w.Timeout}
	if err := out.Addr.UnmarshalBinary(w.Addr); err != nil {
		out.Addr = netip.AddrPort{}
	}
	return out
}

type taskWire struct {
	_msgpack   struct{} `msgpack:",as_array"`
	Job        string
	Occurrence int
	Step       int
	Index      int
}

func encodeTask(id workload.TaskID) taskWire {
	return taskWire{Job: string(id.Job), Occurrence: id.Occurrence, Step: id.Step, Index: id.Index}
}

func (w *taskWire) task() workload.TaskID {
	step := workload.StepID{Job: workload.JobID(w.Job), Occurrence: w.Occurrence, Step: w.Step}
	return workload.TaskID{StepID: step, Index: w.Index}
}

type workerHoldWire struct {
	_msgpack     struct{} `msgpack:",as_array"`
	Order        workerCallWire
	Worker       string
	Deadline     time.Duration
	Acknowledged int64
	Wait         time.Duration
	EndsPending  bool
}

var workerHoldCodec = codec[WorkerHold, workerHoldWire]{
	kind: KindWorkerHold,
	toWire: func(m WorkerHold) workerHoldWire {
		r := m.Request
		return workerHoldWire{
			Order: m.toWire(), Worker: string(r.Worker), Deadline: r.Deadline, Acknowledged: r.Acknowledged, Wait: r.Wait,
			EndsPending: r.EndsPending,
		}
	},
	fromWire: func(w workerHoldWire) WorkerHold {
		order := w.Order.fromWire()
		return WorkerHold{WorkerCall: order, Request: cell.HoldRequest{
			Worker: cell.WorkerID(w.Worker), Addr: order.Addr, Deadline: w.Deadline, Acknowledged: w.Acknowledged, Wait: w.Wait,
			EndsPending: w.EndsPending,
		}}
	},
}

// EncodeWorkerHold returns the encoded message.
func EncodeWorkerHold(m WorkerHold) peer.Message { return workerHoldCodec.encode(m) }

// DecodeWorkerHold decodes the message. It fails if p is of another kind or its body
// is malformed.
func DecodeWorkerHold(p peer.Message) (WorkerHold, error) { return workerHoldCodec.decode(p) }

type workerStartWire struct {
	_msgpack   struct{} `msgpack:",as_array"`
	Order      workerCallWire
	Worker     string
	Task       taskWire
	Run        int
	Spec       string
	Deadline   time.Duration
	Ticket     string
	Checkpoint string
	SpecSum    uint64
}

var workerStartCodec = codec[WorkerStart, workerStartWire]{
	kind: KindWorkerStart,
	toWire: func(m WorkerStart) workerStartWire {
		s := m.Start
		return workerStartWire{
			Order: m.toWire(), Worker: string(s.Worker), Task: encodeTask(s.Task), Run: s.Run, Spec: s.Spec, Deadline: s.Deadline,
			Ticket: s.Ticket, Checkpoint: s.Checkpoint, SpecSum: m.SpecSum,
		}
	},
	fromWire: func(w workerStartWire) WorkerStart {
		return WorkerStart{WorkerCall: w.Order.fromWire(), SpecSum: w.SpecSum, Start: cell.SendStart{
			Worker: cell.WorkerID(w.Worker), Task: w.Task.task(), Run: w.Run, Spec: w.Spec, Deadline: w.Deadline,
			Ticket: w.Ticket, Checkpoint: w.Checkpoint,
		}}
	},
}

// EncodeWorkerStart returns the encoded message.
func EncodeWorkerStart(m WorkerStart) peer.Message { return workerStartCodec.encode(m) }

// DecodeWorkerStart decodes the message. It fails if p is of another kind or its body
// is malformed.
func DecodeWorkerStart(p peer.Message) (WorkerStart, error) { return workerStartCodec.decode(p) }

type workerStopWire struct {
	_msgpack struct{} `msgpack:",as_array"`
	Order    workerCallWire
	Worker   string
	Task     taskWire
	Run      int
	// Percent is not used by a stop.
	Percent int
}

var workerStopCodec = codec[WorkerStop, workerStopWire]{
	kind: KindWorkerStop,
	toWire: func(m WorkerStop) workerStopWire {
		return workerStopWire{Order: m.toWire(), Worker: string(m.Stop.Worker), Task: encodeTask(m.Stop.Task), Run: m.Stop.Run}
	},
	fromWire: func(w workerStopWire) WorkerStop {
		stop := cell.SendStop{Worker: cell.WorkerID(w.Worker), Task: w.Task.task(), Run: w.Run}
		return WorkerStop{WorkerCall: w.Order.fromWire(), Stop: stop}
	},
}

// EncodeWorkerStop returns the encoded message.
func EncodeWorkerStop(m WorkerStop) peer.Message { return workerStopCodec.encode(m) }

// DecodeWorkerStop decodes the message. It fails if p is of another kind or its body
// is malformed.
func DecodeWorkerStop(p peer.Message) (WorkerStop, error) { return workerStopCodec.decode(p) }

var workerPaceCodec = codec[WorkerPace, workerStopWire]{
	kind: KindWorkerPace,
	toWire: func(m WorkerPace) workerStopWire {
		p := m.Pace
		return workerStopWire{Order: m.toWire(), Worker: string(p.Worker), Task: encodeTask(p.Task), Run: p.Run, Percent: p.Percent}
	},
	fromWire: func(w workerStopWire) WorkerPace {
		pace := cell.SetPace{Worker: cell.WorkerID(w.Worker), Task: w.Task.task(), Run: w.Run, Percent: w.Percent}
		return WorkerPace{WorkerCall: w.Order.fromWire(), Pace: pace}
	},
}

// EncodeWorkerPace returns the encoded message.
func EncodeWorkerPace(m WorkerPace) peer.Message { return workerPaceCodec.encode(m) }

// DecodeWorkerPace decodes the message. It fails if p is of another kind or its body
// is malformed.
func DecodeWorkerPace(p peer.Message) (WorkerPace, error) { return workerPaceCodec.decode(p) }
