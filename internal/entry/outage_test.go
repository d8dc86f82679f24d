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
	// feeds leaves most workers idle. Idle workers are rarely asked for reports.
	feeds  = 1
	outage = time.Hour
)

// newOutageFixture returns a pool with more tasks than capacity: a service, proofs
// that fill the workers for a minute, replayable editions that wait behind them,
// and a payment that is not replayable.
func newOutageFixture(t *testing.T, editions int, runTime time.Duration) (*fixture, *entry.PoolOwner) {
	t.Helper()
	fx := newFixture(t)
	o := fx.startOwner(lease.Gained{First: true, Clean: true})
	fx.mustSubmit(o, feedService(feeds))
	proofs := batch("proofs", 16, time.Minute)
	proofs.Size.MilliCores = 7000
	fx.mustSubmit(o, proofs)
	for n := range editions {
		s := batch(fmt.Sprintf("edition-%03d", n), editionTasks, runTime)
		s.Size.MilliCores = 7000
		fx.mustSubmit(o, s)
	}
	payment := batch("payment", 1, time.Minute)
	payment.Replayable = false
	payment.Size.MilliCores = 25_000
	fx.mustSubmit(o, payment)
	time.Sleep(20 * time.Second)
	return fx, o
}

// checkFinished checks that the editions and the payment are done, that the payment
// started once and that the service runs, and checks the invariants. It does not
// check the proofs.
func (fx *fixture) checkFinished(editions int) {
	fx.t.Helper()
	for n := range editions {
		fx.checkDone(fmt.Sprintf("edition-%03d", n))
	}
	fx.checkDone("payment")
	if n := fx.starts("payment"); n != 1 {
		fx.t.Errorf("the payment started %d times", n)
	}
	if n := fx.running("feed"); n != feeds {
		fx.t.Errorf("%d of %d feeds run", n, feeds)
	}
	fx.checkInvariants()
}

func (fx *fixture) checkDone(id string) {
	fx.t.Helper()
	row, ok := fx.row(id)
	if !ok || !strings.Contains(string(row.Value), string(job.StateDone)) {
		fx.t.Errorf("job %s is not done: %s", id, row.Value)
	}
}

// editionStarts returns the number of attempts of all editions that have started.
func (fx *fixture) editionStarts() int {
	n := 0
	for _, r := range fx.d.Journal.Tasks() {
		if strings.HasPrefix(r.Attempt.Task.Job, "edition") {
			n++
		}
	}
	return n
}

// While the table service and the object store are down and the successors know of
// unjournaled starts, replayable tasks start and others wait. All records are
// written once both are back.
func TestStoreDownForAnHour(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const editions = 20
		fx, _ := newOutageFixture(t, editions, outage/4)
		fx.d.Table.LoseAnswers(3)
		time.Sleep(time.Second)
		fx.d.Table.SetDown(true)
		fx.d.Objects.SetDown(true)
		before := fx.editionStarts()
		time.Sleep(outage)
		if n := fx.editionStarts() - before; n < editions {
			t.Errorf("only %d attempts started in the outage", n)
		}
		if n := fx.starts("payment"); n != 0 {
			t.Errorf("the payment started %d times without a record", n)
		}
		fx.d.Objects.SetDown(false)
		fx.d.Table.SetDown(false)
		fx.d.Table.LoseAnswers(5)
		time.Sleep(30 * time.Minute)
		fx.checkFinished(editions)
		if n := fx.editionStarts(); n != editions*editionTasks {
			t.Errorf("%d attempts of %d tasks started", n, editions*editionTasks)
		}
		if fx.guards[0].MayStartUnjournaled() {
			t.Error("tasks may still start unjournaled")
		}
	})
}

// Without the confirmation of the successors no task starts unjournaled.
func TestStoreDownWithoutSuccessorConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const editions = 20
		fx, _ := newOutageFixture(t, editions, 5*time.Minute)
		fx.guards[0].noReplies.Store(true)
		fx.d.Table.SetDown(true)
		time.Sleep(time.Second)
		before := fx.editionStarts()
		time.Sleep(10 * time.Minute)
		if n := fx.editionStarts() - before; n != 0 {
			t.Errorf("%d attempts started without a record", n)
		}
		if n := fx.running("feed"); n != feeds {
			t.Errorf("%d of %d feeds run", n, feeds)
		}
		fx.d.Table.SetDown(false)
		time.Sleep(30 * time.Minute)
		fx.checkFinished(editions)
	})
}

// An owner fails in the middle of an outage, while unjournaled tasks are running. It
// is killed, or it is cut off and continues to renew leases, in some cases on a
// worker that its successors cannot reach. A successor takes over at once, and in
// some cases a third owner follows.
func TestOwnerEndsInOutage(t *testing.T) {
	tests := map[string]struct{ killed, workerUnreachable, thirdOwner bool }{
		"killed":                      {killed: true},
		"killed, worker unreachable":  {killed: true, workerUnreachable: true},
		"cut off":                     {},
		"cut off, worker unreachable": {workerUnreachable: true},
		"cut off, worker unreachable, third owner": {workerUnreachable: true, thirdOwner: true},
		"killed, third owner":                      {killed: true, thirdOwner: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				// Half of the capacity stays free for tasks that are started again.
				const editions = 4
				fx, first := newOutageFixture(t, editions, 8*time.Minute)
				fx.d.Table.SetDown(true)
				time.Sleep(3 * time.Minute)
				if test.killed {
					first.Close()
				} else {
					fx.cutOff()
				}
				if test.workerUnreachable {
					fx.unreachable = map[string]bool{fx.lastStarted(): true}
				}
				fx.d.Table.SetDown(false)
				second := fx.startOwner(lease.Gained{Unjournaled: true})
				if test.thirdOwner {
					time.Sleep(3 * time.Second)
					second.Release(t.Context())
					fx.startOwner(lease.Gained{Clean: true})
				}
				time.Sleep(renewGrace + time.Minute)
				fx.checkInvariants()
				time.Sleep(15 * time.Minute)
				fx.checkFinished(editions)
			})
		})
	}
}

// lastStarted returns the worker of the last attempt that started.
func (fx *fixture) lastStarted() string {
	runs := fx.d.Journal.Tasks()
	return runs[len(runs)-1].Worker
}

// Unjournaled starts that are in flight when their owner fails arrive after its
// successor has first asked the workers for reports. An owner that was only cut off
// renews their leases.
func TestUnjournaledStartsArriveLate(t *testing.T) {
	for name, end := range map[string]func(*fixture, *entry.PoolOwner){
		"killed":  func(_ *fixture, o *entry.PoolOwner) { o.Close() },
		"cut off": func(fx *fixture, _ *entry.PoolOwner) { fx.cutOff() },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const editions = 4
				fx, first := newOutageFixture(t, editions, 8*time.Minute)
				fx.d.Table.SetDown(true)
				fx.delayed.delay.Store(int64(4 * time.Second))
				for fx.delayed.sent.Load() == 0 {
					time.Sleep(100 * time.Millisecond)
				}
				end(fx, first)
				fx.delayed.delay.Store(0)
				fx.d.Table.SetDown(false)
				fx.startOwner(lease.Gained{Unjournaled: true})
				time.Sleep(time.Minute)
				fx.checkInvariants()
				if n := fx.editionStarts(); n < editions*editionTasks {
					t.Errorf("%d attempts of editions started; want at least %d", n, editions*editionTasks)
				}
				time.Sleep(20 * time.Minute)
				fx.checkFinished(editions)
			})
		})
	}
}
