package ledger

import (
	"github.com/vmihailenco/msgpack/v5"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/wire"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

type recordWire struct {
	_msgpack    struct{} `msgpack:",as_array"`
	Job         string
	Revision    uint64
	State       string
	Occurrences [][]stepRecordWire
}

type stepRecordWire struct {
	_msgpack   struct{} `msgpack:",as_array"`
	FailedRuns []int
	Tasks      []taskRecordWire
}

type taskRecordWire struct {
	_msgpack   struct{} `msgpack:",as_array"`
	Done       bool
	LastRun    int
	FailedRuns []int
	Checkpoint string
	Worker     string
	Run        int
}

// EncodeRecord encodes the progress record of a job. The record of a job in a
// final state holds no occurrences.
//
// What earlier releases do not know follows in a second value, which they ignore, and
// what releases with two values do not know in a third.
func EncodeRecord(r cell.Record) ([]byte, error) {
	e := newRecordEncoder()
	e.record(&r)
	tasks, notStarted := countSupplements(&r)
	if r.Cause != "" || tasks > 0 {
		e.supplement(&r, tasks)
	}
	if notStarted > 0 {
		e.notStarted(&r, notStarted)
	}
	return e.finish()
}

// DecodeRecord decodes the progress record of a job. With an error of KindSupplement it
// returns the record without its supplement, which may be of a later release.
func DecodeRecord(value []byte) (cell.Record, error) {
	var w recordWire
	size, err := wire.Measure(value)
	if err == nil {
		err = msgpack.Unmarshal(value[:size], &w)
	}
	if err != nil {
		return cell.Record{}, fault.New("decode record", KindMalformed, "%w", err)
	}
	r := cell.Record{Job: workload.JobID(w.Job), Revision: w.Revision, State: workload.State(w.State)}
	r.Occurrences = make([][]cell.StepRecord, len(w.Occurrences))
	for k, steps := range w.Occurrences {
		r.Occurrences[k] = decodeSteps(steps)
	}
	if size == len(value) {
		return r, nil
	}
	return r, decodeSupplement(value[size:], &r)
}

func decodeSteps(steps []stepRecordWire) []cell.StepRecord {
	out := make([]cell.StepRecord, len(steps))
	for i, s := range steps {
		out[i] = cell.StepRecord{FailedRuns: s.FailedRuns, Tasks: make([]cell.TaskRecord, len(s.Tasks))}
		for n, t := range s.Tasks {
			out[i].Tasks[n] = cell.TaskRecord{
				Done: t.Done, LastRun: t.LastRun, FailedRuns: t.FailedRuns, Checkpoint: t.Checkpoint,
				Worker: cell.WorkerID(t.Worker), Run: t.Run,
			}
		}
	}
	return out
}
