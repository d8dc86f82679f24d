package cell_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/admission"
	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// demandOf returns the demand before new jobs of a priority, for a service.
func demandOf(load admission.Load, service string, priority int) admission.Demand {
	s := serviceOf(load, service)
	at := slices.IndexFunc(s.Priorities, func(d admission.Demand) bool { return d.Priority == priority })
	if at < 0 {
		return admission.Demand{}
	}
	return s.Priorities[at]
}

func serviceOf(load admission.Load, service string) admission.ServiceLoad {
	at := slices.IndexFunc(load.Services, func(s admission.ServiceLoad) bool { return s.Service == service })
	if at < 0 {
		return admission.ServiceLoad{}
	}
	return load.Services[at]
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
	const size, free = minCapacity / 2, 9*minCapacity - 4*smallRuns*100
	for priority, tasks := range map[int]int64{0: 60, 1: 60, 2: 160} {
		if d := demandOf(load, "s", priority); d.MissingMilliCores != tasks*size-free || int64(d.Starts) != free/size {
			t.Errorf("%+v, want what %d tasks need besides the free capacity", d, tasks)
		}
	}
	got := serviceOf(load, "s")
	if got.LongRunning.MissingMilliCores != 30*size-free || got.LongRunning.Starts != free/size || !got.CapacityShort {
		t.Errorf("long-running: %+v", got.LongRunning)
	}
	if got.FreedPerSecond != 4*smallRuns*100 {
		t.Errorf("tasks of a second free %v millicores a second", got.FreedPerSecond)
	}
}

// Tasks that are too large for the free workers of their service do not delay jobs of
// another one, nor may free workers of the other one hide that they wait.
func TestDemandIsComparedWithTheCapacityOfItsService(t *testing.T) {
	b := newBacklog(t, 4, 0, whyUnanswered)
	both := manifest.Manifest{Version: 2, Queues: append(slices.Clone(backlogManifest.Queues),
		manifest.Queue{Name: "others", Service: "other", MaxAttempts: 4, SlackFactor: 2, TargetLatency: time.Second})}
	b.cell.SetManifest(&both)
	for i := range 20 {
		id := cell.WorkerID(fmt.Sprintf("other%03d", i))
		b.cell.Register(b.now, cell.Registration{
			ID: id, Incarnation: 1, Machine: string(id), Service: "other", Capacity: job.Size{MilliCores: minCapacity, MemoryMB: 131072},
		})
		b.report(id)
	}
	b.accept("large", "first", workload.Step{Tasks: 11, Size: job.Size{MilliCores: minCapacity}, Estimate: time.Second})
	b.accept("small2", "others", workload.Step{Tasks: 1, Size: job.Size{MilliCores: 100}, Estimate: time.Second})
	load := b.cell.Load(b.now)
	if d := demandOf(load, "s", 0); d.MissingMilliCores == 0 || !serviceOf(load, "s").CapacityShort {
		t.Errorf("a full service: %+v", d)
	}
	if d := demandOf(load, "other", 0); d.MissingMilliCores > 0 || serviceOf(load, "other").CapacityShort {
		t.Errorf("a service with free workers: %+v", d)
	}
	b.runActions()
	load = b.cell.Load(b.now)
	if s := serviceOf(load, "other"); s.Started != 1 || s.StartedMilliCores != 100 {
		t.Errorf("one task of the service was started: %+v", s)
	}
	if s := serviceOf(load, "s"); load.Started != s.Started+1 {
		t.Errorf("%d starts, of them %d for a service and one for the other", load.Started, s.Started)
	}
}

// A job may wait as long as its objective leaves besides its critical path.
func TestStartSlack(t *testing.T) {
	steps := []workload.Step{{Estimate: time.Second}, {Estimate: 3 * time.Second, After: []int{0}}}
	for factor, want := range map[float64]time.Duration{0.5: time.Second, 1: time.Second, 2.5: 7 * time.Second} {
		q := &manifest.Queue{SlackFactor: factor, TargetLatency: time.Second}
		if got := cell.StartSlack(&workload.Job{Steps: steps}, q); got != want {
			t.Errorf("with a slack factor of %v: %v, want %v", factor, got, want)
		}
		if got := cell.StartSlack(&workload.Job{Steps: []workload.Step{{LongRunning: true, Estimate: time.Hour}}}, q); got != time.Second {
			t.Errorf("a long-running job may wait %v", got)
		}
	}
}

// A large job on idle workers, and a worker that does not answer, delay no others.
func TestDemandIsNotDelayedWhileWorkersAreFree(t *testing.T) {
	b := newBacklog(t, 100, 0, whyUnanswered)
	b.workers = b.workers[1:]
	b.wait(2 * time.Second)
	b.accept("large", "first", workload.Step{Tasks: 500, Size: job.Size{MilliCores: 1000}, Estimate: time.Second})
	if d := demandOf(b.cell.Load(b.now), "s", 0); d.StartsDelayed || d.MissingMilliCores > 0 || d.Starts < 500 {
		t.Errorf("before it is placed: %+v", d)
	}
	b.runActions()
	if d := demandOf(b.cell.Load(b.now), "s", 0); d.StartsDelayed || d.MissingMilliCores > 0 || d.Starts != 0 {
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
