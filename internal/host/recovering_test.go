package host

import (
	"net/netip"
	"testing"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/message"
)

// slowFullRead is how long a successor on a weak host reads before it decides.
const slowFullRead = 2500 * time.Millisecond

// failureModes are the ways in which an owner is lost.
func failureModes() map[string]func(w *fakeCluster, owner *fakeHost) {
	return map[string]func(*fakeCluster, *fakeHost){
		"killed": func(w *fakeCluster, owner *fakeHost) { w.stop(owner) },
		"silent": func(w *fakeCluster, owner *fakeHost) {
			w.setCut(owner, true, append(w.otherHosts(owner), storeName)...)
		},
		"cut from the store": func(w *fakeCluster, owner *fakeHost) { w.setCut(owner, true, storeName) },
	}
}

// A takeover that others cut short begins anew elsewhere, and nobody decides.
func TestSuccessorIsNotReplacedDuringTakeover(t *testing.T) {
	for name, lose := range failureModes() {
		t.Run(name, func(t *testing.T) {
			withCluster(t, func(t *testing.T, w *fakeCluster, first *fakeHost) {
				w.setFullReadTime(slowFullRead)
				lose(w, first)
				time.Sleep(slowFullRead + 2*takeoverLimit)
				if epoch := w.ownerRow().Epoch; epoch != 2 {
					t.Errorf("epoch %d where one successor should be at work", epoch)
				}
				if w.lastHold("w0", 2).IsZero() {
					t.Error("the first successor has held no worker")
				}
			})
		})
	}
}

// duringTakeover runs a test a second after the owner has become silent, while its
// successor still reads.
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

func TestSuccessorGrantsNothingBeforeTheStoreIsRead(t *testing.T) {
	duringTakeover(t, func(t *testing.T, w *fakeCluster, successor *fakeHost) {
		pong := successor.host.pong(message.HostPing{})
		if row := w.ownerRow(); !pong.Owning || pong.SinceRenewal > fakeOwnerTimeout || row.Attempt == 0 {
			t.Errorf("the successor does not look alive: %+v, row %+v", pong, row)
		}
		if successor.host.readyOwner() != nil || !w.lastHold("w0", 2).IsZero() {
			t.Error("the successor decides already")
		}
	})
}

func TestTakeoverEndsOnALaterEpoch(t *testing.T) {
	duringTakeover(t, func(t *testing.T, w *fakeCluster, successor *fakeHost) {
		if pong := successor.host.pong(message.HostPing{KnownEpoch: 3}); pong.Owning {
			t.Error("a replaced successor looks alive")
		}
		time.Sleep(slowFullRead)
		if !w.lastHold("w0", 2).IsZero() {
			t.Error("a replaced successor goes on")
		}
	})
}

// The silent owner may still grant leases, so that whoever comes after the
// release has to wait as long as after the silent owner itself.
func TestLeavingHostReleasesTheCellDuringTakeover(t *testing.T) {
	duringTakeover(t, func(t *testing.T, w *fakeCluster, successor *fakeHost) {
		begin := time.Now()
		successor.host.Leave(t.Context())
		if took := time.Since(begin); took > 100*time.Millisecond {
			t.Errorf("leaving took %v", took)
		}
		if row := w.ownerRow(); !row.Released || row.EarlierEnded {
			t.Errorf("row %+v", row)
		}
		time.Sleep(takeoverLimit)
		if row := w.ownerRow(); row.Epoch != 3 || row.EarlierEnded {
			t.Errorf("row %+v after the release", row)
		}
	})
}

func TestHostKilledDuringTakeoverIsReplaced(t *testing.T) {
	duringTakeover(t, func(t *testing.T, w *fakeCluster, successor *fakeHost) {
		w.stop(successor)
		time.Sleep(takeoverLimit)
		if row := w.ownerRow(); row.Epoch != 3 || row.EarlierEnded {
			t.Errorf("row %+v after the kill", row)
		}
	})
}

// A successor whose reads fail releases its row, and another host is next.
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
			t.Error("the next host holds no worker")
		}
	})
}

// A takeover goes on where each second answer is lost.
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

// A store that loses the answers to a third of the reads holds a takeover up for a
// second or two, where one lost answer would hold it up to its bound.
func TestLostReadAnswersDoNotDelayTakeover(t *testing.T) {
	withCluster(t, func(t *testing.T, w *fakeCluster, first *fakeHost) {
		w.mu.Lock()
		w.loseReadEvery = 3
		w.mu.Unlock()
		w.stop(first)
		t.Logf("took %v", awaitSuccessor(t, w, 2*takeoverLimit))
	})
}

// Reads that all went into a short cut are repeated once the store answers again.
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
		t.Logf("took %v after the cut", awaitSuccessor(t, w, 3*time.Second))
	})
}

// A successor that has just won has not heard from most hosts yet. Its peers must
// not take the cell to be that small: an owner ends by how many it hears from.
func TestHostCountSurvivesTakeover(t *testing.T) {
	duringTakeover(t, func(t *testing.T, w *fakeCluster, successor *fakeHost) {
		var peer *fakeHost
		for _, h := range w.order {
			if h != successor && h.host.knownOwner().epoch == 2 {
				peer = h
			}
		}
		heard := message.OwnerPong{Owning: true, Epoch: 3, OwnerAddr: successor.addr, Hosts: []netip.AddrPort{peer.addr}}
		peer.host.applyPong(heard)
		if n := peer.host.otherHosts(); n < 3 {
			t.Errorf("%d other hosts at the beginning of an epoch", n)
		}
		time.Sleep(membersSettleTime)
		peer.host.applyPong(heard)
		if n := peer.host.otherHosts(); n != 1 {
			t.Errorf("%d other hosts later on", n)
		}
	})
}

// Owners that renew their row in time by their own measure, and do not answer
// pings, must not be replaced one after the other without an end.
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
