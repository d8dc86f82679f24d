package host

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/election"
)

var (
	weakHost   = election.Capacity{Processor: 0.192, Link: 10}
	strongHost = election.Capacity{Processor: 0.8, Link: 200}
)

// TestStrongHostTakesOverFirst loses a weak owner in a cell of weak hosts
// and one strong one, whose pings come at any time of their period.
func TestStrongHostTakesOverFirst(t *testing.T) {
	const plays = 40
	for name, lose := range failureModes() {
		t.Run(name, func(t *testing.T) {
			others := 0
			for play := range plays {
				synctest.Test(t, func(t *testing.T) {
					if !strongHostTakesOver(rand.New(rand.NewPCG(16, uint64(play))), lose) {
						others++
					}
				})
			}
			if others > 0 {
				t.Errorf("a weak host took over in %d of %d plays", others, plays)
			}
		})
	}
}

// strongHostTakesOver plays one loss, and reports whether the strong host owns the
// cell a while later.
func strongHostTakesOver(random *rand.Rand, lose func(*fakeCluster, *fakeHost)) bool {
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
	lose(w, w.owners()[0])
	time.Sleep(3 * time.Second)
	return w.ownerRow().Addr == strong.addr
}

// A cell that has weak hosts only still has a new owner in time.
func TestWeakHostsTakeOverInTime(t *testing.T) {
	for name, lose := range failureModes() {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newFakeCluster(5, 3)
				defer w.stopAll()
				for _, h := range w.order {
					h.capacity = weakHost
					w.start(h)
				}
				time.Sleep(2 * time.Second)
				lose(w, w.owners()[0])
				t.Logf("took %v", awaitSuccessor(t, w, 2*takeoverLimit))
			})
		})
	}
}
