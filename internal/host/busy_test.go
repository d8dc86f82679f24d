package host

import (
	"math/rand/v2"
	"testing"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/timer"
)

// busyness is how late a host that is short of processor time does its work.
type busyness struct {
	// answer is how late it answers calls of other hosts: always, or at most if
	// varies is set.
	answer time.Duration
	varies bool
	// response is how late it handles responses, and timers how late its timers fire.
	response time.Duration
	timers   time.Duration
	// round is how long one iteration a second of the owner's event loop takes.
	round time.Duration
}

func (b busyness) answerTime() time.Duration {
	if b.varies {
		return rand.N(b.answer + 1)
	}
	return b.answer
}

func (w *fakeCluster) setBusy(h *fakeHost, b busyness) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.busy[h.name] = b
}

func (w *fakeCluster) busyness(h *fakeHost) busyness {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.busy[h.name]
}

// lateTimers are the timers of a host that may be short of processor time.
type lateTimers struct {
	*timer.System
	port *fakePort
}

func (s *lateTimers) After(wait time.Duration) *timer.Subscription {
	return s.System.After(wait + s.port.cluster.busyness(s.port.host).timers)
}

// TestBusyOwnerKeepsTheCell guards against the takeover from a live owner that answers
// pings late, or handles the responses to its renewals late.
func TestBusyOwnerKeepsTheCell(t *testing.T) {
	const round = 500 * time.Millisecond
	for name, b := range map[string]busyness{
		"answers late":                 {answer: time.Second, round: round},
		"answers at varying times":     {answer: time.Second, varies: true, round: round},
		"renews late":                  {answer: 400 * time.Millisecond, response: 400 * time.Millisecond, round: round},
		"answers late and renews late": {answer: time.Second, response: 400 * time.Millisecond, round: round},
	} {
		t.Run(name, func(t *testing.T) {
			withCluster(t, func(t *testing.T, w *fakeCluster, first *fakeHost) {
				w.setBusy(first, b)
				time.Sleep(30 * time.Second)
				if row := w.ownerRow(); row.Epoch != 1 {
					t.Errorf("epoch %d after 30 s: a live owner was replaced", row.Epoch)
				}
			})
		})
	}
}

// TestBusyHostReplacesNoOwner guards against a host that takes the cell over, since it
// handles the answers of a live owner late itself.
func TestBusyHostReplacesNoOwner(t *testing.T) {
	for name, owner := range map[string]busyness{
		"idle owner": {},
		"busy owner": {answer: 200 * time.Millisecond, response: 400 * time.Millisecond, round: 500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			withCluster(t, func(t *testing.T, w *fakeCluster, first *fakeHost) {
				w.setBusy(first, owner)
				for _, h := range w.order {
					if h != first {
						w.setBusy(h, busyness{response: 500 * time.Millisecond, timers: 300 * time.Millisecond})
					}
				}
				time.Sleep(30 * time.Second)
				if row := w.ownerRow(); row.Epoch != 1 {
					t.Errorf("epoch %d after 30 s: a live owner was replaced", row.Epoch)
				}
			})
		})
	}
}

// TestOwnerKeepsTheCellWhenLoadsVary guards against the takeover from a live owner
// while the owner and the other hosts become slow and fast again every second.
func TestOwnerKeepsTheCellWhenLoadsVary(t *testing.T) {
	const runs, changes = 12, 30
	for run := range runs {
		withCluster(t, func(t *testing.T, w *fakeCluster, first *fakeHost) {
			random := rand.New(rand.NewPCG(31, uint64(run)))
			below := func(limit time.Duration) time.Duration { return time.Duration(random.Int64N(int64(limit) + 1)) }
			const half = 500 * time.Millisecond
			for range changes {
				for _, h := range w.order {
					b := busyness{response: below(half), timers: below(half)}
					if h == first {
						b = busyness{answer: below(2 * half), response: below(half), round: below(half)}
					}
					w.setBusy(h, b)
				}
				time.Sleep(time.Second)
			}
			if row := w.ownerRow(); row.Epoch != 1 {
				t.Errorf("run %d: epoch %d: a live owner was replaced", run, row.Epoch)
			}
		})
	}
}

// TestBusyOwnerThatFailsIsReplaced checks that an owner whose answers were late is
// replaced early enough for the leases of its workers.
func TestBusyOwnerThatFailsIsReplaced(t *testing.T) {
	withCluster(t, func(t *testing.T, w *fakeCluster, first *fakeHost) {
		w.setBusy(first, busyness{answer: time.Second, varies: true, round: 500 * time.Millisecond})
		time.Sleep(10 * time.Second)
		w.setCut(first, true, append(w.otherHosts(first), storeName)...)
		t.Logf("took %v", awaitSuccessor(t, w, takeoverLimit+600*time.Millisecond))
	})
}
