package entry_test

import (
	"testing"
	"testing/synctest"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/entry"
	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/lease"
)

// The lease of a task that runs longer than its first lease must be renewed, also on
// a worker that ran nothing before and was asked for reports only once a minute.
func TestLongTaskOnIdleWorkerRunsOnce(t *testing.T) {
	for _, kind := range []job.Kind{job.KindBatch, job.KindService, job.KindAllAtOnce} {
		t.Run(string(kind), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fx := newFixture(t)
				o := fx.startOwner(lease.Gained{First: true, Clean: true})
				time.Sleep(10 * time.Second)
				spec := batch("feed", 2, time.Hour)
				spec.Kind = kind
				fx.mustSubmit(o, spec)
				time.Sleep(5 * time.Minute)
				if starts, running := fx.starts("feed"), fx.running("feed"); starts != 2 || running != 2 {
					t.Errorf("2 tasks started %d times, and %d run", starts, running)
				}
				fx.checkInvariants()
			})
		})
	}
}

// An owner without authority starts nothing. It renews the leases of running tasks
// for its grace period, and no longer.
func TestOwnerWithoutAuthorityRenewsDuringGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t)
		o := fx.startOwner(lease.Gained{First: true, Clean: true})
		fx.mustSubmit(o, feedService(4))
		time.Sleep(10 * time.Second)
		fx.guards[0].lapse()
		time.Sleep(renewGrace - time.Minute)
		if starts, running := fx.starts("feed"), fx.running("feed"); starts != 4 || running != 4 {
			t.Errorf("4 tasks started %d times, and %d run", starts, running)
		}
		time.Sleep(2 * time.Minute)
		if running := fx.running("feed"); running != 0 {
			t.Errorf("%d tasks run on after the grace period", running)
		}
		fx.checkInvariants()
	})
}

// A worker that only the deposed owner can reach continues to run its task. The task
// must not start elsewhere before the grace period of the deposed owner is over,
// whatever takeovers and releases follow, and must start then.
func TestDeposedOwnerKeepsUnreachableWorker(t *testing.T) {
	for name, successors := range map[string][]lease.Gained{
		"taken over":                 {{}},
		"taken over, then released":  {{}, {Clean: true}},
		"released after each other":  {{}, {Clean: true}, {Clean: true}},
		"taken over after a release": {{}, {Clean: true}, {}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fx := newFixture(t)
				first := fx.startOwner(lease.Gained{First: true, Clean: true})
				fx.mustSubmit(first, feedService(1))
				time.Sleep(10 * time.Second)
				worker := fx.workerOf("feed")
				fx.cutOff()
				fx.unreachable = map[string]bool{worker: true}
				var last *entry.PoolOwner
				for _, gained := range successors {
					if last != nil {
						last.Release(t.Context())
					}
					last = fx.startOwner(gained)
					time.Sleep(time.Minute)
				}
				time.Sleep(renewGrace - 4*time.Minute)
				if starts := fx.starts("feed"); starts != 1 {
					t.Errorf("the task started %d times in the grace period", starts)
				}
				time.Sleep(5 * time.Minute)
				fx.checkInvariants()
				if starts, running := fx.starts("feed"), fx.running("feed"); starts != 2 || running != 1 {
					t.Errorf("after the grace period the task started %d times, and %d run", starts, running)
				}
			})
		})
	}
}

// After a clean release by an owner that had waited out the grace periods of all its
// predecessors, the task of an unreachable worker starts elsewhere after its task
// lease, without a grace period.
func TestCleanReleaseNeedsNoGrace(t *testing.T) {
	for name, gained := range map[string]lease.Gained{"first": {First: true, Clean: true}, "after its grace": {}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fx := newFixture(t)
				owner := fx.startOwner(gained)
				fx.mustSubmit(owner, feedService(1))
				time.Sleep(renewGrace + 2*time.Minute)
				fx.unreachable = map[string]bool{fx.workerOf("feed"): true}
				owner.Release(t.Context())
				fx.startOwner(lease.Gained{Clean: true})
				time.Sleep(time.Minute)
				fx.checkInvariants()
				if starts, running := fx.starts("feed"), fx.running("feed"); starts != 2 || running != 1 {
					t.Errorf("the task started %d times, and %d run", starts, running)
				}
			})
		})
	}
}

// feedService returns the service job "feed" with a number of tasks.
func feedService(tasks int) job.Spec {
	s := batch("feed", tasks, 0)
	s.Kind = job.KindService
	return s
}
