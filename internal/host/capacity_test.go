package host

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/election"
)

var (
	weakHost   = election.Capacity{Cores: 0.192, LinkMbps: 10}
	strongHost = election.Capacity{Cores: 0.8, LinkMbps: 200}
)

// TestStrongHostTakesOverFirst fails a weak owner in a cell of weak hosts and
// one strong host. The hosts start at random times, so that the pings of the
// strong host fall anywhere in their period. The strong host must take over
// each time.
func TestStrongHostTakesOverFirst(t *testing.T) {
	const runs = 40
	for name, fail := range failureModes() {
		t.Run(name, func(t *testing.T) {
			weakOwners := 0
			for run := range runs {
				synctest.Test(t, func(t *testing.T) {
					if !strongHostTakesOver(rand.New(rand.NewPCG(16, uint64(run))), fail) {
						weakOwners++
					}
				})
			}
			if weakOwners > 0 {
				t.Errorf("a weak host took over in %d of %d runs", weakOwners, runs)
			}
		})
	}
}

// strongHostTakesOver fails the owner once and reports whether the strong host
// owns the cell 3 s later.
func strongHostTakesOver(random *rand.Rand, fail func(*fakeCluster, *fakeHost)) bool {
	w := newFakeCluster(6, 1)
	defer w.stopAll()
	strong := w.order[len(w.order)-1]
	for _, h := range w.order {
		h.capacity = weakHost
		if h == strong {
			h.capacity = strongHost
			time.Sleep(2 * time.Second)
		}
		time.Sleep(time.Duration(random.Int64N(int64(pingInterval))))
		w.start(h)
	}
	time.Sleep(2*time.Second + time.Duration(random.Int64N(int64(pingInterval))))
	fail(w, w.owners()[0])
	time.Sleep(3 * time.Second)
	return w.ownerRow().Addr == strong.addr
}

// TestWeakHostsTakeOverInTime fails the owner of a cell that has only weak
// hosts. One of them must take over within twice the usual limit.
func TestWeakHostsTakeOverInTime(t *testing.T) {
	for name, fail := range failureModes() {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newFakeCluster(5, 3)
				defer w.stopAll()
				for _, h := range w.order {
					h.capacity = weakHost
					w.start(h)
				}
				time.Sleep(2 * time.Second)
				fail(w, w.owners()[0])
				t.Logf("took %v", awaitSuccessor(t, w, 2*takeoverLimit))
			})
		})
	}
}
