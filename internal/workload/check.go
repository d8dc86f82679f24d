package workload

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/fault"
)

const (
	// MaxSpecBytes is the largest size of Job.Spec in bytes.
	MaxSpecBytes = 4000
	// MaxSteps is the largest number of steps of a job.
	MaxSteps = 1000
	// MaxTasks is the largest number of tasks of a step.
	MaxTasks = 10000
	// MaxJobTasks is the largest number of tasks of a job, over all of its steps
	// and occurrences. The progress of so many fits into one transaction, compressed if
	// need be.
	MaxJobTasks = 20000

	// maxSize limits each resource of a task. Sums over all tasks do not overflow.
	maxSize = 1 << 40

	// MaxDuration limits the durations of a job, and the time from its first to its last
	// occurrence, so that the sum of two does not overflow.
	MaxDuration = 100 * 365 * 24 * time.Hour
	// maxYear is the last year in which a job may be due.
	maxYear = 9999

	jobIDDigits = 16
)

// Check validates a submitted job and returns the first error found.
func (j *Job) Check() error {
	const op = "check job"
	switch {
	case !j.ID.Valid():
		return fault.New(op, KindInvalid, "ID %q: %d hexadecimal digits are needed", j.ID, jobIDDigits)
	case len(j.Spec) > MaxSpecBytes:
		return fault.New(op, KindInvalid, "Spec has %d bytes; at most %d are allowed", len(j.Spec), MaxSpecBytes)
	case len(j.Steps) == 0 || len(j.Steps) > MaxSteps:
		return fault.New(op, KindInvalid, "%d steps; 1 to %d are allowed", len(j.Steps), MaxSteps)
	}
	if err := j.Schedule.check(); err != nil {
		return err
	}
	tasks := 0
	for i := range j.Steps {
		if err := j.Steps[i].check(i); err != nil {
			return err
		}
		tasks += j.Steps[i].Tasks
	}
	if tasks > MaxJobTasks/j.Occurrences() {
		return fault.New(op, KindInvalid, "%d tasks in %d occurrences; at most %d tasks are allowed", tasks, j.Occurrences(), MaxJobTasks)
	}
	return nil
}

func (s *Schedule) check() error {
	const op = "check job"
	switch {
	case s.Times < 0 || s.Every < 0:
		return fault.New(op, KindInvalid, "Schedule %+v: Times and Every must not be negative", *s)
	case s.Every > MaxDuration/time.Duration(max(s.Times, 1)):
		return fault.New(op, KindInvalid, "Schedule: %d occurrences every %v; at most %v in all are allowed", s.Times, s.Every, MaxDuration)
	case !s.First.IsZero() && (s.First.Unix() < 0 || s.First.UTC().Year() > maxYear):
		return fault.New(op, KindInvalid, "Schedule: the first occurrence is due at Unix time %d", s.First.Unix())
	}
	return nil
}

// Valid reports whether the ID consists of 16 hexadecimal digits.
func (id JobID) Valid() bool {
	if len(id) != jobIDDigits {
		return false
	}
	for _, c := range []byte(id) {
		digit := c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F'
		if !digit {
			return false
		}
	}
	return true
}

func (s *Step) check(index int) error {
	const op = "check job"
	if s.Tasks < 1 || s.Tasks > MaxTasks {
		return fault.New(op, KindInvalid, "step %d: %d tasks; 1 to %d are allowed", index, s.Tasks, MaxTasks)
	}
	if s.Size.MilliCores < 0 || s.Size.MemoryMB < 0 || s.Size.Accelerators < 0 || s.Estimate < 0 {
		return fault.New(op, KindInvalid, "step %d: negative size or estimate", index)
	}
	if s.Size.MilliCores > maxSize || s.Size.MemoryMB > maxSize || s.Size.Accelerators > maxSize {
		return fault.New(op, KindInvalid, "step %d: size %+v; at most %d of each are allowed", index, s.Size, maxSize)
	}
	if s.Estimate > MaxDuration {
		return fault.New(op, KindInvalid, "step %d: estimate %v; at most %v are allowed", index, s.Estimate, MaxDuration)
	}
	if s.MaxPerWorker < 0 || s.MaxUnavailable < 0 {
		return fault.New(op, KindInvalid, "step %d: MaxPerWorker %d, MaxUnavailable %d; they must not be negative", index, s.MaxPerWorker, s.MaxUnavailable)
	}
	for _, after := range s.After {
		if after < 0 || after >= index {
			return fault.New(op, KindInvalid, "step %d depends on step %d; only earlier steps are allowed", index, after)
		}
	}
	return nil
}
