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
				w := newWorld(t)
				o := w.own(lease.Gained{First: true, Clean: true})
				time.Sleep(10 * time.Second)
				spec := batch("feed", 2, time.Hour)
				spec.Kind = kind
				w.accepted(o, spec)
				time.Sleep(5 * time.Minute)
				if starts, running := w.starts("feed"), w.running("feed"); starts != 2 || running != 2 {
					t.Errorf("2 tasks started %d times, and %d run", starts, running)
				}
				w.promises()
			})
		})
	}
}

// An owner without authority keeps what runs for its grace, starts nothing, and
// no longer.
func TestOwnerWithoutAuthorityKeepsWhatRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		o := w.own(lease.Gained{First: true, Clean: true})
		w.accepted(o, service(4))
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
		w.promises()
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
				w := newWorld(t)
				first := w.own(lease.Gained{First: true, Clean: true})
				w.accepted(first, service(1))
				time.Sleep(10 * time.Second)
				place := w.placeOf("feed")
				w.cutOff()
				w.cut = map[string]bool{place: true}
				var last *entry.PoolOwner
				for _, how := range later {
					if last != nil {
						last.Release(t.Context())
					}
					last = w.own(how)
					time.Sleep(time.Minute)
				}
				time.Sleep(renewGrace - 4*time.Minute)
				if starts := w.starts("feed"); starts != 1 {
					t.Errorf("the task started %d times in the grace", starts)
				}
				time.Sleep(5 * time.Minute)
				w.promises()
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
				w := newWorld(t)
				owner := w.own(how)
				w.accepted(owner, service(1))
				time.Sleep(renewGrace + 2*time.Minute)
				w.cut = map[string]bool{w.placeOf("feed"): true}
				owner.Release(t.Context())
				w.own(lease.Gained{Clean: true})
				time.Sleep(time.Minute)
				w.promises()
				if starts, running := w.starts("feed"), w.running("feed"); starts != 2 || running != 1 {
					t.Errorf("the task started %d times, and %d run", starts, running)
				}
			})
		})
	}
}

// service is the feed, with a number of tasks.
func service(tasks int) job.Spec {
	s := batch("feed", tasks, 0)
	s.Kind = job.KindService
	return s
}
