package message

import (
	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/peer"
	"cicadabarrow.example/cicadabarrow/internal/wire"
)

// runningFields and endedFields are the numbers of encoded fields of a run that works
// and of one that has ended.
const (
	runningFields = 5
	endedFields   = 5
)

func writeRunning(e *wire.Encoder, r *cell.Running) {
	e.Array(runningFields)
	writeTask(e, r.Task)
	e.Number(int64(r.Run))
	e.Text(r.Checkpoint)
	e.Number(int64(r.Percent))
	e.Float(r.Load)
}

func readRunning(d *wire.Decoder) cell.Running {
	d.Array(runningFields)
	return cell.Running{Task: readTask(d), Run: readInt(d), Checkpoint: d.Text(), Percent: readInt(d), Load: d.Float()}
}

func writeEnded(e *wire.Encoder, r *cell.Ended) {
	e.Array(endedFields)
	e.Number(r.Number)
	writeTask(e, r.Task)
	e.Number(int64(r.Run))
	e.Text(string(r.Kind))
	e.Text(r.Checkpoint)
}

func readEnded(d *wire.Decoder) cell.Ended {
	d.Array(endedFields)
	return cell.Ended{Number: d.Number(), Task: readTask(d), Run: readInt(d), Kind: cell.EndKind(d.Text()), Checkpoint: d.Text()}
}

var workerReportCodec = fieldCodec[WorkerReport]{
	kind: KindWorkerReport, fields: 7,
	write: func(e *wire.Encoder, m *WorkerReport) {
		m.writeResult(e)
		e.Number(int64(m.Report.Incarnation))
		e.Duration(m.Report.Clock)
		writeList(e, m.Report.Running, writeRunning)
		writeList(e, m.Report.Ended, writeEnded)
		e.Flag(m.Report.EndsTruncated)
	},
	read: func(d *wire.Decoder) WorkerReport {
		return WorkerReport{WorkerResult: readResult(d), Report: cell.Report{
			Incarnation: cell.Incarnation(d.Number()), Clock: d.Duration(), Running: readList(d, readRunning),
			Ended: readList(d, readEnded), EndsTruncated: d.Flag(),
		}}
	},
}

// writeResult encodes the fields of the common part of an answer.
func (m *WorkerResult) writeResult(e *wire.Encoder) {
	e.Unsigned(uint64(m.Failure))
	e.Text(m.Error)
}

// readResult decodes the common part of an answer. An unknown failure counts as
// WorkerSilent, of which nothing is certain.
func readResult(d *wire.Decoder) WorkerResult {
	out := WorkerResult{Failure: WorkerFailure(d.Unsigned()), Error: d.Text()}
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

var workerStartedCodec = fieldCodec[WorkerStarted]{
	kind: KindWorkerStarted, fields: 6,
	write: func(e *wire.Encoder, m *WorkerStarted) {
		m.writeResult(e)
		e.Flag(m.Outcome.Unknown)
		e.Flag(m.Outcome.NotSent)
		e.Text(string(m.Outcome.Refused))
		e.Duration(m.Outcome.Clock)
	},
	read: func(d *wire.Decoder) WorkerStarted {
		return WorkerStarted{WorkerResult: readResult(d), Outcome: cell.StartOutcome{
			Unknown: d.Flag(), NotSent: d.Flag(), Refused: cell.Refusal(d.Text()), Clock: d.Duration(),
		}}
	},
}

// EncodeWorkerStarted returns the encoded message.
func EncodeWorkerStarted(m WorkerStarted) peer.Message { return workerStartedCodec.encode(m) }

// DecodeWorkerStarted decodes the message. It fails if p is of another kind or its
// body is malformed.
func DecodeWorkerStarted(p peer.Message) (WorkerStarted, error) { return workerStartedCodec.decode(p) }

var workerDoneCodec = fieldCodec[WorkerDone]{
	kind: KindWorkerDone, fields: 3,
	write: func(e *wire.Encoder, m *WorkerDone) {
		m.writeResult(e)
		e.Duration(m.Clock)
	},
	read: func(d *wire.Decoder) WorkerDone {
		return WorkerDone{WorkerResult: readResult(d), Clock: d.Duration()}
	},
}

// EncodeWorkerDone returns the encoded message.
func EncodeWorkerDone(m WorkerDone) peer.Message { return workerDoneCodec.encode(m) }

// DecodeWorkerDone decodes the message. It fails if p is of another kind or its body
// is malformed.
func DecodeWorkerDone(p peer.Message) (WorkerDone, error) { return workerDoneCodec.decode(p) }
