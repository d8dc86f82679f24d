package pool

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/platform"
)

// TestPreemptionVictimsAreMinimal compares the victims of a claim with those
// that are possible. Every victim must be preemptible and necessary, and an
// urgent task may go without only when no set of victims frees enough capacity.
func TestPreemptionVictimsAreMinimal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLoad(DefaultConfig(), 2, 1)
		n := rapid.IntRange(1, 10).Draw(t, "running")
		for i := range n {
			s := job.Spec{
				Name: "batch", Kind: rapid.SampledFrom([]job.Kind{job.KindBatch, job.KindBatch, job.KindService}).Draw(t, "kind"),
				Tasks: 1, RunTime: time.Hour, Size: job.Size{
					MilliCores: 1000 * rapid.Int64Range(1, 16).Draw(t, "cores"), MemoryMB: 1024 * rapid.Int64Range(1, 30).Draw(t, "memory"),
				},
			}
			l.accept(s)
			if j := l.pool.sortedJobs()[i]; rapid.IntRange(0, 3).Draw(t, "once") == 0 {
				j.spec.Replayable = false
			}
			l.schedule()
			l.now = l.now.Add(time.Second)
		}
		need := job.Size{MilliCores: 20_000, MemoryMB: 30_000}
		l.accept(job.Spec{Name: "urgent", Kind: job.KindBatch, Tasks: 1, RunTime: time.Second, Size: need, Priority: job.PriorityUrgent})
		couldFit := false
		for _, w := range l.pool.sortedWorkers {
			free := w.free()
			for _, o := range w.tasks {
				if o.preemptible() {
					free = free.Add(o.size)
				}
			}
			couldFit = couldFit || need.Fits(free)
		}
		actions := l.pool.Schedule(l.now)
		stops := slices.DeleteFunc(slices.Clone(actions), func(a Action) bool { _, ok := a.(StopTasks); return !ok })
		started := len(actions) > len(stops)
		if started && len(stops) > 0 {
			t.Fatal("a task that found capacity stops others")
		}
		if !started && couldFit != (len(stops) > 0) {
			t.Fatalf("capacity can be freed: %v; victims: %d", couldFit, len(stops))
		}
		checkVictims(t, l, stops, need)
	})
}

func checkVictims(t *rapid.T, l *load, stops []Action, need job.Size) {
	if len(stops) == 0 {
		return
	}
	w := l.pool.workers[stops[0].(StopTasks).Worker.Name]
	free := w.free()
	var sizes []job.Size
	for _, a := range stops {
		s := a.(StopTasks)
		v := w.tasks[s.Stops[0].Attempt]
		if v == nil || v.job.spec.Kind != job.KindBatch || !v.job.spec.Replayable || !s.Stops[0].Checkpoint {
			t.Fatalf("%+v may not be a victim", s)
		}
		free = free.Add(v.size)
		sizes = append(sizes, v.size)
	}
	if !need.Fits(free) {
		t.Fatal("the victims free too little capacity")
	}
	for _, size := range sizes {
		if need.Fits(free.Sub(size)) {
			t.Fatalf("the victim of %+v is unnecessary", size)
		}
	}
}

// TestClaimReservesCapacity frees the capacity of a victim while normal work
// waits for it. The urgent task must get it, and the victim must run again
// without having used up a try.
func TestClaimReservesCapacity(t *testing.T) {
	l := newLoad(DefaultConfig(), 1, 1)
	whole := job.Size{MilliCores: 32_000, MemoryMB: 1024}
	l.accept(job.Spec{Name: "batch", Kind: job.KindBatch, Tasks: 1, RunTime: time.Minute, Size: whole})
	l.schedule()
	l.accept(job.Spec{Name: "batch", Kind: job.KindBatch, Tasks: 8, RunTime: time.Minute, Size: job.Size{MilliCores: 4000, MemoryMB: 64}})
	l.accept(job.Spec{Name: "urgent", Kind: job.KindBatch, Tasks: 1, RunTime: time.Minute, Size: whole, Priority: job.PriorityUrgent})
	l.schedule()
	l.schedule()
	urgent := l.pool.jobs["u3"].tasks[0]
	if urgent.phase != phaseRunning {
		t.Fatalf("the urgent task is in phase %d", urgent.phase)
	}
	victim := l.pool.jobs["b1"].tasks[0]
	if victim.phase != phaseWaiting || victim.tries != 0 {
		t.Fatalf("the victim is in phase %d after %d tries", victim.phase, victim.tries)
	}
	l.report(platform.Attempt{Task: urgent.id, Number: 1}, platform.TaskDone)
	l.schedule()
	if victim.phase != phaseRunning {
		t.Fatal("the victim, the oldest that waits, does not run again")
	}
}
