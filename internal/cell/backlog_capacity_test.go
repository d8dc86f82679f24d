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

func TestBacklogCountsFreeCoresBesideAShrunkenWorker(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	c := cell.New(now, scriptConfig, nopObserver{}, zap.NewNop())
	register := func(id cell.WorkerID, cores int64) {
		c.Register(now, cell.Registration{ID: id, Incarnation: 1, Service: "s", Capacity: job.Size{MilliCores: cores, MemoryMB: 1000}})
		c.NextHold(now, id)
		c.Reported(now, id, cell.Report{Incarnation: 1, Clock: time.Second})
	}
	register("w1", 8000)
	step := workload.Step{Tasks: 1, Size: job.Size{MilliCores: 8000, MemoryMB: 100}}
	c.Accept(now, cell.AcceptedJob{
		Job: workload.Job{ID: "a", Queue: "q", Steps: []workload.Step{step}}, Queue: manifest.Queue{Name: "q", Service: "s"},
	})
	c.TakeActions(now)
	register("w1", 2000)
	register("w2", 4000)
	if free := c.Backlog(now).FreeMilliCores; free != 4000 {
		t.Errorf("%d thousandths of a core are free, want 4000", free)
	}
}
