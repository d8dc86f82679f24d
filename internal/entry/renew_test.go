package entry_test

import (
	"testing"
	"testing/synctest"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/entry"
	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/lease"
)

// A task that outlasts its first lease must be renewed, also on a worker that
// ran nothing before and was asked once a minute only.
func TestLongTaskOnIdleWorkerRunsOnce(t *testing.T) {
	for _, kind := range []job.Kind{job.KindBatch, job.KindService, job.KindAllAtOnce} {
		t.Run(string(kind), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newFixture(t)
				o := w.startOwner(lease.Gained{First: true, Clean: true})
				time.Sleep(10 * time.Second)
				spec := batch("feed", 2, time.Hour)
				spec.Kind = kind
				w.mustSubmit(o, spec)
				time.Sleep(5 * time.Minute)
				if starts, running := w.starts("feed"), w.running("feed"); starts != 2 || running != 2 {
					t.Errorf("2 tasks started %d times, and %d run", starts, running)
				}
				w.checkInvariants()
			})
		})
	}
}

// An owner without authority keeps what runs for its grace, starts nothing, and
// no longer.
func TestOwnerWithoutAuthorityRenewsDuringGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFixture(t)
		o := w.startOwner(lease.Gained{First: true, Clean: true})
		w.mustSubmit(o, feedService(4))
		time.Sleep(10 * time.Second)
		w.guards[0].lapse()
		time.Sleep(renewGrace - time.Minute)
		if starts, running := w.starts("feed"), w.running("feed"); starts != 4 || running != 4 {
			t.Errorf("4 tasks started %d times, and %d run", starts, running)
		}
		time.Sleep(2 * time.Minute)
		if running := w.running("feed"); running != 0 {
			t.Errorf("%d tasks run on after the grace", running)
		}
		w.checkInvariants()
	})
}

// A worker that only the deposed owner reaches goes on running. Its task must
// not start anywhere else before the deposed owner's grace is over, whoever
// releases the workers to whom meanwhile, and must start then.
func TestDeposedOwnerKeepsUnreachableWorker(t *testing.T) {
	for name, later := range map[string][]lease.Gained{
		"taken over":                 {{}},
		"taken over, then released":  {{}, {Clean: true}},
		"released after each other":  {{}, {Clean: true}, {Clean: true}},
		"taken over after a release": {{}, {Clean: true}, {}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newFixture(t)
				first := w.startOwner(lease.Gained{First: true, Clean: true})
				w.mustSubmit(first, feedService(1))
				time.Sleep(10 * time.Second)
				place := w.workerOf("feed")
				w.cutOff()
				w.unreachable = map[string]bool{place: true}
				var last *entry.PoolOwner
				for _, how := range later {
					if last != nil {
						last.Release(t.Context())
					}
					last = w.startOwner(how)
					time.Sleep(time.Minute)
				}
				time.Sleep(renewGrace - 4*time.Minute)
				if starts := w.starts("feed"); starts != 1 {
					t.Errorf("the task started %d times in the grace", starts)
				}
				time.Sleep(5 * time.Minute)
				w.checkInvariants()
				if starts, running := w.starts("feed"), w.running("feed"); starts != 2 || running != 1 {
					t.Errorf("after the grace the task started %d times, and %d run", starts, running)
				}
			})
		})
	}
}

// After a clean release by an owner that had settled all before it, a silent
// worker costs one task lease and no grace.
func TestCleanReleaseNeedsNoGrace(t *testing.T) {
	for name, how := range map[string]lease.Gained{"first": {First: true, Clean: true}, "after its grace": {}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newFixture(t)
				owner := w.startOwner(how)
				w.mustSubmit(owner, feedService(1))
				time.Sleep(renewGrace + 2*time.Minute)
				w.unreachable = map[string]bool{w.workerOf("feed"): true}
				owner.Release(t.Context())
				w.startOwner(lease.Gained{Clean: true})
				time.Sleep(time.Minute)
				w.checkInvariants()
				if starts, running := w.starts("feed"), w.running("feed"); starts != 2 || running != 1 {
					t.Errorf("the task started %d times, and %d run", starts, running)
				}
			})
		})
	}
}

// feedService is the feed, with a number of tasks.
func feedService(tasks int) job.Spec {
	s := batch("feed", tasks, 0)
	s.Kind = job.KindService
	return s
}
