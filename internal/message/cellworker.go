package message

import (
	"net/netip"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/peer"
	"cicadabarrow.example/cicadabarrow/internal/wire"
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

// workerCallFields is the number of encoded fields of a WorkerCall.
const workerCallFields = 3

// writeCall encodes the common part. The address is a list of bytes, which is shorter than
// its text and faster to decode.
func (m *WorkerCall) writeCall(e *wire.Encoder) {
	addr, _ := m.Addr.MarshalBinary() // never fails
	e.Array(workerCallFields)
	e.Unsigned(m.Epoch)
	e.Duration(m.Timeout)
	e.Bytes(addr)
}

// readWorkerCall decodes the common part. A malformed address gives the zero value.
func readWorkerCall(d *wire.Decoder) WorkerCall {
	d.Array(workerCallFields)
	out := WorkerCall{Epoch: d.Unsigned(), Timeout: d.Duration()}
	if err := out.Addr.UnmarshalBinary(d.Bytes()); err != nil {
		out.Addr = netip.AddrPort{}
	}
	return out
}

// taskFields is the number of encoded fields of a task's ID.
const taskFields = 4

func writeTask(e *wire.Encoder, id workload.TaskID) {
	e.Array(taskFields)
	e.Text(string(id.Job))
	e.Number(int64(id.Occurrence))
	e.Number(int64(id.Step))
	e.Number(int64(id.Index))
}

func readTask(d *wire.Decoder) workload.TaskID {
	d.Array(taskFields)
	step := workload.StepID{Job: workload.JobID(d.Text()), Occurrence: readInt(d), Step: readInt(d)}
	return workload.TaskID{StepID: step, Index: readInt(d)}
}

func readInt(d *wire.Decoder) int { return int(d.Number()) }

// writeIncarnation encodes the incarnation that a call is meant for as a second value after
// the array of the message, which hosts of earlier releases ignore. A call for any
// incarnation has none.
func writeIncarnation(e *wire.Encoder, incarnation cell.Incarnation) {
	if incarnation != 0 {
		e.Number(int64(incarnation))
	}
}

// readIncarnation decodes the incarnation that a call is meant for.
func readIncarnation(d *wire.Decoder) cell.Incarnation {
	if !d.More() {
		return 0
	}
	return cell.Incarnation(d.Number())
}

var workerHoldCodec = fieldCodec[WorkerHold]{
	kind: KindWorkerHold, fields: 6,
	write: func(e *wire.Encoder, m *WorkerHold) {
		m.writeCall(e)
		e.Text(string(m.Request.Worker))
		e.Duration(m.Request.Deadline)
		e.Number(m.Request.Acknowledged)
		e.Duration(m.Request.Wait)
		e.Flag(m.Request.EndsPending)
		writeIncarnation(e, m.Request.Incarnation)
	},
	read: func(d *wire.Decoder) WorkerHold {
		call := readWorkerCall(d)
		out := WorkerHold{WorkerCall: call, Request: cell.HoldRequest{
			Worker: cell.WorkerID(d.Text()), Addr: call.Addr, Deadline: d.Duration(), Acknowledged: d.Number(), Wait: d.Duration(),
			EndsPending: d.Flag(),
		}}
		out.Request.Incarnation = readIncarnation(d)
		return out
	},
}

// EncodeWorkerHold returns the encoded message.
func EncodeWorkerHold(m WorkerHold) peer.Message { return workerHoldCodec.encode(m) }

// DecodeWorkerHold decodes the message. It fails if p is of another kind or its body
// is malformed.
func DecodeWorkerHold(p peer.Message) (WorkerHold, error) { return workerHoldCodec.decode(p) }

var workerStartCodec = fieldCodec[WorkerStart]{
	kind: KindWorkerStart, fields: 9,
	write: func(e *wire.Encoder, m *WorkerStart) {
		m.writeCall(e)
		e.Text(string(m.Start.Worker))
		writeTask(e, m.Start.Task)
		e.Number(int64(m.Start.Run))
		e.Text(m.Start.Spec)
		e.Duration(m.Start.Deadline)
		e.Text(m.Start.Ticket)
		e.Text(m.Start.Checkpoint)
		e.Unsigned(m.SpecSum)
		writeIncarnation(e, m.Start.Incarnation)
	},
	read: func(d *wire.Decoder) WorkerStart {
		out := WorkerStart{
			WorkerCall: readWorkerCall(d),
			Start: cell.SendStart{
				Worker: cell.WorkerID(d.Text()), Task: readTask(d), Run: readInt(d), Spec: d.Text(), Deadline: d.Duration(),
				Ticket: d.Text(), Checkpoint: d.Text(),
			},
			SpecSum: d.Unsigned(),
		}
		out.Start.Incarnation = readIncarnation(d)
		return out
	},
}

// EncodeWorkerStart returns the encoded message.
func EncodeWorkerStart(m WorkerStart) peer.Message { return workerStartCodec.encode(m) }

// DecodeWorkerStart decodes the message. It fails if p is of another kind or its body
// is malformed.
func DecodeWorkerStart(p peer.Message) (WorkerStart, error) { return workerStartCodec.decode(p) }

// orderFields is the number of encoded fields of a stop and of a pace. The percentage
// is not used by a stop.
const orderFields = 5

var workerStopCodec = fieldCodec[WorkerStop]{
	kind: KindWorkerStop, fields: orderFields,
	write: func(e *wire.Encoder, m *WorkerStop) {
		m.writeCall(e)
		e.Text(string(m.Stop.Worker))
		writeTask(e, m.Stop.Task)
		e.Number(int64(m.Stop.Run))
		e.Number(0)
	},
	read: func(d *wire.Decoder) WorkerStop {
		call := readWorkerCall(d)
		stop := cell.SendStop{Worker: cell.WorkerID(d.Text()), Task: readTask(d), Run: readInt(d)}
		d.Number()
		return WorkerStop{WorkerCall: call, Stop: stop}
	},
}

// EncodeWorkerStop returns the encoded message.
func EncodeWorkerStop(m WorkerStop) peer.Message { return workerStopCodec.encode(m) }

// DecodeWorkerStop decodes the message. It fails if p is of another kind or its body
// is malformed.
func DecodeWorkerStop(p peer.Message) (WorkerStop, error) { return workerStopCodec.decode(p) }

var workerPaceCodec = fieldCodec[WorkerPace]{
	kind: KindWorkerPace, fields: orderFields,
	write: func(e *wire.Encoder, m *WorkerPace) {
		m.writeCall(e)
		e.Text(string(m.Pace.Worker))
		writeTask(e, m.Pace.Task)
		e.Number(int64(m.Pace.Run))
		e.Number(int64(m.Pace.Percent))
	},
	read: func(d *wire.Decoder) WorkerPace {
		call := readWorkerCall(d)
		pace := cell.SetPace{Worker: cell.WorkerID(d.Text()), Task: readTask(d), Run: readInt(d), Percent: readInt(d)}
		return WorkerPace{WorkerCall: call, Pace: pace}
	},
}

// EncodeWorkerPace returns the encoded message.
func EncodeWorkerPace(m WorkerPace) peer.Message { return workerPaceCodec.encode(m) }

// DecodeWorkerPace decodes the message. It fails if p is of another kind or its body
// is malformed.
func DecodeWorkerPace(p peer.Message) (WorkerPace, error) { return workerPaceCodec.decode(p) }
