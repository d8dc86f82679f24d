package host

import (
	"net/netip"
	"testing"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/message"
)

// slowFullRead is how long a successor on a weak host reads the store before it
// is ready.
const slowFullRead = 2500 * time.Millisecond

// failureModes returns the ways in which the tests make an owner fail.
func failureModes() map[string]func(w *fakeCluster, owner *fakeHost) {
	return map[string]func(*fakeCluster, *fakeHost){
		"killed": func(w *fakeCluster, owner *fakeHost) { w.stop(owner) },
		"silent": func(w *fakeCluster, owner *fakeHost) {
			w.setCut(owner, true, append(w.otherHosts(owner), storeName)...)
		},
		"cut from the store": func(w *fakeCluster, owner *fakeHost) { w.setCut(owner, true, storeName) },
	}
}

// TestSuccessorIsNotReplacedDuringTakeover guards against hosts that replace a
// successor while it still reads the store: each takeover would then start over
// on another host, and no owner would become ready.
func TestSuccessorIsNotReplacedDuringTakeover(t *testing.T) {
	for name, fail := range failureModes() {
		t.Run(name, func(t *testing.T) {
			withCluster(t, func(t *testing.T, w *fakeCluster, first *fakeHost) {
				w.setFullReadTime(slowFullRead)
				fail(w, first)
				time.Sleep(slowFullRead + 2*takeoverLimit)
				if epoch := w.ownerRow().Epoch; epoch != 2 {
					t.Errorf("epoch %d; a single successor would have epoch 2", epoch)
				}
				if w.lastHold("w0", 2).IsZero() {
					t.Error("the first successor has made no hold call to the worker")
				}
			})
		})
	}
}

// duringTakeover runs a test takeoverLimit after the owner was cut off, while
// its successor still reads the store.
func duringTakeover(t *testing.T, test func(t *testing.T, w *fakeCluster, successor *fakeHost)) {
	withCluster(t, func(t *testing.T, w *fakeCluster, first *fakeHost) {
		w.setFullReadTime(slowFullRead)
		w.setCut(first, true, append(w.otherHosts(first), storeName)...)
		time.Sleep(takeoverLimit)
		row := w.ownerRow()
		for _, h := range w.order {
			if row.Epoch == 2 && h.addr == row.Addr {
				test(t, w, h)
				return
			}
		}
		t.Fatalf("no takeover: %+v", row)
	})
}

// TestSuccessorGrantsNothingBeforeTheStoreIsRead checks that a successor which
// still reads the store answers pings and renews its row, but makes no hold call
// to a worker.
func TestSuccessorGrantsNothingBeforeTheStoreIsRead(t *testing.T) {
	duringTakeover(t, func(t *testing.T, w *fakeCluster, successor *fakeHost) {
		pong := successor.host.pong(message.HostPing{})
		if row := w.ownerRow(); !pong.Owning || pong.SinceRenewal > fakeOwnerTimeout || row.TransactionNumber == 0 {
			t.Errorf("the successor is not healthy: %+v, row %+v", pong, row)
		}
		if successor.host.readyOwner() != nil || !w.lastHold("w0", 2).IsZero() {
			t.Error("the successor is ready before it has read the store")
		}
	})
}

// TestTakeoverEndsOnALaterEpoch checks that a successor which learns of a later
// epoch from a ping gives up, and does not become ready after its reads.
func TestTakeoverEndsOnALaterEpoch(t *testing.T) {
	duringTakeover(t, func(t *testing.T, w *fakeCluster, successor *fakeHost) {
		if pong := successor.host.pong(message.HostPing{KnownEpoch: 3}); pong.Owning {
			t.Error("a replaced successor answers as the owner")
		}
		time.Sleep(slowFullRead)
		if !w.lastHold("w0", 2).IsZero() {
			t.Error("a replaced successor has made a hold call to a worker")
		}
	})
}

// TestLeavingHostReleasesTheCellDuringTakeover checks that a successor which is
// asked to leave releases the cell at once. The owner before it is only cut off
// and may still grant leases, so the released row must not claim that earlier
// owners have ended: the next owner has to wait for their leases.
func TestLeavingHostReleasesTheCellDuringTakeover(t *testing.T) {
	duringTakeover(t, func(t *testing.T, w *fakeCluster, successor *fakeHost) {
		begin := time.Now()
		successor.host.Leave(t.Context())
		if took := time.Since(begin); took > 100*time.Millisecond {
			t.Errorf("leaving took %v", took)
		}
		if row := w.ownerRow(); !row.Released || row.PredecessorsEnded {
			t.Errorf("row %+v", row)
		}
		time.Sleep(takeoverLimit)
		if row := w.ownerRow(); row.Epoch != 3 || row.PredecessorsEnded {
			t.Errorf("row %+v after the release", row)
		}
	})
}

// TestHostKilledDuringTakeoverIsReplaced checks that a successor which is
// killed before it is ready is replaced like any owner.
func TestHostKilledDuringTakeoverIsReplaced(t *testing.T) {
	duringTakeover(t, func(t *testing.T, w *fakeCluster, successor *fakeHost) {
		w.stop(successor)
		time.Sleep(takeoverLimit)
		if row := w.ownerRow(); row.Epoch != 3 || row.PredecessorsEnded {
			t.Errorf("row %+v after the kill", row)
		}
	})
}

// TestTakeoverWithFailingReadsReleasesTheCell checks that a successor whose
// reads fail releases the cell, and that another host takes it over.
func TestTakeoverWithFailingReadsReleasesTheCell(t *testing.T) {
	duringTakeover(t, func(t *testing.T, w *fakeCluster, successor *fakeHost) {
		w.failReads(successor)
		time.Sleep(takeoverLimit)
		w.setFullReadTime(0)
		time.Sleep(takeoverLimit)
		if row := w.ownerRow(); row.Epoch != 3 || row.Addr == successor.addr {
			t.Errorf("row %+v", row)
		}
		if w.lastHold("w0", 3).IsZero() {
			t.Error("the next owner has made no hold call to the worker")
		}
	})
}

// TestLostCommitAnswersDoNotEndTakeover checks that a takeover completes
// although the answer to every second commit is lost.
func TestLostCommitAnswersDoNotEndTakeover(t *testing.T) {
	duringTakeover(t, func(t *testing.T, w *fakeCluster, successor *fakeHost) {
		w.mu.Lock()
		w.loseCommitEvery = 2
		w.mu.Unlock()
		time.Sleep(slowFullRead)
		if row := w.ownerRow(); row.Epoch != 2 || successor.host.readyOwner() == nil {
			t.Errorf("row %+v", row)
		}
	})
}

// TestLostReadAnswersDoNotDelayTakeover checks that a takeover takes no more
// than a second or two when a third of the answers to reads are lost. If lost
// reads were not retried early, a single one would delay the takeover up to its
// timeout.
func TestLostReadAnswersDoNotDelayTakeover(t *testing.T) {
	withCluster(t, func(t *testing.T, w *fakeCluster, first *fakeHost) {
		w.mu.Lock()
		w.loseReadEvery = 3
		w.mu.Unlock()
		w.stop(first)
		t.Logf("took %v", awaitSuccessor(t, w, 2*takeoverLimit))
	})
}

// TestReadsAreRetriedWhenAllAnswersAreLost loses the answers to all reads for a
// second. The reads must be retried once the store answers again.
func TestReadsAreRetriedWhenAllAnswersAreLost(t *testing.T) {
	withCluster(t, func(t *testing.T, w *fakeCluster, first *fakeHost) {
		w.mu.Lock()
		w.loseReadEvery = 1
		w.mu.Unlock()
		w.stop(first)
		time.Sleep(time.Second)
		w.mu.Lock()
		w.loseReadEvery = 0
		w.mu.Unlock()
		t.Logf("took %v after the store answered again", awaitSuccessor(t, w, 3*time.Second))
	})
}

// TestHostCountSurvivesTakeover guards against a host count that is too low
// after a takeover. A new owner has not yet received a ping from most hosts and
// reports few of them. Its peers must keep the larger count for
// membersSettleTime, since an owner ends its tenure depending on how many of
// the other hosts it can reach.
func TestHostCountSurvivesTakeover(t *testing.T) {
	duringTakeover(t, func(t *testing.T, w *fakeCluster, successor *fakeHost) {
		var peer *fakeHost
		for _, h := range w.order {
			if h != successor && h.host.knownOwner().epoch == 2 {
				peer = h
			}
		}
		pong := message.OwnerPong{Owning: true, Epoch: 3, OwnerAddr: successor.addr, Hosts: []netip.AddrPort{peer.addr}}
		peer.host.applyPong(pong)
		if n := peer.host.otherHosts(); n < 3 {
			t.Errorf("%d other hosts at the beginning of an epoch", n)
		}
		time.Sleep(membersSettleTime)
		peer.host.applyPong(pong)
		if n := peer.host.otherHosts(); n != 1 {
			t.Errorf("%d other hosts later on", n)
		}
	})
}

// TestSlowRenewalsDoNotCauseEndlessTakeovers cuts all hosts from each other
// while every renewal takes 700 ms, which is longer than the owner timeout. Each
// owner then still renews its row, but too late for its peers, whose pings do not
// reach it. Owners must not replace one another endlessly.
func TestSlowRenewalsDoNotCauseEndlessTakeovers(t *testing.T) {
	withCluster(t, func(t *testing.T, w *fakeCluster, _ *fakeHost) {
		for _, h := range w.order {
			w.setCut(h, true, w.otherHosts(h)...)
		}
		w.mu.Lock()
		w.renewalTime = 700 * time.Millisecond
		w.mu.Unlock()
		time.Sleep(20 * time.Second)
		before := w.ownerRow().Epoch
		time.Sleep(20 * time.Second)
		if after := w.ownerRow().Epoch; after != before {
			t.Errorf("%d takeovers in 20 s", after-before)
		}
	})
}
