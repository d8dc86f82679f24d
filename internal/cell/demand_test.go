package cell_test

import (
	"testing"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/admission"
	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

func demandOf(load admission.Load, priority int) admission.Demand {
	for _, d := range load.Priorities {
		if d.Priority == priority {
			return d
		}
	}
	return admission.Demand{}
}

func TestDemandIsWhatGoesBeforeANewJob(t *testing.T) {
	b := newBacklog(t, 4, 0, whyUnanswered)
	large := workload.Step{Tasks: 7, Size: job.Size{MilliCores: 5 * minCapacity}, Estimate: time.Second}
	b.accept("expired", "first", large)
	b.wait(time.Minute)
	b.runActions()
	fitting := workload.Step{Tasks: 30, Size: job.Size{MilliCores: minCapacity / 2}, Estimate: time.Second}
	b.accept("urgent", "first", fitting)
	lasting := fitting
	lasting.LongRunning = true
	b.accept("lasting", "settle", lasting)
	batch := fitting
	batch.Tasks = 100
	b.accept("batch", "settle", batch)
	load := b.cell.Load(b.now)
	for priority, want := range map[int]int{0: 60, 1: 60, 2: 160} {
		if d := demandOf(load, priority); d.Tasks != want || !d.Delayed {
			t.Errorf("%+v, want %d tasks that are delayed", d, want)
		}
	}
	if load.LongRunning.Tasks != 30 || !load.LongRunning.Delayed {
		t.Errorf("long-running: %+v", load.LongRunning)
	}
}

// A large job on idle workers, and a worker that does not answer, delay no others.
func TestDemandIsNotDelayedWhileWorkersAreFree(t *testing.T) {
	b := newBacklog(t, 100, 0, whyUnanswered)
	b.workers = b.workers[1:]
	b.wait(2 * time.Second)
	b.accept("large", "first", workload.Step{Tasks: 500, Size: job.Size{MilliCores: 1000}, Estimate: time.Second})
	if d := demandOf(b.cell.Load(b.now), 0); d.Delayed || d.Tasks < 500 {
		t.Errorf("before it is placed: %+v", d)
	}
	b.runActions()
	if d := demandOf(b.cell.Load(b.now), 0); d.Delayed || d.Tasks != 0 {
		t.Errorf("after it is placed: %+v", d)
	}
}

func TestStartsFailOnlyIfManyWorkersDoNotAnswer(t *testing.T) {
	for _, c := range []struct {
		failing int
		fail    bool
	}{{1, false}, {24, false}, {60, true}} {
		b := newBacklog(t, 100, 0, whyUnanswered)
		b.accept("large", "first", workload.Step{Tasks: 100, Size: job.Size{MilliCores: 8000}, Estimate: time.Second, MaxPerWorker: 1})
		b.cell.TakeActions(b.now)
		b.cell.Committed(b.now, b.cell.TakeRecords(1000))
		for i, a := range b.cell.TakeActions(b.now) {
			if s, is := a.(cell.SendStart); is {
				b.cell.Started(b.now, s.Worker, s.Task, s.Run, cell.StartOutcome{Unknown: i < c.failing, Clock: b.clock()})
			}
		}
		if got := b.cell.Load(b.now).StartsFail; got != c.fail {
			t.Errorf("%d of 100 workers do not answer a start: %v", c.failing, got)
		}
		b.wait(3 * time.Second)
		if b.cell.Load(b.now).StartsFail {
			t.Error("starts fail for long after the last one")
		}
	}
}
