package host

import (
	"fmt"
	"net/netip"
	"slices"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/message"
)

// errRefused is what a call to a process that has ended gives.
var errRefused = fmt.Errorf("dial: %w", syscall.ECONNREFUSED)

// takeoverLimit is when a new owner has to give orders.
const takeoverLimit = 1500 * time.Millisecond

// withCluster runs a test on five hosts and three workers in virtual time, once the
// first owner holds all workers.
func withCluster(t *testing.T, test func(t *testing.T, w *fakeCluster, first *fakeHost)) {
	synctest.Test(t, func(t *testing.T) {
		w := newFakeCluster(5, 3)
		defer w.stopAll()
		for _, h := range w.order {
			w.start(h)
		}
		time.Sleep(2 * time.Second)
		owners := w.owners()
		if len(owners) != 1 {
			t.Fatalf("%d owners", len(owners))
		}
		test(t, w, owners[0])
	})
}

// awaitSuccessor waits until all workers but those excepted were held in the
// second epoch, and returns how long that took.
func awaitSuccessor(t *testing.T, w *fakeCluster, within time.Duration, except ...string) time.Duration {
	t.Helper()
	const epoch = 2
	begin := time.Now()
	for time.Since(begin) < within {
		all := true
		for _, id := range workerIDs(w.workers) {
			skip := slices.Contains(except, string(id))
			all = all && (skip || !w.lastHold(id, epoch).IsZero())
		}
		if all {
			return time.Since(begin)
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("no successor held the workers within %v", within)
	return 0
}

func TestKilledOwnerIsReplaced(t *testing.T) {
	withCluster(t, func(t *testing.T, w *fakeCluster, first *fakeHost) {
		w.stop(first)
		t.Logf("took %v", awaitSuccessor(t, w, takeoverLimit))
	})
}

func TestSilentOwnerIsReplaced(t *testing.T) {
	withCluster(t, func(t *testing.T, w *fakeCluster, first *fakeHost) {
		w.setCut(first, true, append(w.otherHosts(first), storeName)...)
		t.Logf("took %v", awaitSuccessor(t, w, takeoverLimit))
	})
}

// isolateWithOneWorker cuts things so that w0 is reached by one host and the other
// workers by all others, and no fence can tell that host anything.
func (w *fakeCluster) isolateWithOneWorker(to *fakeHost) {
	for _, h := range w.order {
		if h != to {
			w.setCut(h, true, "w0")
		}
	}
	w.setCut(to, true, "w1", "w2")
}

// An owner that reaches its peers but not the store learns from its successor
// that it was replaced, also while it does not meet a fence.
func TestOwnerCutFromStoreLearnsOfItsSuccessor(t *testing.T) {
	withCluster(t, func(t *testing.T, w *fakeCluster, first *fakeHost) {
		w.setCut(first, true, storeName)
		w.isolateWithOneWorker(first)
		awaitSuccessor(t, w, 3*time.Second, "w0")
		time.Sleep(time.Second)
		if owners := w.owners(); len(owners) != 1 || owners[0] == first {
			t.Errorf("%d owners after the takeover", len(owners))
		}
	})
}

// An owner that is cut from the store and from its peers may hold a worker that
// its successor does not reach. It has to end before the successor takes the
// lease there to be over.
func TestIsolatedOwnerEndsBeforeItsLeaseIsOver(t *testing.T) {
	withCluster(t, func(t *testing.T, w *fakeCluster, first *fakeHost) {
		w.setCut(first, true, append(w.otherHosts(first), storeName)...)
		w.isolateWithOneWorker(first)
		awaitSuccessor(t, w, takeoverLimit, "w0")
		taken := time.Now()
		time.Sleep(20 * time.Second)
		const lease, waited = 3300 * time.Millisecond, 8 * time.Second
		if last := w.lastHold("w0", 1).Sub(taken); last+lease > waited {
			t.Errorf("the old owner still held a worker %v after the takeover", last)
		}
	})
}

// While the store is away for all hosts, the owner goes on.
func TestOwnerSurvivesStoreOutage(t *testing.T) {
	withCluster(t, func(t *testing.T, w *fakeCluster, first *fakeHost) {
		for _, h := range w.order {
			w.setCut(h, true, storeName)
		}
		w.stop(w.lastOtherThan(first))
		time.Sleep(30 * time.Second)
		if owners := w.owners(); len(owners) != 1 || owners[0] != first {
			t.Fatalf("%d owners while the store is away", len(owners))
		}
		if silent := time.Since(w.lastHold("w0", 1)); silent > 2*time.Second {
			t.Errorf("the workers were last held %v ago", silent)
		}
	})
}

// A host that starts while the store is away learns from its seeds who the owner
// is.
func TestHostStartsDuringStoreOutage(t *testing.T) {
	withCluster(t, func(t *testing.T, w *fakeCluster, first *fakeHost) {
		late := w.lastOtherThan(first)
		w.stop(late)
		for _, h := range w.order {
			w.setCut(h, true, storeName)
		}
		w.seeds = []netip.AddrPort{w.order[0].addr, w.order[1].addr}
		w.start(late)
		time.Sleep(5 * time.Second)
		if known := late.host.knownOwner(); known.addr != first.addr {
			t.Errorf("the owner is taken to be at %v", known.addr)
		}
	})
}

// A store that carries writes out and loses every second answer keeps no owner
// from renewing its row.
func TestLostCommitAnswersDoNotStopRenewals(t *testing.T) {
	withCluster(t, func(t *testing.T, w *fakeCluster, first *fakeHost) {
		w.mu.Lock()
		w.loseCommitEvery = 2
		w.mu.Unlock()
		for range 200 {
			time.Sleep(50 * time.Millisecond)
			own := first.host.readyOwner()
			if own == nil {
				t.Fatal("the owner was replaced")
			}
			if silent := own.Renewed(); silent > takeoverLimit {
				t.Fatalf("the owner's row was renewed %v ago", silent)
			}
		}
	})
}

// An owner that reaches neither the store nor its successor learns of it from a
// host that has read who the owner is.
func TestOwnerLearnsOfItsSuccessorFromPings(t *testing.T) {
	withCluster(t, func(t *testing.T, _ *fakeCluster, first *fakeHost) {
		first.host.pong(message.HostPing{Addr: first.addr, KnownEpoch: 1})
		if err := first.host.readyOwner().Err(); err != nil {
			t.Fatalf("its own epoch ends the owner: %v", err)
		}
		first.host.pong(message.HostPing{Addr: first.addr, KnownEpoch: 2})
		if own := first.host.readyOwner(); own != nil && own.Err() == nil {
			t.Error("the old owner goes on")
		}
	})
}
