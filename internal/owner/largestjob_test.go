package owner

import (
	"encoding/base64"
	"fmt"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/ledger"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// Guards against a job that is accepted and never started: with 20,000 tasks planned at
// once its record made a call of 1.2 MB, which the store refused each time.
func TestTheRecordOfTheLargestJobFitsIntoACall(t *testing.T) {
	const (
		workers = 350
		// otherBytes is left for the owner's row, the waves and the framing of a call.
		otherBytes = 40_000
	)
	now := time.Unix(1_700_000_000, 0)
	o := &Owner{recordParts: make(map[workload.JobID]int), log: zap.NewNop()}
	o.cell = cell.New(now, cell.Config{ContactTimeout: time.Second, Lease: 3 * time.Second}, newOwnerMetrics(tally.NoopScope), zap.NewNop())
	queue := manifest.Queue{Name: queueUrgent, Service: "s", MaxAttempts: 1, SlackFactor: 2, TargetLatency: time.Second}
	o.cell.SetManifest(&manifest.Manifest{Version: 1, Queues: []manifest.Queue{queue}})
	for i := range workers {
		id := cell.WorkerID(fmt.Sprintf("i-%010d", i))
		born := cell.Incarnation(now.UnixMilli() + int64(i))
		o.cell.Register(now, cell.Registration{
			ID: id, Incarnation: born, Machine: fmt.Sprintf("m-%05d", i), Service: "s", Capacity: job.Size{MilliCores: 64_000, MemoryMB: 64_000},
		})
		o.cell.Reported(now, id, cell.Report{Incarnation: born, Clock: time.Second})
	}
	step := workload.Step{Tasks: workload.MaxTasks, Size: job.Size{MilliCores: 1000, MemoryMB: 100}, Estimate: time.Minute}
	j := workload.Job{ID: jobID(0), Queue: queueUrgent, Steps: []workload.Step{step, step}}
	if err := j.Check(); err != nil {
		t.Fatal(err)
	}
	o.cell.Accept(now, cell.AcceptedJob{Job: j, Queue: queue})
	o.cell.TakeActions(now)
	b, writes, err := o.nextBatch(now)
	if err != nil || len(b.records) != 1 {
		t.Fatalf("%d records, %v", len(b.records), err)
	}
	call, parts := otherBytes, ledger.RecordParts{Values: make(map[int][]byte)}
	for part, w := range writes {
		call += len(w.Table) + len(w.Partition) + len(w.Name) + base64.StdEncoding.EncodedLen(len(w.Value))
		parts.Values[part] = w.Value
	}
	if call > maxCallBytes {
		t.Errorf("the call has %d bytes; the store accepts %d", call, maxCallBytes)
	}
	value, err := parts.Join()
	if err != nil {
		t.Fatal(err)
	}
	r, err := ledger.DecodeRecord(value)
	if err != nil {
		t.Fatal(err)
	}
	planned := 0
	for _, s := range r.Occurrences[0] {
		for i := range s.Tasks {
			if s.Tasks[i].Worker != "" && s.Tasks[i].Machine != "" {
				planned++
			}
		}
	}
	if planned != workload.MaxJobTasks {
		t.Errorf("the record names %d runs; all %d tasks fit on the workers", planned, workload.MaxJobTasks)
	}
	o.cell.Committed(now, b.records)
	starts := 0
	for _, a := range o.cell.TakeActions(now) {
		if _, ok := a.(cell.SendStart); ok {
			starts++
		}
	}
	if starts == 0 {
		t.Error("no task starts")
	}
}
