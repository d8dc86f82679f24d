package pool

import (
	"fmt"
	"testing"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/platform"
)

// largeGang returns a gang that needs half of each of a number of workers.
func largeGang(members int) job.Spec {
	return job.Spec{
		Name: "gang", Kind: job.KindAllAtOnce, Tasks: members, RunTime: 20 * time.Second,
		Size: job.Size{MilliCores: 16_000, MemoryMB: 32_768},
	}
}

// smallWorkload returns small batch work that fills a simulation without end.
func smallWorkload() workload {
	kind := largeWorkload
	kind.starts, kind.backlog = 25, 500
	kind.next = largeWorkload.fill
	return kind
}

// gangsStarted returns how many members of gangs have started.
func (r *simulation) gangsStarted() int { return len(r.waits["gang"]) }

func (r *simulation) acceptGang(s job.Spec) {
	r.accept(s)
	r.arrivedAt[fmt.Sprintf("g%d", r.jobs)] = r.now
}

// TestTwoGangsBothStart has two gangs, each of which needs more than half of
// all workers, wait among endless small work. Without reservations they must
// not both start, which shows that the test depends on them.
func TestTwoGangsBothStart(t *testing.T) {
	for _, on := range []bool{true, false} {
		cfg := DefaultConfig()
		if !on {
			cfg.ReserveAfter = 0
		}
		r := newSimulation(cfg, smallWorkload(), 40)
		r.fillUp()
		r.run(10 * time.Second)
		r.acceptGang(largeGang(28))
		r.acceptGang(largeGang(28))
		r.run(time.Minute)
		if got := r.gangsStarted(); (got == 56) != on {
			t.Errorf("reservations %v: %d of 56 members started", on, got)
		}
	}
}

// TestReservationExpires has workers of a reservation leave. The capacity of
// the others must not stay reserved, and a smaller gang must get its turn.
func TestReservationExpires(t *testing.T) {
	cfg := DefaultConfig()
	r := newSimulation(cfg, smallWorkload(), 40)
	r.fillUp()
	r.run(10 * time.Second)
	r.acceptGang(largeGang(36))
	r.run(cfg.ReserveAfter + time.Second)
	if r.pool.reservation.job == nil {
		t.Fatal("no reservation was made")
	}
	for _, h := range r.hosts[:10] {
		r.pool.Reported(h.Name, r.now, platform.Report{Now: r.now, BootID: "1", Leaving: true}, r.now)
		r.leaving[h.Name] = true
	}
	r.acceptGang(largeGang(10))
	r.run(time.Minute)
	if got := r.gangsStarted(); got != 10 {
		t.Errorf("%d members started; want the 10 of the gang that fits", got)
	}
}

// TestBackfillEndsInTime checks which tasks may use reserved capacity.
func TestBackfillEndsInTime(t *testing.T) {
	l := newLoad(DefaultConfig(), 1, 1)
	l.pool.reservation = reservation{job: &openJob{}, startBy: l.now.Add(time.Minute)}
	task := func(s job.Spec) *task { return &task{job: &openJob{spec: s}} }
	for _, c := range []struct {
		name string
		spec job.Spec
		want bool
	}{
		{"ends in time", job.Spec{Kind: job.KindBatch, Replayable: true, RunTime: time.Minute}, true},
		{"ends too late", job.Spec{Kind: job.KindBatch, Replayable: true, RunTime: time.Minute + 1}, false},
		{"cannot be stopped", job.Spec{Kind: job.KindBatch, RunTime: time.Second}, false},
		{"never ends", job.Spec{Kind: job.KindService, Replayable: true}, false},
		{"another gang", job.Spec{Kind: job.KindAllAtOnce, Replayable: true, RunTime: time.Second}, false},
		{"urgent", job.Spec{Kind: job.KindBatch, Priority: job.PriorityUrgent, RunTime: time.Hour}, true},
	} {
		if got := l.pool.mayBackfill(task(c.spec), l.now); got != c.want {
			t.Errorf("%s: may backfill is %v", c.name, got)
		}
	}
}
