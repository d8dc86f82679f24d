package ledger

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"

	"cicadabarrow.example/cicadabarrow/internal/cell"
)

// recordEncoder encodes progress records without reflection, since an owner encodes
// several for each start. The number of values in each array is that of the fields of
// the wire type by which it is decoded.
type recordEncoder struct {
	buffer bytes.Buffer
	enc    *msgpack.Encoder
	// err is the first error.
	err error
}

func newRecordEncoder() *recordEncoder {
	e := &recordEncoder{enc: msgpack.GetEncoder()}
	e.enc.Reset(&e.buffer)
	return e
}

// finish returns the encoded values. The encoder must not be used any more.
func (e *recordEncoder) finish() ([]byte, error) {
	msgpack.PutEncoder(e.enc)
	return e.buffer.Bytes(), e.err
}

func (e *recordEncoder) note(err error) {
	if e.err == nil {
		e.err = err
	}
}

func (e *recordEncoder) array(length int) { e.note(e.enc.EncodeArrayLen(length)) }
func (e *recordEncoder) text(s string)    { e.note(e.enc.EncodeString(s)) }
func (e *recordEncoder) number(n int64)   { e.note(e.enc.EncodeInt(n)) }
func (e *recordEncoder) flag(b bool)      { e.note(e.enc.EncodeBool(b)) }

// optional begins an array, or encodes nil for an empty one.
func (e *recordEncoder) optional(length int) {
	if length == 0 {
		e.note(e.enc.EncodeNil())
		return
	}
	e.array(length)
}

// record encodes a recordWire.
func (e *recordEncoder) record(r *cell.Record) {
	e.array(4)
	e.text(string(r.Job))
	e.note(e.enc.EncodeUint(r.Revision))
	e.text(string(r.State))
	occurrences := r.Occurrences
	if r.State.Final() {
		occurrences = nil
	}
	e.optional(len(occurrences))
	for _, steps := range occurrences {
		e.optional(len(steps))
		for i := range steps {
			e.step(&steps[i])
		}
	}
}

// step encodes a stepRecordWire.
func (e *recordEncoder) step(s *cell.StepRecord) {
	e.array(2)
	e.numbers(s.FailedRuns)
	e.optional(len(s.Tasks))
	for i := range s.Tasks {
		e.task(&s.Tasks[i])
	}
}

// task encodes a taskRecordWire. A task that is done needs no checkpoint.
func (e *recordEncoder) task(t *cell.TaskRecord) {
	e.array(6)
	e.flag(t.Done)
	e.number(int64(t.LastRun))
	e.numbers(t.FailedRuns)
	if t.Done {
		e.text("")
	} else {
		e.text(t.Checkpoint)
	}
	e.text(string(t.Worker))
	e.number(int64(t.Run))
}

func (e *recordEncoder) numbers(list []int) {
	e.optional(len(list))
	for _, n := range list {
		e.number(int64(n))
	}
}

// supplement encodes a supplementWire with the given number of tasks.
func (e *recordEncoder) supplement(r *cell.Record, tasks int) {
	e.array(2)
	e.text(string(r.Cause))
	e.optional(tasks)
	if tasks == 0 {
		return
	}
	eachTask(r, needsSupplement, e.taskSupplement)
}

// notStarted encodes a list of the given number of notStartedWire.
func (e *recordEncoder) notStarted(r *cell.Record, tasks int) {
	e.array(tasks)
	eachTask(r, hasNotStarted, func(occurrence, step, task int, t *cell.TaskRecord) {
		e.array(4)
		e.number(int64(occurrence))
		e.number(int64(step))
		e.number(int64(task))
		e.array(len(t.NotStarted))
		for _, numbers := range t.NotStarted {
			e.array(2)
			e.number(int64(numbers.First))
			e.number(int64(numbers.Last))
		}
	})
}

// taskSupplement encodes a taskSupplementWire.
func (e *recordEncoder) taskSupplement(occurrence, step, task int, t *cell.TaskRecord) {
	e.array(8)
	e.number(int64(occurrence))
	e.number(int64(step))
	e.number(int64(task))
	e.text(t.Machine)
	e.number(int64(t.Incarnation))
	e.optional(len(t.Crashes))
	for i := range t.Crashes {
		e.crash(&t.Crashes[i])
	}
	e.optional(len(t.Lost))
	for i := range t.Lost {
		e.array(3)
		e.crash(&t.Lost[i].Crash)
		e.text(t.Lost[i].Machine)
		e.number(int64(t.Lost[i].Incarnation))
	}
	e.flag(t.Accepted)
}

// crash encodes a crashWire.
func (e *recordEncoder) crash(c *cell.Crash) {
	e.array(5)
	e.number(int64(c.Run))
	e.flag(c.JustStarted)
	e.flag(c.Alone)
	e.flag(c.Accepted)
	e.flag(c.SentListed)
}
