package cell_test

import (
	"math"
	"testing"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// A job with an objective that overflows would rank before or behind all others.
func TestObjectiveDoesNotOverflow(t *testing.T) {
	long := make([]workload.Step, workload.MaxSteps)
	for i := range long {
		long[i] = workload.Step{Tasks: 1, Estimate: workload.MaxDuration, After: []int{max(i-1, 0)}}
	}
	long[0].After = nil
	short := []workload.Step{{Tasks: 1, Estimate: time.Second}}
	for _, test := range []struct {
		steps  []workload.Step
		slack  float64
		target time.Duration
		least  time.Duration
	}{
		{long, 1, 0, 10 * time.Hour},
		{long, 1e300, math.MaxInt64, 10 * time.Hour},
		{short, math.Inf(1), 0, 10 * time.Hour},
		{short, 2, math.MaxInt64, 10 * time.Hour},
		{short, 2, time.Second, 3 * time.Second},
	} {
		got := cell.Objective(&workload.Job{Steps: test.steps}, &manifest.Queue{SlackFactor: test.slack, TargetLatency: test.target})
		if got < test.least || got > workload.MaxDuration {
			t.Errorf("%d steps, slack %v, target %v: %v", len(test.steps), test.slack, test.target, got)
		}
	}
}
