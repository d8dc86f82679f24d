package workload

import (
	"strconv"
	"strings"

	"cicadabarrow.example/cicadabarrow/internal/fault"
)

// Kind classifies the errors of this package.
type Kind string

const (
	// KindInvalid means that a value is malformed or out of bounds.
	KindInvalid Kind = "invalid"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// StepID identifies one occurrence of a step.
type StepID struct {
	Job        JobID
	Occurrence int
	Step       int
}

// String returns the text form JOB.OCCURRENCE.STEP, such as "5c0e7a21d94b36f8.0.1".
func (s StepID) String() string {
	var name [nameSize]byte
	return string(s.appendTo(name[:0]))
}

// nameSize is the size in bytes that most names of tasks fit in.
const nameSize = 64

func (s StepID) appendTo(name []byte) []byte {
	name = append(append(name, s.Job...), '.')
	name = append(strconv.AppendInt(name, int64(s.Occurrence), 10), '.')
	return strconv.AppendInt(name, int64(s.Step), 10)
}

// TaskID identifies one task of an occurrence of a step.
type TaskID struct {
	StepID
	Index int
}

// String returns the task's name: the text form JOB.OCCURRENCE.STEP.INDEX, such as
// "5c0e7a21d94b36f8.0.1.17".
func (t TaskID) String() string {
	var name [nameSize]byte
	return string(strconv.AppendInt(append(t.appendTo(name[:0]), '.'), int64(t.Index), 10))
}

// nameParts is the number of parts of a task's name.
const nameParts = 4

// ParseTaskID parses a task's name as TaskID.String returns it.
func ParseTaskID(name string) (TaskID, error) {
	parts := strings.Split(name, ".")
	if len(parts) != nameParts || parts[0] == "" {
		return TaskID{}, fault.New("parse task name", KindInvalid, "%q is not JOB.OCCURRENCE.STEP.INDEX", name)
	}
	var numbers [nameParts - 1]int
	for i, part := range parts[1:] {
		n, err := strconv.Atoi(part)
		if err != nil || n < 0 {
			return TaskID{}, fault.New("parse task name", KindInvalid, "%q is not a number in %q", part, name)
		}
		numbers[i] = n
	}
	step := StepID{Job: JobID(parts[0]), Occurrence: numbers[0], Step: numbers[1]}
	return TaskID{StepID: step, Index: numbers[2]}, nil
}
