package host

import (
	"testing"
	"testing/synctest"
	"time"
)

// After a release the hosts must not wait for their next ping before one of them takes
// over: the cell starts nothing meanwhile. Two pings of the old owner's peers and the
// successor's transaction fit into half of a ping interval.
func TestReleasedCellIsTakenOverBeforeTheNextPing(t *testing.T) {
	withCluster(t, func(t *testing.T, w *fakeCluster, first *fakeHost) {
		first.host.Leave(t.Context())
		t.Logf("took %v", awaitSuccessor(t, w, pingInterval/2))
	})
}

// Of several hosts, the one with the most processor capacity must succeed an owner that
// leaves, although all learn of the release at the same time.
func TestStrongestHostSucceedsAnOwnerThatLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFakeCluster(6, 1)
		defer w.stopAll()
		strong := w.order[len(w.order)-1]
		for _, h := range w.order {
			h.capacity = weakHost
			if h == strong {
				h.capacity = strongHost
				time.Sleep(2 * time.Second)
			}
			w.start(h)
		}
		time.Sleep(3 * time.Second)
		w.owners()[0].host.Leave(t.Context())
		time.Sleep(pingInterval)
		if row := w.ownerRow(); row.Addr != strong.addr {
			t.Errorf("the owner is %s", row.Host)
		}
	})
}

// After all hosts have restarted, the new owner knows the other hosts only from the
// store. It must hear from them at once, as it asks for advice through them.
func TestOwnerFindsTheOtherHostsAfterAllHaveRestarted(t *testing.T) {
	withCluster(t, func(t *testing.T, w *fakeCluster, _ *fakeHost) {
		w.stopAll()
		for _, h := range w.order {
			w.start(h)
		}
		for range 200 {
			if len(w.owners()) > 0 {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		owners := w.owners()
		if len(owners) != 1 {
			t.Fatalf("%d owners", len(owners))
		}
		time.Sleep(10 * peerLatency)
		if known := owners[0].host.advisors.List(); len(known) != len(w.order)-1 {
			t.Errorf("the owner knows %v", known)
		}
	})
}
