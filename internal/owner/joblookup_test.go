package owner

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/ledger"
	"cicadabarrow.example/cicadabarrow/internal/rowstore"
	"cicadabarrow.example/cicadabarrow/internal/timer"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// lateJob is a platform where a job is accepted after a new owner has read the jobs.
type lateJob struct {
	*fakePlatform
	key rowstore.Key
	// unanswered is the number of reads of the job alone that get no answer.
	unanswered atomic.Int32
}

// Read leaves the job out of a read of all jobs.
func (l *lateJob) Read(ctx context.Context, r rowstore.Range) (rowstore.Snapshot, error) {
	if r.From != "" && l.unanswered.Add(-1) >= 0 {
		return rowstore.Snapshot{}, sleep(ctx, time.Hour)
	}
	s, err := l.fakePlatform.Read(ctx, r)
	if r.From == "" {
		s.Rows = slices.DeleteFunc(s.Rows, func(row rowstore.Row) bool { return row.Key == l.key })
	}
	return s, err
}

// A replaced owner that does not know it starts new jobs early on the workers that its row
// names. Its successor may hear of such a run from the worker before it hears of the job. It
// must not have the worker forget the end, and must not start the task beside the run.
func TestEarlyStartOfAnUnknownJobIsNotRepeated(t *testing.T) {
	const number = 1
	for _, c := range []struct {
		name       string
		running    bool
		unanswered int32
	}{
		{name: "the run has ended"},
		{name: "the run is at work", running: true},
		{name: "the store does not answer at first", unanswered: 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := firstPartitionJob()
				p := &lateJob{fakePlatform: newFakePlatform(2), key: ledger.JobKey(a.Job.ID)}
				p.unanswered.Store(c.unanswered)
				p.runTakes = 100 * time.Millisecond
				p.putJob(t, a)
				task := workload.TaskID{StepID: workload.StepID{Job: a.Job.ID}}
				worker := p.workers[workerID(0)]
				if c.running {
					worker.running[task] = fakeRun{number: number, until: time.Now().Add(3 * time.Second)}
				} else {
					worker.number = 1
					worker.ended = []cell.Ended{{Number: 1, Task: task, Run: number, Kind: cell.EndDone}}
				}
				p.inherited = []string{string(workerID(0))}
				o := p.startOwnerOn(fakeConfig(), portsOf(p, fakeRegistrations{}), timer.NewSystem())
				defer o.Close()
				time.Sleep(time.Second)
				o.JobAccepted(a) // or by the change feed
				time.Sleep(10 * time.Second)
				if p.takeStarted(a.Job.ID) {
					t.Error("the task is started again")
				}
				if job, err := o.Job(t.Context(), a.Job.ID); err != nil || job.State != workload.StateCompleted {
					t.Errorf("the job is %+v, %v", job, err)
				}
			})
		})
	}
}
