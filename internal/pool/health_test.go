package pool

import (
	"fmt"
	"testing"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/platform"
)

// simulateHealth runs a steady load while some workers fail every task. It
// returns the simulation and the number of jobs that failed.
func simulateHealth(cfg Config, workers, failing int, d time.Duration) (r *simulation, failedJobs int) {
	kind := workload{name: "steady", starts: float64(workers) / 4, next: func(l *load) job.Spec {
		s := l.next()
		s.Name, s.Kind, s.Tasks, s.Priority, s.Size.Accelerators = "batch", job.KindBatch, 1, "", 0
		return s
	}}
	r = newSimulation(cfg, kind, workers)
	r.attempts = defaultAttempts
	for i := range failing {
		r.failing[r.hosts[1+i].Name] = true
	}
	r.ended = func(rec Record) {
		if rec.State == job.StateFailed {
			failedJobs++
		}
	}
	r.run(d)
	return r, failedJobs
}

func (r *simulation) quarantined() int {
	n := 0
	for _, v := range r.pool.Workers(r.now) {
		if v.Quarantined {
			n++
		}
	}
	return n
}

// TestFailingWorkersAreQuarantined has workers that fail every task. They must
// be quarantined, their jobs must succeed elsewhere, and the workers must
// return to service once they have recovered.
func TestFailingWorkersAreQuarantined(t *testing.T) {
	cfg := DefaultConfig()
	r, failed := simulateHealth(cfg, 40, 2, 30*time.Second)
	if failed > 0 || r.quarantined() != 2 {
		t.Fatalf("%d jobs failed, %d workers in quarantine", failed, r.quarantined())
	}
	clear(r.failing)
	r.run(3 * cfg.ProbeAfter)
	if n := r.quarantined(); n > 0 {
		t.Errorf("%d workers are still in quarantine", n)
	}
}

// TestQuarantineIsBounded has half of the workers fail every task.
func TestQuarantineIsBounded(t *testing.T) {
	cfg := DefaultConfig()
	r, _ := simulateHealth(cfg, 40, 20, 30*time.Second)
	if n, most := r.quarantined(), int(40*cfg.MaxQuarantinedShare); n != most {
		t.Errorf("%d workers are in quarantine; want %d", n, most)
	}
}

// TestBadJobsDoNotQuarantineWorkers has jobs that fail on every worker. They
// must fail after their maximum number of attempts, with the error message, and
// no worker may be quarantined for them.
func TestBadJobsDoNotQuarantineWorkers(t *testing.T) {
	r, _ := simulateHealth(DefaultConfig(), 40, 0, 10*time.Second)
	var messages []string
	r.ended = func(rec Record) {
		if rec.State == job.StateFailed {
			messages = append(messages, rec.Message)
		}
	}
	const bad = 10
	for i := range bad {
		id := fmt.Sprintf("x%d", i)
		r.badJobs[id] = true
		r.pool.Accept(job.Spec{
			ID: id, Team: "t", Kind: job.KindBatch, Tasks: 1, Size: job.Size{MilliCores: 1000, MemoryMB: 64}, RunTime: time.Second,
		}, r.now)
	}
	before := r.failures
	r.run(30 * time.Second)
	if len(messages) != bad || messages[0] == "" || r.failures-before != bad*defaultAttempts {
		t.Errorf("%d jobs failed after %d attempts: %q", len(messages), r.failures-before, messages)
	}
	if n := r.quarantined(); n > 0 {
		t.Errorf("%d workers are in quarantine because of bad jobs", n)
	}
}

// TestProbeTakesOneTask checks that a worker that is being probed gets only one
// task.
func TestProbeTakesOneTask(t *testing.T) {
	l := newLoad(DefaultConfig(), 1, 1)
	w := l.pool.sortedWorkers[0]
	l.pool.quarantine(w, l.now)
	l.accept(job.Spec{Name: "batch", Kind: job.KindBatch, Tasks: 5, Size: job.Size{MilliCores: 1000, MemoryMB: 64}, RunTime: time.Second})
	l.schedule()
	if len(w.tasks) > 0 {
		t.Fatal("a quarantined worker got work")
	}
	l.now = l.now.Add(l.pool.cfg.ProbeAfter)
	l.perform(l.pool.Tick(l.now))
	l.schedule()
	l.schedule()
	if len(w.tasks) != 1 {
		t.Fatalf("a worker that is being probed runs %d tasks", len(w.tasks))
	}
	for a := range w.tasks {
		l.report(a, platform.TaskDone)
	}
	l.schedule()
	if len(w.tasks) != 4 {
		t.Errorf("the worker whose probe succeeded runs %d tasks", len(w.tasks))
	}
}

// BenchmarkQuarantine compares quarantine on and off while one worker in a
// hundred fails every task.
func BenchmarkQuarantine(b *testing.B) {
	for _, after := range []time.Duration{DefaultConfig().ProbeAfter, 0} {
		b.Run(fmt.Sprintf("probe-after=%v", after), func(b *testing.B) {
			cfg := DefaultConfig()
			cfg.ProbeAfter = after
			for range b.N {
				r, failed := simulateHealth(cfg, 580, 6, time.Minute)
				b.Logf("%d attempts and %d of %d jobs failed", r.failures, failed, r.jobs)
			}
		})
	}
}
