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

// EncodeRecord encodes the progress record of a job.
//
// What earlier releases do not know follows in a second value, which they ignore, and
// what releases with two values do not know in a third.
func EncodeRecord(r cell.Record) ([]byte, error) {
	e := recordEncoder{wire.NewEncoder()}
	e.record(&r)
	tasks, notStarted := countSupplements(&r)
	if r.Cause != "" || tasks > 0 {
		e.supplement(&r, tasks)
	}
	if notStarted > 0 {
		e.notStarted(&r, notStarted)
	}
	return e.Finish()
}

// recordLimits bounds a record. One of workload.MaxJobTasks tasks with 40 failed runs each
// has fewer values.
var recordLimits = wire.Limits{Values: 1 << 20}

// DecodeRecord decodes the progress record of a job. With an error of KindSupplement it
// returns the record without its supplement, which may be of a later release.
func DecodeRecord(value []byte) (cell.Record, error) {
	var w recordWire
	value, err := decompress(value)
	if err != nil {
		return cell.Record{}, err
	}
	size, err := wire.MeasureWithin(recordLimits, value)
	if err == nil {
		err = msgpack.Unmarshal(value[:size], &w)
	}
	if err != nil {
		return cell.Record{}, fault.New("decode record", KindMalformed, "%w", err)
	}
	if err := w.check(); err != nil {
		return cell.Record{}, err
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

// check checks the numbers of the runs. Its error is of KindMalformed.
func (w *recordWire) check() error {
	for _, steps := range w.Occurrences {
		for _, s := range steps {
			if err := checkRuns(s.FailedRuns...); err != nil {
				return err
			}
			for _, t := range s.Tasks {
				if err := checkRuns(t.LastRun, t.Run); err != nil {
					return err
				}
				if err := checkRuns(t.FailedRuns...); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// maxRun is the largest number of a run in a record. It leaves room for further runs.
const maxRun = 1 << 53

func checkRuns(numbers ...int) error {
	for _, n := range numbers {
		if n < 0 || n > maxRun {
			return fault.New("decode record", KindMalformed, "run number %d; 0 to %d are allowed", n, int64(maxRun))
		}
	}
	return nil
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
