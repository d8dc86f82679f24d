package ledger

import (
	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/wire"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// supplementWire is the part of a progress record that releases before it do not
// know. It has an entry for each task to which it adds something.
type supplementWire struct {
	_msgpack struct{} `msgpack:",as_array"`
	Cause    string
	Tasks    []taskSupplementWire
}

type taskSupplementWire struct {
	_msgpack struct{} `msgpack:",as_array"`
	// Occurrence, Step and Task are the indexes of the task in the record.
	Occurrence  int
	Step        int
	Task        int
	Machine     string
	Incarnation int64
	Crashes     []crashWire
	Lost        []lostRunWire
	// Accepted is set if the worker has accepted the start of the current run.
	Accepted bool
}

type crashWire struct {
	_msgpack    struct{} `msgpack:",as_array"`
	Run         int
	JustStarted bool
	Alone       bool
	Accepted    bool
	SentListed  bool
}

type lostRunWire struct {
	_msgpack    struct{} `msgpack:",as_array"`
	Crash       crashWire
	Machine     string
	Incarnation int64
}

// countSupplements returns the number of tasks in the supplement of a record. A record
// in a final state has only the cause.
func countSupplements(r *cell.Record) int {
	if r.State.Final() {
		return 0
	}
	count := 0
	for _, steps := range r.Occurrences {
		for i := range steps {
			for n := range steps[i].Tasks {
				if needsSupplement(&steps[i].Tasks[n]) {
					count++
				}
			}
		}
	}
	return count
}

// needsSupplement reports whether a task has content that earlier releases do not know.
func needsSupplement(t *cell.TaskRecord) bool {
	return t.Machine != "" || len(t.Crashes) > 0 || len(t.Lost) > 0
}

// decodeSupplement decodes the supplement of a record and adds it to the record. On an
// error the record is unchanged.
func decodeSupplement(value []byte, r *cell.Record) error {
	var w supplementWire
	if err := wire.UnmarshalWithin(recordLimits, value, &w); err != nil {
		return fault.New("decode record", KindSupplement, "%w", err)
	}
	tasks := make([]*cell.TaskRecord, len(w.Tasks))
	for i, s := range w.Tasks {
		if tasks[i] = taskOf(r, s); tasks[i] == nil {
			return fault.New("decode record", KindSupplement, "no task %d of step %d in occurrence %d", s.Task, s.Step, s.Occurrence)
		}
	}
	r.Cause = workload.Cause(w.Cause)
	for i, s := range w.Tasks {
		t := tasks[i]
		t.Machine, t.Incarnation = s.Machine, cell.Incarnation(s.Incarnation)
		t.Crashes, t.Lost, t.Accepted = decodeCrashes(s.Crashes), decodeLostRuns(s.Lost), s.Accepted
	}
	return nil
}

// taskOf returns the task of a record that an entry of the supplement is about, or nil.
func taskOf(r *cell.Record, s taskSupplementWire) *cell.TaskRecord {
	if s.Occurrence < 0 || s.Occurrence >= len(r.Occurrences) {
		return nil
	}
	steps := r.Occurrences[s.Occurrence]
	if s.Step < 0 || s.Step >= len(steps) || s.Task < 0 || s.Task >= len(steps[s.Step].Tasks) {
		return nil
	}
	return &steps[s.Step].Tasks[s.Task]
}

func decodeCrashes(crashes []crashWire) []cell.Crash {
	var out []cell.Crash
	for _, c := range crashes {
		out = append(out, decodeCrash(c))
	}
	return out
}

func decodeCrash(c crashWire) cell.Crash {
	return cell.Crash{Run: c.Run, JustStarted: c.JustStarted, Alone: c.Alone, Accepted: c.Accepted, SentListed: c.SentListed}
}

func decodeLostRuns(lost []lostRunWire) []cell.LostRun {
	var out []cell.LostRun
	for _, l := range lost {
		out = append(out, cell.LostRun{Crash: decodeCrash(l.Crash), Machine: l.Machine, Incarnation: cell.Incarnation(l.Incarnation)})
	}
	return out
}
