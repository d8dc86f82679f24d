package host

import (
	"testing"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/election"
	"cicadabarrow.example/cicadabarrow/internal/message"
)

// replaceOwner cuts the owner off, and returns how long it took until the row
// named another owner.
func (w *fakeCluster) replaceOwner(t *testing.T) time.Duration {
	t.Helper()
	row := w.ownerRow()
	for _, h := range w.order {
		if h.addr == row.Addr {
			w.setCut(h, true, append(w.otherHosts(h), storeName)...)
		}
	}
	begin := time.Now()
	for w.ownerRow().Epoch == row.Epoch {
		if time.Since(begin) > 10*time.Second {
			t.Fatalf("epoch %d was not replaced", row.Epoch)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(begin)
}

// TestOwnerTimeoutResetsAfterHealthyTenure checks that short tenures no longer
// delay a takeover after an owner that has lasted for a minute.
func TestOwnerTimeoutResetsAfterHealthyTenure(t *testing.T) {
	withCluster(t, func(t *testing.T, w *fakeCluster, _ *fakeHost) {
		w.replaceOwner(t)
		time.Sleep(time.Second)
		w.replaceOwner(t)
		time.Sleep(time.Minute)
		if took := w.replaceOwner(t); took > takeoverLimit {
			t.Errorf("replaced after %v", took)
		}
	})
}

// TestReleasedTenureIsNotCountedAsShort checks that the tenure of an owner
// which released the cell does not count as short, however soon the next owner
// follows.
func TestReleasedTenureIsNotCountedAsShort(t *testing.T) {
	withCluster(t, func(t *testing.T, w *fakeCluster, first *fakeHost) {
		for _, h := range w.order {
			if h == first {
				continue
			}
			row := w.ownerRow()
			row.Released = true
			h.host.applyState(election.State{Owner: row, Version: 1})
			h.host.applyPong(message.OwnerPong{
				OwnerAddr: first.addr, OwnerIncarnation: "later/1", Epoch: row.Epoch + 1,
			})
			if got := h.host.shortTenures(); got != 0 {
				t.Errorf("%s counts %d short tenures", h.name, got)
			}
		}
	})
}

// A process gives the owner of the cell more memory, and has to learn of both the begin
// and the end of a tenure.
func TestProcessLearnsOfTheTenuresOfItsHost(t *testing.T) {
	withCluster(t, func(t *testing.T, w *fakeCluster, first *fakeHost) {
		check := func(owner *fakeHost) {
			t.Helper()
			for _, h := range w.order {
				if owning := h.owning.Load(); owning != (h == owner) {
					t.Errorf("%s: owning %v; the owner is %s", h.name, owning, owner.name)
				}
			}
		}
		check(first)
		first.host.Leave(t.Context())
		time.Sleep(takeoverLimit)
		owners := w.owners()
		if len(owners) != 1 || owners[0] == first {
			t.Fatalf("%d owners after the release", len(owners))
		}
		check(owners[0])
	})
}
