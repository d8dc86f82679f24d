package entry_test

import (
	"testing"
	"testing/synctest"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/entry"
	"cicadabarrow.example/cicadabarrow/internal/lease"
	"cicadabarrow.example/cicadabarrow/internal/standin"
)

// Each fault hits an owner that runs, or is about to run, four tasks of 3 minutes
// with room to spare. All of them must end well, in one place at a time.
func TestPoolUnderFaults(t *testing.T) {
	const tasks = 4
	faults := map[string]func(*fixture, *entry.PoolOwner){
		"killed between intent and start": func(w *fixture, o *entry.PoolOwner) {
			w.delayed.delay.Store(int64(time.Hour)) // Beyond every lease: it never starts.
			w.killAtStart(o)
		},
		"killed between start and answer": func(w *fixture, o *entry.PoolOwner) {
			w.delayed.delay.Store(1)
			w.killAtStart(o)
		},
		"table loses answers": func(w *fixture, _ *entry.PoolOwner) {
			w.d.Table.LoseAnswers(6)
		},
		"worker comes back with old leases": func(w *fixture, _ *entry.PoolOwner) {
			time.Sleep(time.Minute)
			worker := w.d.Workers.All()[0]
			worker.Freeze()
			time.Sleep(2 * time.Minute)
			worker.Thaw()
		},
		"worker is silent and runs on": func(w *fixture, _ *entry.PoolOwner) {
			time.Sleep(time.Minute)
			worker := w.d.Workers.Get(w.lastStarted())
			worker.SetSilent(true)
			time.Sleep(time.Minute)
			worker.SetSilent(false)
		},
		"worker restarts": func(w *fixture, _ *entry.PoolOwner) {
			time.Sleep(time.Minute)
			w.d.Workers.All()[0].Restart()
		},
		"leases lapse while their holder is cut off": func(w *fixture, _ *entry.PoolOwner) {
			time.Sleep(time.Minute)
			w.d.Links.Set("entry-00", dataCentre, standin.LossAnswers)
			time.Sleep(time.Minute)
			w.d.Links.Set("entry-00", dataCentre, standin.LossRequests)
			time.Sleep(time.Minute)
			w.d.Links.Heal()
		},
	}
	for name, bring := range faults {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newFixture(t)
				o := w.startOwner(lease.Gained{First: true, Clean: true})
				time.Sleep(time.Second)
				s := batch("edition", tasks, 3*time.Minute)
				s.Size.MilliCores = 10_000
				s.MaxAttempts = 10
				go w.submit(o, s, time.Minute)
				bring(w, o)
				time.Sleep(12 * time.Minute)
				w.checkDone("edition")
				w.checkInvariants()
			})
		})
	}
}

// killAtStart ends the owner at its first start, and lets another one take over.
func (w *fixture) killAtStart(o *entry.PoolOwner) {
	for w.delayed.sent.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	o.Close()
	w.delayed.delay.Store(0)
	w.startOwner(lease.Gained{})
}
