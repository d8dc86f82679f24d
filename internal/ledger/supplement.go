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

// notStartedWire is an entry of the third value of a progress record, which releases
// with only a supplement ignore.
type notStartedWire struct {
	_msgpack   struct{} `msgpack:",as_array"`
	Occurrence int
	Step       int
	Task       int
	Ranges     []runRangeWire
}

type runRangeWire struct {
	_msgpack struct{} `msgpack:",as_array"`
	First    int
	Last     int
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

// countSupplements returns for how many tasks the second and the third value of a
// record have an entry. A record in a final state has only the cause.
func countSupplements(r *cell.Record) (supplements, notStarted int) {
	if r.State.Final() {
		return 0, 0
	}
	eachTask(r, needsSupplement, func(_, _, _ int, t *cell.TaskRecord) {
		supplements++
		if hasNotStarted(t) {
			notStarted++
		}
	})
	return supplements, notStarted
}

// eachTask calls do for each task of a record for which a condition holds, with the
// indexes of its occurrence, its step and the task.
func eachTask(r *cell.Record, holds func(*cell.TaskRecord) bool, do func(occurrence, step, task int, t *cell.TaskRecord)) {
	for k, steps := range r.Occurrences {
		for i := range steps {
			for n := range steps[i].Tasks {
				if t := &steps[i].Tasks[n]; holds(t) {
					do(k, i, n, t)
				}
			}
		}
	}
}

// needsSupplement reports whether a task has content that earlier releases do not know.
func needsSupplement(t *cell.TaskRecord) bool {
	return t.Machine != "" || len(t.Crashes) > 0 || len(t.Lost) > 0 || hasNotStarted(t)
}

// hasNotStarted reports whether a task has an entry in the third value.
func hasNotStarted(t *cell.TaskRecord) bool { return len(t.NotStarted) > 0 }

// decodeSupplement decodes the values after the first one of a record and adds them to
// the record. On an error the record is unchanged.
func decodeSupplement(value []byte, r *cell.Record) error {
	var w supplementWire
	var notStarted []notStartedWire
	size, err := wire.Measure(value)
	if err == nil {
		err = wire.UnmarshalWithin(recordLimits, value, &w)
	}
	if err == nil && size < len(value) {
		err = wire.UnmarshalWithin(recordLimits, value[size:], &notStarted)
	}
	if err != nil {
		return fault.New("decode record", KindSupplement, "%w", err)
	}
	for _, s := range w.Tasks {
		if taskOf(r, s.Occurrence, s.Step, s.Task) == nil {
			return noTask(s.Occurrence, s.Step, s.Task)
		}
	}
	for _, s := range notStarted {
		if taskOf(r, s.Occurrence, s.Step, s.Task) == nil {
			return noTask(s.Occurrence, s.Step, s.Task)
		}
	}
	r.Cause = workload.Cause(w.Cause)
	for _, s := range notStarted {
		taskOf(r, s.Occurrence, s.Step, s.Task).NotStarted = decodeRanges(s.Ranges)
	}
	for _, s := range w.Tasks {
		t := taskOf(r, s.Occurrence, s.Step, s.Task)
		t.Machine, t.Incarnation = s.Machine, cell.Incarnation(s.Incarnation)
		t.Crashes, t.Lost, t.Accepted = decodeCrashes(s.Crashes), decodeLostRuns(s.Lost), s.Accepted
	}
	return nil
}

// taskOf returns the task of a record with the given indexes, or nil.
func taskOf(r *cell.Record, occurrence, step, task int) *cell.TaskRecord {
	if occurrence < 0 || occurrence >= len(r.Occurrences) {
		return nil
	}
	steps := r.Occurrences[occurrence]
	if step < 0 || step >= len(steps) || task < 0 || task >= len(steps[step].Tasks) {
		return nil
	}
	return &steps[step].Tasks[task]
}

func noTask(occurrence, step, task int) error {
	return fault.New("decode record", KindSupplement, "no task %d of step %d in occurrence %d", task, step, occurrence)
}

func decodeRanges(ranges []runRangeWire) []cell.RunRange {
	var out []cell.RunRange
	for _, r := range ranges {
		out = append(out, cell.RunRange{First: r.First, Last: r.Last})
	}
	return out
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
