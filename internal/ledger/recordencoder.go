package ledger

import (
	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/wire"
)

// recordEncoder encodes progress records without reflection, since an owner encodes
// several for each start. The number of values in each array is that of the fields of
// the wire type by which it is decoded.
type recordEncoder struct{ *wire.Encoder }

// record encodes a recordWire.
func (e *recordEncoder) record(r *cell.Record) {
	e.Array(4)
	e.Text(string(r.Job))
	e.Unsigned(r.Revision)
	e.Text(string(r.State))
	e.Optional(len(r.Occurrences))
	for _, steps := range r.Occurrences {
		e.Optional(len(steps))
		for i := range steps {
			e.step(&steps[i])
		}
	}
}

// step encodes a stepRecordWire.
func (e *recordEncoder) step(s *cell.StepRecord) {
	e.Array(2)
	e.numbers(s.FailedRuns)
	e.Optional(len(s.Tasks))
	for i := range s.Tasks {
		e.task(&s.Tasks[i])
	}
}

// task encodes a taskRecordWire. A task that is done needs no checkpoint.
func (e *recordEncoder) task(t *cell.TaskRecord) {
	e.Array(6)
	e.Flag(t.Done)
	e.Number(int64(t.LastRun))
	e.numbers(t.FailedRuns)
	if t.Done {
		e.Text("")
	} else {
		e.Text(t.Checkpoint)
	}
	e.Text(string(t.Worker))
	e.Number(int64(t.Run))
}

func (e *recordEncoder) numbers(list []int) {
	e.Optional(len(list))
	for _, n := range list {
		e.Number(int64(n))
	}
}

// supplement encodes a supplementWire with the given number of tasks.
func (e *recordEncoder) supplement(r *cell.Record, tasks int) {
	e.Array(2)
	e.Text(string(r.Cause))
	e.Optional(tasks)
	if tasks == 0 {
		return
	}
	eachTask(r, needsSupplement, e.taskSupplement)
}

// notStarted encodes a list of the given number of notStartedWire.
func (e *recordEncoder) notStarted(r *cell.Record, tasks int) {
	e.Array(tasks)
	eachTask(r, hasNotStarted, func(occurrence, step, task int, t *cell.TaskRecord) {
		e.Array(4)
		e.Number(int64(occurrence))
		e.Number(int64(step))
		e.Number(int64(task))
		e.Array(len(t.NotStarted))
		for _, numbers := range t.NotStarted {
			e.Array(2)
			e.Number(int64(numbers.First))
			e.Number(int64(numbers.Last))
		}
	})
}

// taskSupplement encodes a taskSupplementWire.
func (e *recordEncoder) taskSupplement(occurrence, step, task int, t *cell.TaskRecord) {
	e.Array(8)
	e.Number(int64(occurrence))
	e.Number(int64(step))
	e.Number(int64(task))
	e.Text(t.Machine)
	e.Number(int64(t.Incarnation))
	e.Optional(len(t.Crashes))
	for i := range t.Crashes {
		e.crash(&t.Crashes[i])
	}
	e.Optional(len(t.Lost))
	for i := range t.Lost {
		e.Array(3)
		e.crash(&t.Lost[i].Crash)
		e.Text(t.Lost[i].Machine)
		e.Number(int64(t.Lost[i].Incarnation))
	}
	e.Flag(t.Accepted)
}

// crash encodes a crashWire.
func (e *recordEncoder) crash(c *cell.Crash) {
	e.Array(5)
	e.Number(int64(c.Run))
	e.Flag(c.JustStarted)
	e.Flag(c.Alone)
	e.Flag(c.Accepted)
	e.Flag(c.SentListed)
}
