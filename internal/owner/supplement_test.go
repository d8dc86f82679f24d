package owner

import (
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/ledger"
	"cicadabarrow.example/cicadabarrow/internal/rowstore"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// TestDoneTasksDoNotStartAgainIfASupplementCannotBeDecoded guards against jobs that
// start anew after a later release has written their record.
func TestDoneTasksDoNotStartAgainIfASupplementCannotBeDecoded(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	c := cell.New(now, fakeConfig().Cell, newOwnerMetrics(tally.NoopScope), zap.NewNop())
	id := jobID(1)
	c.Accept(now, cell.AcceptedJob{Job: workload.Job{ID: id, Steps: []workload.Step{{Tasks: 1}, {Tasks: 1}}}})
	r := cell.Record{Job: id, Revision: 1, State: workload.StateRunning}
	r.Occurrences = [][]cell.StepRecord{{{Tasks: []cell.TaskRecord{{Done: true, LastRun: 1}}}, {Tasks: []cell.TaskRecord{{}}}}}
	value, err := ledger.EncodeRecord(r)
	if err != nil {
		t.Fatal(err)
	}
	values, err := ledger.SplitRecord(append(value, "unknown"...))
	if err != nil {
		t.Fatal(err)
	}
	l := rowLoader{cell: c, log: zap.NewNop()}
	l.loadProgress(now, []rowstore.Row{{Key: ledger.ProgressPartKey(id, 0), Value: values[0]}})
	if got := c.Backlog(now).Tasks; got != 1 {
		t.Errorf("%d tasks wait, want the one that is not done", got)
	}
}
