package cell_test

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// Guards against a second run of a task whose occurrence a predecessor with a clock ahead of
// this owner's had started early: the success was acknowledged as that of an unknown task.
func TestEarlyStartsOfAnOccurrenceThatIsNotDueYetAreKnown(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	c := cell.New(now, scriptConfig, nopObserver{}, zap.NewNop())
	queue := manifest.Queue{Name: "plain", Service: "s", MaxAttempts: 2, SlackFactor: 2, TargetLatency: time.Second}
	c.SetManifest(&manifest.Manifest{Version: 1, Queues: []manifest.Queue{queue}})
	c.RestoreEarlyStartWorkers([]cell.WorkerID{"w1"})
	size := job.Size{MilliCores: 1000, MemoryMB: 100}
	c.Accept(now, cell.AcceptedJob{Queue: queue, Job: workload.Job{
		ID: "a", Queue: "plain", Steps: []workload.Step{{Tasks: 1, Size: size}},
		Schedule: workload.Schedule{First: now.Add(time.Second), Every: time.Minute, Times: 1},
	}})
	c.Register(now, cell.Registration{ID: "w1", Incarnation: 1, Machine: "m", Service: "s", Capacity: size})
	done := cell.Ended{Number: 1, Task: parseTaskID(t, "a.0.0.0"), Run: 1, Kind: cell.EndDone}
	c.NextHold(now, "w1")
	c.Reported(now, "w1", cell.Report{Incarnation: 1, Clock: time.Second, Ended: []cell.Ended{done}})
	c.Committed(now, c.TakeRecords(1))
	now = now.Add(2 * time.Second)
	c.NextHold(now, "w1")
	c.Reported(now, "w1", cell.Report{Incarnation: 1, Clock: 3 * time.Second})
	c.Tick(now)
	c.TakeActions(now)
	c.Committed(now, c.TakeRecords(1))
	for _, a := range c.TakeActions(now) {
		if start, is := a.(cell.SendStart); is {
			t.Errorf("task %s was started as run %d after its success", start.Task, start.Run)
		}
	}
	if state, _ := c.Status("a"); state != workload.StateCompleted {
		t.Errorf("the job is %s", state)
	}
}
