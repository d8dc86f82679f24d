package entry_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/entry"
	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/lease"
)

const (
	editionTasks = 2
	// feeds leaves most workers idle, which are asked seldom.
	feeds  = 1
	outage = time.Hour
)

// newOutageFixture is a pool with more work than room: a service, proofs that fill
// the workers for a minute, editions behind them that may run again, and a
// payment that may not.
func newOutageFixture(t *testing.T, editions int, runTime time.Duration) (*fixture, *entry.PoolOwner) {
	t.Helper()
	w := newFixture(t)
	o := w.startOwner(lease.Gained{First: true, Clean: true})
	w.mustSubmit(o, feedService(feeds))
	proofs := batch("proofs", 16, time.Minute)
	proofs.Size.MilliCores = 7000
	w.mustSubmit(o, proofs)
	for n := range editions {
		s := batch(fmt.Sprintf("edition-%03d", n), editionTasks, runTime)
		s.Size.MilliCores = 7000
		w.mustSubmit(o, s)
	}
	payment := batch("payment", 1, time.Minute)
	payment.Replayable = false
	payment.Size.MilliCores = 25_000
	w.mustSubmit(o, payment)
	time.Sleep(20 * time.Second)
	return w, o
}

// checkFinished checks that every job but the service came to its end, and that the
// promises held.
func (w *fixture) checkFinished(editions int) {
	w.t.Helper()
	for n := range editions {
		w.checkDone(fmt.Sprintf("edition-%03d", n))
	}
	w.checkDone("payment")
	if n := w.starts("payment"); n != 1 {
		w.t.Errorf("the payment started %d times", n)
	}
	if n := w.running("feed"); n != feeds {
		w.t.Errorf("%d of %d feeds run", n, feeds)
	}
	w.checkInvariants()
}

func (w *fixture) checkDone(id string) {
	w.t.Helper()
	row, ok := w.row(id)
	if !ok || !strings.Contains(string(row.Value), string(job.StateDone)) {
		w.t.Errorf("job %s is not done: %s", id, row.Value)
	}
}

// editionStarts returns how many attempts of all editions have started.
func (w *fixture) editionStarts() int {
	n := 0
	for _, r := range w.d.Journal.Tasks() {
		if strings.HasPrefix(r.Attempt.Task.Job, "edition") {
			n++
		}
	}
	return n
}

// While the store is down and the successors know, what may run again starts,
// and what may not waits. Everything is written once the store is back.
func TestStoreDownForAnHour(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const editions = 20
		w, _ := newOutageFixture(t, editions, outage/4)
		w.d.Table.LoseAnswers(3)
		time.Sleep(time.Second)
		w.d.Table.SetDown(true)
		w.d.Objects.SetDown(true)
		before := w.editionStarts()
		time.Sleep(outage)
		if n := w.editionStarts() - before; n < editions {
			t.Errorf("only %d attempts started in the outage", n)
		}
		if n := w.starts("payment"); n != 0 {
			t.Errorf("the payment started %d times without a record", n)
		}
		w.d.Objects.SetDown(false)
		w.d.Table.SetDown(false)
		w.d.Table.LoseAnswers(5)
		time.Sleep(30 * time.Minute)
		w.checkFinished(editions)
		if n := w.editionStarts(); n != editions*editionTasks {
			t.Errorf("%d attempts of %d tasks started", n, editions*editionTasks)
		}
		if w.guards[0].MayStartUnjournaled() {
			t.Error("work may still start unjournaled")
		}
	})
}

// Without the word of the successors nothing starts that no record names.
func TestStoreDownWithoutSuccessorConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const editions = 20
		w, _ := newOutageFixture(t, editions, 5*time.Minute)
		w.guards[0].noReplies.Store(true)
		w.d.Table.SetDown(true)
		time.Sleep(time.Second)
		before := w.editionStarts()
		time.Sleep(10 * time.Minute)
		if n := w.editionStarts() - before; n != 0 {
			t.Errorf("%d attempts started without a record", n)
		}
		if n := w.running("feed"); n != feeds {
			t.Errorf("%d of %d feeds run", n, feeds)
		}
		w.d.Table.SetDown(false)
		time.Sleep(30 * time.Minute)
		w.checkFinished(editions)
	})
}

// An owner ends in the middle of an outage, with work running that no record
// names: killed, or cut off and going on to renew, also on a worker that its
// successors do not reach. The successors take over at once, and once more.
func TestOwnerEndsInOutage(t *testing.T) {
	tests := map[string]struct{ killed, cutWorker, again bool }{
		"killed":                       {killed: true},
		"killed, worker cut":           {killed: true, cutWorker: true},
		"cut off":                      {},
		"cut off, worker cut":          {cutWorker: true},
		"cut off, worker cut, a third": {cutWorker: true, again: true},
		"killed, a third":              {killed: true, again: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				// Half of the room is left for whoever starts a task again.
				const editions = 4
				w, first := newOutageFixture(t, editions, 8*time.Minute)
				w.d.Table.SetDown(true)
				time.Sleep(3 * time.Minute)
				if test.killed {
					first.Close()
				} else {
					w.cutOff()
				}
				if test.cutWorker {
					w.unreachable = map[string]bool{w.lastStarted(): true}
				}
				w.d.Table.SetDown(false)
				second := w.startOwner(lease.Gained{Unjournaled: true})
				if test.again {
					time.Sleep(3 * time.Second)
					second.Release(t.Context())
					w.startOwner(lease.Gained{Clean: true})
				}
				time.Sleep(renewGrace + time.Minute)
				w.checkInvariants()
				time.Sleep(15 * time.Minute)
				w.checkFinished(editions)
			})
		})
	}
}

// lastStarted returns the worker of the last attempt that started.
func (w *fixture) lastStarted() string {
	runs := w.d.Journal.Tasks()
	return runs[len(runs)-1].Worker
}

// Unjournaled starts that are on their way when their owner ends arrive after
// its successor has first asked the workers what they run. One that was only cut
// off renews them.
func TestUnjournaledStartsArriveLate(t *testing.T) {
	for name, end := range map[string]func(*fixture, *entry.PoolOwner){
		"killed":  func(_ *fixture, o *entry.PoolOwner) { o.Close() },
		"cut off": func(w *fixture, _ *entry.PoolOwner) { w.cutOff() },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const editions = 4
				w, first := newOutageFixture(t, editions, 8*time.Minute)
				w.d.Table.SetDown(true)
				w.delayed.delay.Store(int64(4 * time.Second))
				for w.delayed.sent.Load() == 0 {
					time.Sleep(100 * time.Millisecond)
				}
				end(w, first)
				w.delayed.delay.Store(0)
				w.d.Table.SetDown(false)
				w.startOwner(lease.Gained{Unjournaled: true})
				time.Sleep(time.Minute)
				w.checkInvariants()
				if n := w.editionStarts(); n < editions*editionTasks {
					t.Errorf("%d editions started, not all %d", n, editions*editionTasks)
				}
				time.Sleep(20 * time.Minute)
				w.checkFinished(editions)
			})
		})
	}
}
