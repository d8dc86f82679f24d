package cell_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// recordsOf takes the next records and returns them with their job IDs.
func recordsOf(c *cell.Cell, limit int) ([]cell.Record, []workload.JobID) {
	records := c.TakeRecords(limit)
	ids := make([]workload.JobID, len(records))
	for i := range records {
		ids[i] = records[i].Job
	}
	return records, ids
}

// earlyStartCell returns a cell with one worker, which the owner's durable row
// names.
func earlyStartCell() (*cell.Cell, time.Time) {
	now := time.Unix(1_700_000_000, 0)
	c := cell.New(now, scriptConfig, nopObserver{}, zap.NewNop())
	c.SetManifest(&backlogManifest)
	c.Register(now, cell.Registration{ID: "w", Incarnation: 1, Machine: "m", Service: "s", Capacity: job.Size{MilliCores: 1000}})
	c.Reported(now, "w", cell.Report{Incarnation: 1})
	c.SetEarlyStarts(true)
	c.EarlyStartWorkersCommitted(c.EarlyStartWorkers(now))
	return c, now
}

func acceptFree(c *cell.Cell, now time.Time, id string) {
	step := workload.Step{Tasks: 1, Size: job.Size{MilliCores: 1000}, Estimate: time.Second}
	c.Accept(now, cell.AcceptedJob{Job: workload.Job{ID: workload.JobID(id), Queue: "free", Steps: []workload.Step{step}}})
}

// The commit of an early start's record fails, and the next commit has no space
// for the record. The row must still name the worker.
func TestRowNamesWorkersOfUndurableEarlyStarts(t *testing.T) {
	c, now := earlyStartCell()
	acceptFree(c, now, "a")
	if actions := c.TakeActions(now); len(actions) != 1 {
		t.Fatalf("got actions %v, want one early start", actions)
	}
	c.SetEarlyStarts(false)
	records, _ := recordsOf(c, 90)
	if named := c.EarlyStartWorkers(now); len(named) > 0 {
		t.Fatalf("the row names %v although the record is committed with it", named)
	}
	c.NotCommitted(records)
	if _, ids := recordsOf(c, 0); len(ids) > 0 {
		t.Fatalf("got records of %v, want none", ids)
	}
	if named := c.EarlyStartWorkers(now); !slices.Equal(named, []cell.WorkerID{"w"}) {
		t.Errorf("the row names %v, want the worker, whose record is not committed", named)
	}
}

func TestRecordsOfUrgentStartsGoFirst(t *testing.T) {
	b := newBacklog(t, 100, 0, whyUnanswered)
	for i := range 200 {
		b.accept(workload.JobID(fmt.Sprint("free", i)), "free", workload.Step{Tasks: 1, Size: job.Size{MilliCores: 100}, Estimate: time.Second})
	}
	for range 10 {
		b.cell.TakeActions(b.now)
	}
	b.accept("urgent", "hold", workload.Step{Tasks: 1, Size: job.Size{MilliCores: 100}, Estimate: time.Second})
	for _, q := range b.apply(b.cell.TakeActions(b.now)) {
		b.cell.Advised(b.now, cell.Advice{Step: q.Step, Asked: q.Workers, Allowed: []cell.Ticket{{Worker: q.Workers[0], Value: "t"}}})
	}
	b.cell.TakeActions(b.now)
	if _, ids := recordsOf(b.cell, 90); !slices.Contains(ids, "urgent") {
		t.Error("the record of an urgent start is not among the first 90 of 201")
	}
}

func TestRecordsWhoseCommitFailedGoFirst(t *testing.T) {
	c, now := earlyStartCell()
	acceptFree(c, now, "a")
	c.TakeActions(now)
	failed, _ := recordsOf(c, 90)
	for i := range 100 {
		id := workload.JobID(fmt.Sprint("b", i))
		acceptFree(c, now, string(id))
		c.Cancel(now, id)
	}
	c.NotCommitted(failed)
	if _, ids := recordsOf(c, 90); !slices.Contains(ids, "a") {
		t.Error("the record that failed is not among the first 90 of 101")
	}
}

// A record that did not fit into a commit must leave its early runs' workers in the
// owner's row, since a successor would not wait for them otherwise.
func TestWorkersOfARecordLeftOutAreNamed(t *testing.T) {
	s := newScript(t)
	s.cell.Register(s.now, cell.Registration{ID: "w1", Incarnation: 1, Machine: "m", Service: "s", Capacity: job.Size{MilliCores: 8000, MemoryMB: 8000}})
	s.cell.Reported(s.now, "w1", cell.Report{Incarnation: 1, Clock: time.Second})
	s.cell.SetEarlyStarts(true)
	s.cell.EarlyStartWorkersCommitted([]cell.WorkerID{"w1"})
	s.accept(t, "a", "plain", "tasks=1")
	if !strings.Contains(s.actions(), "start a.0.0.0") {
		t.Fatal("the run was not started early")
	}
	s.cell.SetEarlyStarts(false)
	s.cell.NotCommitted(s.cell.TakeRecords(10))
	if named := s.cell.EarlyStartWorkers(s.now); len(named) != 1 {
		t.Errorf("the row names %v", named)
	}
}

// While commits are full, the end of an urgent job, which its client waits for, must not
// wait behind the records of early starts, which wait for nothing.
func TestRecordsOfEndedUrgentJobsGoFirst(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	c := cell.New(now, scriptConfig, nopObserver{}, zap.NewNop())
	c.SetManifest(&backlogManifest)
	c.Register(now, cell.Registration{ID: "w", Incarnation: 1, Machine: "m", Service: "s", Capacity: job.Size{MilliCores: 1000}})
	c.Reported(now, "w", cell.Report{Incarnation: 1})
	c.SetEarlyStarts(true)
	c.EarlyStartWorkersCommitted(c.EarlyStartWorkers(now))
	accept := func(id string) {
		c.Accept(now, cell.AcceptedJob{
			Job:   workload.Job{ID: workload.JobID(id), Queue: "urgent", Steps: []workload.Step{{Tasks: 1, Size: job.Size{MilliCores: 10}}}},
			Queue: manifest.Queue{Name: "urgent", Service: "s"},
		})
	}
	for i := range 30 {
		accept(fmt.Sprint("early", i))
	}
	for range 10 {
		c.TakeActions(now)
	}
	accept("last")
	c.Cancel(now, "last")
	if _, ids := recordsOf(c, 10); !slices.Contains(ids, "last") {
		t.Errorf("the record of an ended urgent job is not among the first 10: %v", ids)
	}
}
