package pool

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/job"
)

// reclaimBound is the documented bound on the wait of batch work within its
// team's guarantee, while enough replayable work runs on borrowed capacity.
const reclaimBound = 4 * time.Second

// simulateQuota lets one team borrow every worker, and then lets the given
// number of other teams request all of their guarantee. It returns how long
// those of their tasks waited that started within a minute, and how many tasks
// they submitted.
func simulateQuota(cfg Config, workers, lenders int) (waits []time.Duration, wanted int) {
	r := newSimulation(cfg, workload{}, workers)
	guaranteed := job.Size{MilliCores: int64(workers) * 32_000, MemoryMB: int64(workers) * 65_536}.Scale(0.95 / loadTeams)
	quotas := make(map[string]Quota)
	for i := range loadTeams {
		quotas[fmt.Sprintf("team-%d", i)] = Quota{Guaranteed: guaranteed}
	}
	r.pool.SetQuotas(quotas)
	size := job.Size{MilliCores: 4000, MemoryMB: 8192}
	accept := func(team, tasks int) {
		r.jobs++
		id := fmt.Sprintf("b%d", r.jobs)
		r.pool.Accept(job.Spec{
			ID: id, Team: fmt.Sprintf("team-%d", team), Name: "batch", Kind: job.KindBatch, Tasks: tasks, Size: size,
			RunTime: time.Hour, Replayable: true,
		}, r.now)
		r.arrivedAt[id] = r.now
	}
	accept(0, workers*10)
	r.run(10 * time.Second)
	clear(r.waits)
	each := int(guaranteed.MilliCores / size.MilliCores)
	for i := range lenders {
		accept(1+i, each)
	}
	r.run(time.Minute)
	slices.Sort(r.waits["batch"])
	return r.waits["batch"], each * lenders
}

// TestGuaranteeIsReclaimedInTime checks the bound for one team and for all
// teams at once.
func TestGuaranteeIsReclaimedInTime(t *testing.T) {
	for _, lenders := range []int{1, loadTeams - 1} {
		waits, wanted := simulateQuota(DefaultConfig(), 100, lenders)
		t.Logf("%d teams: %d of %d tasks started, the last after %v", lenders, len(waits), wanted, waits[len(waits)-1])
		if len(waits) < wanted {
			t.Errorf("%d teams: only %d of %d guaranteed tasks started", lenders, len(waits), wanted)
		}
		if got := waits[len(waits)-1]; got > reclaimBound {
			t.Errorf("%d teams: a guaranteed task waited %v, more than %v", lenders, got, reclaimBound)
		}
	}
}

// BenchmarkGuarantee compares reclaiming with waiting for the borrower's work
// to end.
func BenchmarkGuarantee(b *testing.B) {
	for _, after := range []time.Duration{DefaultConfig().ReclaimAfter, 0} {
		for _, lenders := range []int{1, loadTeams - 1} {
			b.Run(fmt.Sprintf("reclaim-after=%v/teams=%d", after, lenders), func(b *testing.B) {
				cfg := DefaultConfig()
				cfg.ReclaimAfter = after
				for range b.N {
					waits, wanted := simulateQuota(cfg, 580, lenders)
					last := time.Duration(0)
					if len(waits) > 0 {
						last = waits[len(waits)-1]
					}
					b.Logf("%d of %d started within a minute, the last after %v", len(waits), wanted, last)
				}
			})
		}
	}
}

// TestBorrowersShareEqually has two teams borrow as much as they can. Both must
// get the same, regardless of which came first and how much each has waiting.
func TestBorrowersShareEqually(t *testing.T) {
	l := newLoad(DefaultConfig(), 20, 1)
	l.pool.SetQuotas(map[string]Quota{"other": {Guaranteed: job.Size{MilliCores: 1000, MemoryMB: 1000}}})
	size := job.Size{MilliCores: 4000, MemoryMB: 1024}
	for i, tasks := range []int{1000, 100} {
		l.pool.Accept(job.Spec{
			ID: fmt.Sprintf("b%d", i), Team: fmt.Sprintf("team-%d", i), Name: "batch", Kind: job.KindBatch,
			Tasks: tasks, Size: size, RunTime: time.Minute, Replayable: true,
		}, l.now)
	}
	l.schedule()
	a, b := l.pool.ensureTeam("team-0").used, l.pool.ensureTeam("team-1").used
	if diff := a.Sub(b).MilliCores; max(diff, -diff) > size.MilliCores {
		t.Errorf("the borrowers use %+v and %+v", a, b)
	}
}

// TestTeamLimit checks that a job that could never start within its team's
// limit is refused, and that other work waits at the limit.
func TestTeamLimit(t *testing.T) {
	l := newLoad(DefaultConfig(), 2, 1)
	l.pool.SetQuotas(map[string]Quota{"team-1": {Limit: job.Size{MilliCores: 8000, MemoryMB: 8192}}})
	s := job.Spec{ID: "x", Team: "team-1", Kind: job.KindAllAtOnce, Tasks: 3, RunTime: time.Second, Size: job.Size{MilliCores: 4000, MemoryMB: 1024}}
	if err := l.pool.Check(s); err == nil {
		t.Error("a gang larger than its team's limit was accepted")
	}
	s.Name, s.Kind, s.Priority = "urgent", job.KindBatch, job.PriorityUrgent
	l.accept(s)
	l.schedule()
	if got := l.pool.ensureTeam("team-1").used.MilliCores; got != 8000 {
		t.Errorf("team-1 uses %d, its limit is 8000", got)
	}
}
