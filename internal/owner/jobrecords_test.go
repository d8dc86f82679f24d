package owner

import (
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/ledger"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// A job may be accepted again after its rows were deleted and before its old progress record
// is. The new record must be written in a later transaction than that of the deletion: one
// that is deleted with or after it counts as durable, so that a successor would run again
// what has run.
func TestNewRecordIsNotDeletedWithTheOldOne(t *testing.T) {
	for name, others := range map[string]int{"in the next commit": 0, "in a later commit": maxDeletesPerCommit} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1_700_000_000, 0)
			o := &Owner{recordParts: make(map[workload.JobID]int)}
			o.cell = cell.New(now, cell.Config{}, newOwnerMetrics(tally.NoopScope), zap.NewNop())
			for i := range others {
				o.pendingDeletes = append(o.pendingDeletes, jobID(i))
			}
			again, other := jobID(others), jobID(others+1)
			o.pendingDeletes = append(o.pendingDeletes, again)
			for _, id := range []workload.JobID{again, other} {
				step := workload.Step{Tasks: 1, Size: job.Size{MilliCores: 100}}
				o.cell.Accept(now, cell.AcceptedJob{Job: workload.Job{ID: id, Queue: queueUrgent, Steps: []workload.Step{step}}})
				o.cell.Cancel(now, id) // makes a record
			}
			written := make(map[workload.JobID]bool)
			for n := 1; len(o.pendingDeletes) > 0 || o.cell.HasRecords(); n++ {
				b, writes, err := o.nextBatch(now)
				if err != nil || n > 5 {
					t.Fatalf("commit %d: %v", n, err)
				}
				for _, w := range writes {
					for _, id := range o.pendingDeletes {
						if w.Key == ledger.ProgressKey(id) {
							t.Errorf("commit %d writes the record of %s, which is to be deleted", n, id)
						}
					}
				}
				for _, r := range b.records {
					written[r.Job] = true
				}
				o.pendingDeletes = o.pendingDeletes[len(b.deletes):]
				o.cell.Committed(now, b.records)
			}
			if !written[again] || !written[other] {
				t.Errorf("records of %v were written; want those of %s and %s", written, again, other)
			}
		})
	}
}
