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

// errRefused is the error of a call to a process that has exited.
var errRefused = fmt.Errorf("dial: %w", syscall.ECONNREFUSED)

// takeoverLimit is the time in which a new owner has to hold the workers after
// its predecessor has failed.
const takeoverLimit = 1500 * time.Millisecond

// withCluster runs a test in virtual time on a cluster of five hosts and three
// workers, once its first owner has had 2 s to hold all workers.
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

// awaitSuccessor waits until all workers except the given ones have got a hold
// call of the second epoch, and returns how long that took.
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
	t.Fatalf("no successor made hold calls to the workers within %v", within)
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

// isolateWithOneWorker cuts links so that one host reaches only w0, and all
// other hosts only the other workers. The host then cannot learn of a later
// epoch from a worker that fences it.
func (w *fakeCluster) isolateWithOneWorker(to *fakeHost) {
	for _, h := range w.order {
		if h != to {
			w.setCut(h, true, "w0")
		}
	}
	w.setCut(to, true, "w1", "w2")
}

// TestOwnerCutFromStoreLearnsOfItsSuccessor checks that an owner which reaches
// its peers but not the store learns from its successor that it was replaced,
// even if no worker fences it.
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

// TestIsolatedOwnerEndsBeforeItsLeaseIsOver covers an owner that is cut from
// the store and from its peers, but reaches a worker that its successor does not
// reach. It has to make its last hold call to the worker so early that the lease
// of the worker ends before the successor assumes that it has ended.
func TestIsolatedOwnerEndsBeforeItsLeaseIsOver(t *testing.T) {
	withCluster(t, func(t *testing.T, w *fakeCluster, first *fakeHost) {
		w.setCut(first, true, append(w.otherHosts(first), storeName)...)
		w.isolateWithOneWorker(first)
		awaitSuccessor(t, w, takeoverLimit, "w0")
		takenOverAt := time.Now()
		time.Sleep(20 * time.Second)
		const lease, waited = 3300 * time.Millisecond, 8 * time.Second
		if last := w.lastHold("w0", 1).Sub(takenOverAt); last+lease > waited {
			t.Errorf("the old owner made a hold call to a worker %v after the takeover", last)
		}
	})
}

// TestOwnerSurvivesStoreOutage checks that the owner continues, and goes on making
// hold calls to the workers, while the store is unavailable to all hosts and one
// host is down.
func TestOwnerSurvivesStoreOutage(t *testing.T) {
	withCluster(t, func(t *testing.T, w *fakeCluster, first *fakeHost) {
		for _, h := range w.order {
			w.setCut(h, true, storeName)
		}
		w.stop(w.lastOtherThan(first))
		time.Sleep(30 * time.Second)
		if owners := w.owners(); len(owners) != 1 || owners[0] != first {
			t.Fatalf("%d owners while the store is unavailable", len(owners))
		}
		if age := time.Since(w.lastHold("w0", 1)); age > 2*time.Second {
			t.Errorf("the last hold call to a worker was %v ago", age)
		}
	})
}

// TestHostStartsDuringStoreOutage checks that a host which starts while the
// store is unavailable learns from its seeds who the owner is.
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
			t.Errorf("the known owner is at %v", known.addr)
		}
	})
}

// TestLostCommitAnswersDoNotStopRenewals checks that an owner keeps renewing
// its row when the store applies all commits but loses every second answer.
func TestLostCommitAnswersDoNotStopRenewals(t *testing.T) {
	withCluster(t, func(t *testing.T, w *fakeCluster, first *fakeHost) {
		w.mu.Lock()
		w.loseCommitEvery = 2
		w.mu.Unlock()
		for range 200 {
			time.Sleep(50 * time.Millisecond)
			ready := first.host.readyOwner()
			if ready == nil {
				t.Fatal("the owner was replaced")
			}
			if age := ready.SinceRenewal(); age > takeoverLimit {
				t.Fatalf("the owner's row was renewed %v ago", age)
			}
		}
	})
}

// TestOwnerLearnsOfItsSuccessorFromPings checks that an owner which reaches
// neither the store nor its successor ends when another host pings it with a
// later epoch. Its own epoch in a ping must not end it.
func TestOwnerLearnsOfItsSuccessorFromPings(t *testing.T) {
	withCluster(t, func(t *testing.T, _ *fakeCluster, first *fakeHost) {
		first.host.pong(message.HostPing{Addr: first.addr, KnownEpoch: 1})
		if err := first.host.readyOwner().Err(); err != nil {
			t.Fatalf("a ping with its own epoch has ended the owner: %v", err)
		}
		first.host.pong(message.HostPing{Addr: first.addr, KnownEpoch: 2})
		if ready := first.host.readyOwner(); ready != nil && ready.Err() == nil {
			t.Error("the replaced owner has not ended")
		}
	})
}
