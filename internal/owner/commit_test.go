package owner

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/ledger"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/rowstore"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// The progress record of a job with 10,000 tasks exceeds the size limit of a row. It
// must not keep the owner from committing the records of other jobs.
func TestARecordBeyondARowDoesNotStopOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePlatform(20)
		p.startTakes, p.runTakes = time.Millisecond, time.Second
		o := p.startOwner()
		defer o.Close()
		accept(o, 1, 10000)
		time.Sleep(5 * time.Second)
		const small = 1
		acceptFrom(o, small, 1, 1)
		time.Sleep(10 * time.Second)
		p.mu.Lock()
		defer p.mu.Unlock()
		if !p.started[workload.TaskID{StepID: workload.StepID{Job: jobID(small)}}] {
			t.Error("after ten seconds a small job has not started because of the record of a large one")
		}
	})
}

// A new owner must find in a record of several rows which tasks may be running.
func TestASplitRecordIsRestored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const tasks = 8000
		p := newFakePlatform(20)
		p.startTakes, p.runTakes = time.Millisecond, time.Minute
		o := p.startOwner()
		accept(o, 1, tasks)
		time.Sleep(5 * time.Second)
		o.Close()
		p.mu.Lock()
		started := len(p.started)
		var rows []rowstore.Row
		for key, row := range p.rows {
			if key.Table == ledger.TableProgress {
				rows = append(rows, row)
			}
		}
		p.mu.Unlock()
		records, malformed := ledger.GroupRecords(rows)
		value, err := records[jobID(0)].Join()
		if err != nil || len(malformed) > 0 || len(rows) < 2 {
			t.Fatalf("%d rows, %d malformed, %v", len(rows), len(malformed), err)
		}
		record, err := ledger.DecodeRecord(value)
		if err != nil {
			t.Fatal(err)
		}
		placed := 0
		for _, task := range record.Occurrences[0][0].Tasks {
			if task.Worker != "" {
				placed++
			}
		}
		if placed < started || started < tasks/2 {
			t.Errorf("the record names %d runs, %d were started", placed, started)
		}
	})
}

// A commit that leaves out the record of an early start must name its worker, since a
// successor would not wait for it otherwise.
func TestRowNamesWorkersOfRecordsLeftOut(t *testing.T) {
	const jobs, tasks = 20, 8000
	now := time.Unix(1_700_000_000, 0)
	o := &Owner{recordParts: make(map[workload.JobID]int)}
	o.cell = cell.New(now, cell.Config{ContactTimeout: time.Second}, newOwnerMetrics(tally.NoopScope), zap.NewNop())
	queue := manifest.Queue{Name: queueUrgent, Service: "s", MaxAttempts: 1, SlackFactor: 2, TargetLatency: time.Second}
	o.cell.SetManifest(&manifest.Manifest{Version: 1, Queues: []manifest.Queue{queue}})
	o.cell.Register(now, cell.Registration{ID: "w", Incarnation: 1, Machine: "m", Service: "s", Capacity: job.Size{MilliCores: 100_000, MemoryMB: 1000}})
	o.cell.Reported(now, "w", cell.Report{Incarnation: 1, Clock: time.Second})
	o.cell.SetEarlyStarts(true)
	o.cell.EarlyStartWorkersCommitted([]cell.WorkerID{"w"})
	for i := range jobs {
		step := workload.Step{Tasks: tasks, Size: job.Size{MilliCores: 1000}, Estimate: time.Second, MaxPerWorker: 1}
		o.cell.Accept(now, cell.AcceptedJob{
			Job: workload.Job{ID: jobID(i), Queue: queueUrgent, Steps: []workload.Step{step}}, Queue: queue,
		})
	}
	started := make(map[workload.JobID]bool)
	for _, a := range o.cell.TakeActions(now) {
		if s, ok := a.(cell.SendStart); ok {
			started[s.Task.Job] = true
		}
	}
	o.cell.SetEarlyStarts(false)
	b, _, err := o.nextBatch(now)
	if err != nil || len(started) < jobs || len(b.records) == jobs {
		t.Fatalf("%d early starts and %d records in the commit of %d jobs, %v", len(started), len(b.records), jobs, err)
	}
	if !slices.Equal(b.earlyStartWorkers, []cell.WorkerID{"w"}) {
		t.Errorf("the row names %v; want w, which runs tasks whose records are left out", b.earlyStartWorkers)
	}
}
