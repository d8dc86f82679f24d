package cell_test

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// BenchmarkPreemptionWithoutVictims makes a decision each 100 ms while 20 urgent jobs wait in
// a full cell of 350 workers and 7,000 runs, none of which is worth preempting.
func BenchmarkPreemptionWithoutVictims(b *testing.B) {
	const runs, clock = 20, time.Second
	s := newScript(nil)
	s.manifest.Queues[1].TargetLatency = time.Hour
	s.config.Lease, s.config.MaxLease, s.config.ContactTimeout = time.Hour, time.Hour, time.Hour
	c := cell.New(s.now, s.config, nopObserver{}, zap.NewNop())
	c.SetManifest(s.manifest)
	c.PredecessorEnded()
	for i := range benchWorkers {
		id := cell.WorkerID(fmt.Sprintf("w%03d", i))
		c.Register(s.now, cell.Registration{ID: id, Incarnation: 1, Service: "s", Capacity: job.Size{MilliCores: runs * 1000, MemoryMB: 64_000}})
		c.Reported(s.now, id, cell.Report{Incarnation: 1, Clock: clock})
	}
	accept := func(id workload.JobID, queue int, step workload.Step) {
		step.Size = job.Size{MilliCores: 1000, MemoryMB: 1}
		q := s.manifest.Queues[queue]
		c.Accept(s.now, cell.AcceptedJob{Queue: q, Job: workload.Job{ID: id, Queue: q.Name, Steps: []workload.Step{step}}})
	}
	accept("batch", 0, workload.Step{Tasks: benchWorkers * runs, Checkpoints: true, Estimate: 100 * time.Millisecond})
	started := 0
	for started < benchWorkers*runs {
		for _, a := range c.TakeActions(s.now) {
			if start, ok := a.(cell.SendStart); ok {
				c.Started(s.now, start.Worker, start.Task, start.Run, cell.StartOutcome{Clock: clock})
				started++
			}
		}
		c.Committed(s.now, c.TakeRecords(1000))
	}
	for i := range 20 {
		accept(workload.JobID(fmt.Sprint("urgent", i)), 1, workload.Step{Tasks: 1})
	}
	for b.Loop() {
		s.now = s.now.Add(100 * time.Millisecond)
		c.Tick(s.now)
		for _, a := range c.TakeActions(s.now) {
			if stop, ok := a.(cell.SendStop); ok {
				b.Fatalf("run %v is stopped", stop)
			}
		}
	}
}
