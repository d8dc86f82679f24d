package ledger

import (
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/fault"
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
}

type crashWire struct {
	_msgpack    struct{} `msgpack:",as_array"`
	Run         int
	JustStarted bool
	Alone       bool
	Accepted    bool
}

type lostRunWire struct {
	_msgpack    struct{} `msgpack:",as_array"`
	Crash       crashWire
	Machine     string
	Incarnation int64
}

// startsWire is what a record holds of the starts of a task under which workers
// have crashed. The starts of all such tasks follow the supplement as a list, which
// releases that know only the supplement ignore.
type startsWire struct {
	_msgpack   struct{} `msgpack:",as_array"`
	Occurrence int
	Step       int
	Task       int
	// Accepted is set if the worker has accepted the current run.
	Accepted bool
	// Sent has the numbers of the crashed and lost runs whose start was sent.
	Sent []int
}

// appendSupplement appends the supplement of a record to its encoded value, if it
// has any content. A record in a final state has only the cause.
func appendSupplement(value []byte, r cell.Record) ([]byte, error) {
	w := supplementWire{Cause: string(r.Cause)}
	var starts []startsWire
	if !r.State.Final() {
		w.Tasks, starts = supplementTasks(r), encodeStarts(r)
	}
	if w.Cause == "" && len(w.Tasks) == 0 {
		return value, nil
	}
	supplement, err := msgpack.Marshal(&w)
	if err != nil {
		return nil, err
	}
	value = append(value, supplement...)
	if len(starts) == 0 {
		return value, nil
	}
	encoded, err := msgpack.Marshal(starts)
	if err != nil {
		return nil, err
	}
	return append(value, encoded...), nil
}

func encodeStarts(r cell.Record) []startsWire {
	var out []startsWire
	for k, steps := range r.Occurrences {
		for i, s := range steps {
			for n, t := range s.Tasks {
				if sent := sentRuns(t); t.Accepted || len(sent) > 0 {
					out = append(out, startsWire{Occurrence: k, Step: i, Task: n, Accepted: t.Accepted, Sent: sent})
				}
			}
		}
	}
	return out
}

func sentRuns(t cell.TaskRecord) []int {
	var out []int
	for _, c := range t.Crashes {
		if c.Sent {
			out = append(out, c.Run)
		}
	}
	for _, l := range t.Lost {
		if l.Crash.Sent {
			out = append(out, l.Crash.Run)
		}
	}
	return out
}

// decodeStarts decodes the starts that follow the supplement of a record and adds
// them to the record.
func decodeStarts(decoder *msgpack.Decoder, r *cell.Record) error {
	var starts []startsWire
	if err := decoder.Decode(&starts); err != nil {
		return fault.New("decode record", KindMalformed, "starts: %w", err)
	}
	for _, s := range starts {
		t, err := taskOf(r, s.Occurrence, s.Step, s.Task)
		if err != nil {
			return err
		}
		t.Accepted = s.Accepted
		for i := range t.Crashes {
			t.Crashes[i].Sent = slices.Contains(s.Sent, t.Crashes[i].Run)
		}
		for i := range t.Lost {
			t.Lost[i].Crash.Sent = slices.Contains(s.Sent, t.Lost[i].Crash.Run)
		}
	}
	return nil
}

func supplementTasks(r cell.Record) []taskSupplementWire {
	var out []taskSupplementWire
	for k, steps := range r.Occurrences {
		for i, s := range steps {
			for n, t := range s.Tasks {
				if t.Machine == "" && len(t.Crashes) == 0 && len(t.Lost) == 0 {
					continue
				}
				out = append(out, taskSupplementWire{
					Occurrence: k, Step: i, Task: n, Machine: t.Machine, Incarnation: int64(t.Incarnation),
					Crashes: encodeCrashes(t.Crashes), Lost: encodeLostRuns(t.Lost),
				})
			}
		}
	}
	return out
}

// decodeSupplement decodes the supplement of a record and adds it to the record.
func decodeSupplement(decoder *msgpack.Decoder, r *cell.Record) error {
	var w supplementWire
	if err := decoder.Decode(&w); err != nil {
		return fault.New("decode record", KindMalformed, "supplement: %w", err)
	}
	r.Cause = workload.Cause(w.Cause)
	for _, s := range w.Tasks {
		t, err := taskOf(r, s.Occurrence, s.Step, s.Task)
		if err != nil {
			return err
		}
		t.Machine, t.Incarnation = s.Machine, cell.Incarnation(s.Incarnation)
		t.Crashes, t.Lost = decodeCrashes(s.Crashes), decodeLostRuns(s.Lost)
	}
	return nil
}

// taskOf returns the task of a record that a part after its first value is about.
func taskOf(r *cell.Record, occurrence, step, task int) (*cell.TaskRecord, error) {
	if occurrence < 0 || occurrence >= len(r.Occurrences) {
		return nil, fault.New("decode record", KindMalformed, "supplement: occurrence %d", occurrence)
	}
	steps := r.Occurrences[occurrence]
	if step < 0 || step >= len(steps) || task < 0 || task >= len(steps[step].Tasks) {
		return nil, fault.New("decode record", KindMalformed, "supplement: step %d, task %d", step, task)
	}
	return &steps[step].Tasks[task], nil
}

func encodeCrashes(crashes []cell.Crash) []crashWire {
	var out []crashWire
	for _, c := range crashes {
		out = append(out, encodeCrash(c))
	}
	return out
}

func encodeCrash(c cell.Crash) crashWire {
	return crashWire{Run: c.Run, JustStarted: c.JustStarted, Alone: c.Alone, Accepted: c.Accepted}
}

func encodeLostRuns(lost []cell.LostRun) []lostRunWire {
	var out []lostRunWire
	for _, l := range lost {
		out = append(out, lostRunWire{Crash: encodeCrash(l.Crash), Machine: l.Machine, Incarnation: int64(l.Incarnation)})
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
	return cell.Crash{Run: c.Run, JustStarted: c.JustStarted, Alone: c.Alone, Accepted: c.Accepted}
}

func decodeLostRuns(lost []lostRunWire) []cell.LostRun {
	var out []cell.LostRun
	for _, l := range lost {
		out = append(out, cell.LostRun{Crash: decodeCrash(l.Crash), Machine: l.Machine, Incarnation: cell.Incarnation(l.Incarnation)})
	}
	return out
}
