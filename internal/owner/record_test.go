package owner

import (
	"math"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/ledger"
	"cicadabarrow.example/cicadabarrow/internal/rowstore"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// A record that does not fit its job must not end an owner, since the next owner would
// read it too. What fits is restored, so that no task runs again.
func TestRecordThatDoesNotFitItsJobDoesNotEndTheOwner(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	done := cell.StepRecord{Tasks: []cell.TaskRecord{{Done: true, LastRun: 1}}}
	open := cell.StepRecord{Tasks: []cell.TaskRecord{{}}}
	for name, test := range map[string]struct {
		occurrences [][]cell.StepRecord
		waiting     int
	}{
		"a further step":       {[][]cell.StepRecord{{done, open, open}}, 1},
		"a further occurrence": {[][]cell.StepRecord{{done, open}, {open, open}}, 1},
		"no steps":             {[][]cell.StepRecord{{}}, 1},
		"a further task":       {[][]cell.StepRecord{{{Tasks: append(done.Tasks, open.Tasks...)}, open}}, 1},
	} {
		c := cell.New(now, fakeConfig().Cell, newOwnerMetrics(tally.NoopScope), zap.NewNop())
		id, other := jobID(1), jobID(2)
		c.Accept(now, cell.AcceptedJob{Job: workload.Job{ID: id, Steps: []workload.Step{{Tasks: 1}, {Tasks: 1, After: []int{0}}}}})
		c.Accept(now, cell.AcceptedJob{Job: workload.Job{ID: other, Steps: []workload.Step{{Tasks: 1}}}})
		var rows []rowstore.Row
		for _, r := range []cell.Record{
			{Job: id, State: workload.StateRunning, Occurrences: test.occurrences},
			{Job: other, State: workload.StateRunning, Occurrences: [][]cell.StepRecord{{done}}},
		} {
			value, err := ledger.EncodeRecord(r)
			if err != nil {
				t.Fatal(err)
			}
			rows = append(rows, rowstore.Row{Key: ledger.ProgressPartKey(r.Job, 0), Value: value})
		}
		l := rowLoader{cell: c, log: zap.NewNop()}
		l.loadProgress(now, rows)
		if got := c.Backlog(now).Tasks; got != test.waiting {
			t.Errorf("%s: %d tasks wait, want %d", name, got, test.waiting)
		}
	}
}

// The number of the next run must not overflow.
func TestRecordWithARunNumberOutOfRangeIsRejected(t *testing.T) {
	for _, run := range []int{-1, math.MaxInt64} {
		for name, task := range map[string]cell.TaskRecord{
			"last run": {LastRun: run}, "failed run": {FailedRuns: []int{run}}, "run": {Worker: "w", Run: run},
		} {
			r := cell.Record{Job: jobID(1), State: workload.StateRunning, Occurrences: [][]cell.StepRecord{{{Tasks: []cell.TaskRecord{task}}}}}
			value, err := ledger.EncodeRecord(r)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := ledger.DecodeRecord(value); err == nil {
				t.Errorf("a %s of %d is accepted", name, run)
			}
		}
	}
}
