package entry_test

import (
	"testing"
	"testing/synctest"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/entry"
	"cicadabarrow.example/cicadabarrow/internal/lease"
	"cicadabarrow.example/cicadabarrow/internal/standin"
)

// Each fault occurs while an owner runs, or is about to run, four tasks of 3
// minutes on workers with spare capacity. All tasks must complete, and none may run
// in two places at a time.
func TestPoolUnderFaults(t *testing.T) {
	const tasks = 4
	faults := map[string]func(*fixture, *entry.PoolOwner){
		"killed between intent and start": func(fx *fixture, o *entry.PoolOwner) {
			fx.delayed.delay.Store(int64(time.Hour)) // Longer than any lease, so that it never starts.
			fx.killAtStart(o)
		},
		"killed between start and response": func(fx *fixture, o *entry.PoolOwner) {
			fx.delayed.delay.Store(1)
			fx.killAtStart(o)
		},
		"table loses responses": func(fx *fixture, _ *entry.PoolOwner) {
			fx.d.Table.LoseAnswers(6)
		},
		"worker comes back with old leases": func(fx *fixture, _ *entry.PoolOwner) {
			time.Sleep(time.Minute)
			worker := fx.d.Workers.All()[0]
			worker.Freeze()
			time.Sleep(2 * time.Minute)
			worker.Thaw()
		},
		"worker is unreachable and runs on": func(fx *fixture, _ *entry.PoolOwner) {
			time.Sleep(time.Minute)
			worker := fx.d.Workers.Get(fx.lastStarted())
			worker.SetSilent(true)
			time.Sleep(time.Minute)
			worker.SetSilent(false)
		},
		"worker restarts": func(fx *fixture, _ *entry.PoolOwner) {
			time.Sleep(time.Minute)
			fx.d.Workers.All()[0].Restart()
		},
		"leases lapse while the owner is cut off": func(fx *fixture, _ *entry.PoolOwner) {
			time.Sleep(time.Minute)
			fx.d.Links.Set("entry-00", dataCentre, standin.LossAnswers)
			time.Sleep(time.Minute)
			fx.d.Links.Set("entry-00", dataCentre, standin.LossRequests)
			time.Sleep(time.Minute)
			fx.d.Links.Heal()
		},
	}
	for name, inject := range faults {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fx := newFixture(t)
				o := fx.startOwner(lease.Gained{First: true, Clean: true})
				time.Sleep(time.Second)
				s := batch("edition", tasks, 3*time.Minute)
				s.Size.MilliCores = 10_000
				s.MaxAttempts = 10
				go fx.submit(o, s, time.Minute)
				inject(fx, o)
				time.Sleep(12 * time.Minute)
				fx.checkDone("edition")
				fx.checkInvariants()
			})
		})
	}
}

// killAtStart closes the owner when it sends its first start, and lets another one
// take over.
func (fx *fixture) killAtStart(o *entry.PoolOwner) {
	for fx.delayed.sent.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	o.Close()
	fx.delayed.delay.Store(0)
	fx.startOwner(lease.Gained{})
}
