package message

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/peer"
)

type workerRunningWire struct {
	_msgpack   struct{} `msgpack:",as_array"`
	Task       taskWire
	Run        int
	Checkpoint string
	Percent    int
	Load       float64
}

type workerEndedWire struct {
	_msgpack   struct{} `msgpack:",as_array"`
	Number     int64
	Task       taskWire
	Run        int
	Kind       string
	Checkpoint string
}

type workerReportWire struct {
	_msgpack      struct{} `msgpack:",as_array"`
	Failure       uint8
	Error         string
	Incarnation   int64
	Clock         time.Duration
	Running       []workerRunningWire
	Ended         []workerEndedWire
	EndsTruncated bool
}

var workerReportCodec = codec[WorkerReport, workerReportWire]{
	kind: KindWorkerReport,
	toWire: func(m WorkerReport) workerReportWire {
		r := m.Report
		return workerReportWire{
			Failure: uint8(m.Failure), Error: m.Error, Incarnation: int64(r.Incarnation), Clock: r.Clock, EndsTruncated: r.EndsTruncated,
			Running: mapSlice(r.Running, func(e cell.Running) workerRunningWire {
				return workerRunningWire{Task: encodeTask(e.Task), Run: e.Run, Checkpoint: e.Checkpoint, Percent: e.Percent, Load: e.Load}
			}),
			Ended: mapSlice(r.Ended, func(e cell.Ended) workerEndedWire {
				return workerEndedWire{Number: e.Number, Task: encodeTask(e.Task), Run: e.Run, Kind: string(e.Kind), Checkpoint: e.Checkpoint}
			}),
		}
	},
	fromWire: func(w workerReportWire) WorkerReport {
		return WorkerReport{WorkerResult: decodeResult(w.Failure, w.Error), Report: cell.Report{
			Incarnation: cell.Incarnation(w.Incarnation), Clock: w.Clock, EndsTruncated: w.EndsTruncated,
			Running: mapSlice(w.Running, func(e workerRunningWire) cell.Running {
				return cell.Running{Task: e.Task.task(), Run: e.Run, Checkpoint: e.Checkpoint, Percent: e.Percent, Load: e.Load}
			}),
			Ended: mapSlice(w.Ended, func(e workerEndedWire) cell.Ended {
				return cell.Ended{Number: e.Number, Task: e.Task.task(), Run: e.Run, Kind: cell.EndKind(e.Kind), Checkpoint: e.Checkpoint}
			}),
		}}
	},
}

// decodeResult decodes the common part of an answer. An unknown failure counts as
// WorkerSilent, of which nothing is certain.
func decodeResult(failure uint8, text string) WorkerResult {
	out := WorkerResult{Failure: WorkerFailure(failure), Error: text}
	if out.Failure > WorkerNeedsSpec {
		out.Failure = WorkerSilent
	}
	return out
}

// EncodeWorkerReport returns the encoded message.
func EncodeWorkerReport(m WorkerReport) peer.Message { return workerReportCodec.encode(m) }

// DecodeWorkerReport decodes the message. It fails if p is of another kind or its
// body is malformed.
func DecodeWorkerReport(p peer.Message) (WorkerReport, error) { return workerReportCodec.decode(p) }

type workerStartedWire struct {
	_msgpack struct{} `msgpack:",as_array"`
	Failure  uint8
	Error    string
	Unknown  bool
	NotSent  bool
	Refused  string
	Clock    time.Duration
}

var workerStartedCodec = codec[WorkerStarted, workerStartedWire]{
	kind: KindWorkerStarted,
	toWire: func(m WorkerStarted) workerStartedWire {
		o := m.Outcome
		return workerStartedWire{
			Failure: uint8(m.Failure), Error: m.Error, Unknown: o.Unknown, NotSent: o.NotSent, Refused: string(o.Refused), Clock: o.Clock,
		}
	},
	fromWire: func(w workerStartedWire) WorkerStarted {
		outcome := cell.StartOutcome{Unknown: w.Unknown, NotSent: w.NotSent, Refused: cell.Refusal(w.Refused), Clock: w.Clock}
		return WorkerStarted{WorkerResult: decodeResult(w.Failure, w.Error), Outcome: outcome}
	},
}

// EncodeWorkerStarted returns the encoded message.
func EncodeWorkerStarted(m WorkerStarted) peer.Message { return workerStartedCodec.encode(m) }

// DecodeWorkerStarted decodes the message. It fails if p is of another kind or its
// body is malformed.
func DecodeWorkerStarted(p peer.Message) (WorkerStarted, error) { return workerStartedCodec.decode(p) }

type workerDoneWire struct {
	_msgpack struct{} `msgpack:",as_array"`
	Failure  uint8
	Error    string
	Clock    time.Duration
}

var workerDoneCodec = codec[WorkerDone, workerDoneWire]{
	kind: KindWorkerDone,
	toWire: func(m WorkerDone) workerDoneWire {
		return workerDoneWire{Failure: uint8(m.Failure), Error: m.Error, Clock: m.Clock}
	},
	fromWire: func(w workerDoneWire) WorkerDone {
		return WorkerDone{WorkerResult: decodeResult(w.Failure, w.Error), Clock: w.Clock}
	},
}

// EncodeWorkerDone returns the encoded message.
func EncodeWorkerDone(m WorkerDone) peer.Message { return workerDoneCodec.encode(m) }

// DecodeWorkerDone decodes the message. It fails if p is of another kind or its body
// is malformed.
func DecodeWorkerDone(p peer.Message) (WorkerDone, error) { return workerDoneCodec.decode(p) }
