package cell_test

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// A worker lists a limited number of ends at a time. One with more ends may have ended an
// early start of the predecessor that its first report does not list. The task must not be
// started before the worker has listed all ends: the success is acknowledged later.
func TestEarlyStartThatHasEndedBeyondTheListIsNotRepeated(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	c := cell.New(now, scriptConfig, nopObserver{}, zap.NewNop())
	c.SetManifest(&backlogManifest)
	c.RestoreEarlyStartWorkers([]cell.WorkerID{"w"})
	acceptFree(c, now, "a")
	for _, id := range []cell.WorkerID{"v", "w"} {
		c.Register(now, cell.Registration{ID: id, Incarnation: 1, Machine: string(id), Service: "s", Capacity: job.Size{MilliCores: 1000}})
	}
	end := func(number int64, id workload.JobID) cell.Ended {
		task := workload.TaskID{StepID: workload.StepID{Job: id}}
		return cell.Ended{Number: number, Task: task, Run: 1, Kind: cell.EndDone}
	}
	starts := 0
	act := func() {
		for range 3 {
			for _, a := range c.TakeActions(now) {
				if _, is := a.(cell.SendStart); is {
					starts++
				}
			}
			c.Committed(now, c.TakeRecords(10))
			now = now.Add(100 * time.Millisecond)
			c.Tick(now)
		}
	}
	c.Reported(now, "v", cell.Report{Incarnation: 1, Clock: time.Second})
	c.Reported(now, "w", cell.Report{Incarnation: 1, Clock: time.Second, Ended: []cell.Ended{end(1, "b")}, EndsTruncated: true})
	act()
	c.Reported(now, "w", cell.Report{Incarnation: 1, Clock: 2 * time.Second, Ended: []cell.Ended{end(2, "a")}})
	act()
	if state, _ := c.Status("a"); starts > 0 || state != workload.StateCompleted {
		t.Errorf("%d starts, and the job is %s; its only task had ended as done", starts, state)
	}
}
