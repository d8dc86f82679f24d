package workload_test

import (
	"math"
	"testing"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// Numbers with which the times or the room of other jobs would overflow must be refused.
func TestNumbersOfAJobOutOfRangeAreInvalid(t *testing.T) {
	first := time.UnixMilli(1_700_000_000_123)
	for name, change := range map[string]func(j *workload.Job, s *workload.Step){
		"no tasks":            func(_ *workload.Job, s *workload.Step) { s.Tasks = 0 },
		"2^63-1 tasks":        func(_ *workload.Job, s *workload.Step) { s.Tasks = math.MaxInt },
		"2^63-1 cores":        func(_ *workload.Job, s *workload.Step) { s.Size.MilliCores = math.MaxInt64 },
		"negative memory":     func(_ *workload.Job, s *workload.Step) { s.Size.MemoryMB = -1 },
		"an estimate of 2^63": func(_ *workload.Job, s *workload.Step) { s.Estimate = math.MaxInt64 },
		"-1 per worker":       func(_ *workload.Job, s *workload.Step) { s.MaxPerWorker = -1 },
		"-1 unavailable":      func(_ *workload.Job, s *workload.Step) { s.MaxUnavailable, s.HasMaxUnavailable = -1, true },
		"a later step":        func(_ *workload.Job, s *workload.Step) { s.After = []int{1} },
		"a negative step":     func(_ *workload.Job, s *workload.Step) { s.After = []int{math.MinInt} },
		"2^63-1 occurrences": func(j *workload.Job, _ *workload.Step) {
			j.Schedule = workload.Schedule{First: first, Times: math.MaxInt}
		},
		"occurrences too late": func(j *workload.Job, _ *workload.Step) {
			j.Schedule = workload.Schedule{First: first, Times: 20, Every: workload.MaxDuration / 10}
		},
		"an overflow of days": func(j *workload.Job, _ *workload.Step) {
			j.Schedule = workload.Schedule{First: first, Times: 2, Every: math.MaxInt64}
		},
		"a start of 2^63 ms": func(j *workload.Job, _ *workload.Step) {
			j.Schedule = workload.Schedule{First: time.UnixMilli(math.MaxInt64), Times: 1}
		},
		"a negative start": func(j *workload.Job, _ *workload.Step) {
			j.Schedule = workload.Schedule{First: time.UnixMilli(math.MinInt64), Times: 1}
		},
	} {
		j := workload.Job{ID: "5c0e7a21d94b36f8", Steps: []workload.Step{{Tasks: 1, Size: job.Size{MilliCores: 1}, Estimate: time.Second}}}
		j.Schedule = workload.Schedule{First: first, Every: time.Hour, Times: 100}
		if err := j.Check(); err != nil {
			t.Fatal(err)
		}
		change(&j, &j.Steps[0])
		if err := j.Check(); !fault.Is(err, workload.KindInvalid) {
			t.Errorf("%s: %v", name, err)
		}
	}
}
