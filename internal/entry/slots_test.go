package entry

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/lease"
	"cicadabarrow.example/cicadabarrow/internal/message"
	"cicadabarrow.example/cicadabarrow/internal/peer"
	"cicadabarrow.example/cicadabarrow/internal/platform"
	"cicadabarrow.example/cicadabarrow/internal/timer"
	"cicadabarrow.example/cicadabarrow/internal/upstream"
)

// fakeNeighbour is a peer that records the messages that it gets.
type fakeNeighbour struct {
	mu       sync.Mutex
	loads    map[lease.Unit]upstream.Load
	received []message.FreeSlots
	dead     bool
	calls    int
}

func (n *fakeNeighbour) Loads() map[lease.Unit]upstream.Load {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.loads
}

// reset sets the load of the only group and clears the number of calls.
func (n *fakeNeighbour) reset(l upstream.Load, dead bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loads, n.dead, n.calls = map[lease.Unit]upstream.Load{"upstreams-a-0": l}, dead, 0
}

// result returns the number of calls since the last reset and the last message.
func (n *fakeNeighbour) result() (int, message.GroupSlots) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.calls, n.received[len(n.received)-1].Groups[0]
}

func (n *fakeNeighbour) Peers() []lease.Peer {
	return []lease.Peer{{Incarnation: "b", Name: "entry-01"}}
}

func (n *fakeNeighbour) Call(_ context.Context, _ netip.AddrPort, m peer.Message) (peer.Message, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.calls++
	if n.dead {
		return peer.Message{}, context.DeadlineExceeded
	}
	r, err := message.DecodeFreeSlots(m)
	n.received = append(n.received, r)
	return message.EncodeFreeSlotsAck(message.FreeSlotsAck{}), err
}

func (n *fakeNeighbour) Hello(context.Context, netip.AddrPort) (peer.Host, error) {
	return peer.Host{}, nil
}

// TestSmallSlotChangesAreNotSent counts the messages in an hour after no change, a
// small change and significant changes, and those to an unreachable neighbour.
func TestSmallSlotChangesAreNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &fakeNeighbour{}
		n.reset(upstream.Load{Slots: 32, Running: 4}, false)
		r := NewSlotTracker(n, n, n, timer.NewSystem())
		defer r.Close()
		for _, step := range []struct {
			load  upstream.Load
			calls int
		}{
			{upstream.Load{Slots: 32, Running: 4}, 1},
			{upstream.Load{Slots: 32, Running: 9}, 0},
			{upstream.Load{Slots: 32, Running: 16}, 1},
			{upstream.Load{Slots: 32, Running: 32}, 1},
			{upstream.Load{Slots: 32, Running: 32, Waiting: 3}, 1},
		} {
			n.reset(step.load, false)
			time.Sleep(time.Hour)
			synctest.Wait()
			if calls, _ := n.result(); calls != step.calls {
				t.Errorf("%+v: %d calls, not %d", step.load, calls, step.calls)
			}
		}
		if _, last := n.result(); last.Free != 0 || last.Waiting != 3 {
			t.Errorf("the last message is %+v", last)
		}
		n.reset(upstream.Load{Slots: 32}, true)
		time.Sleep(time.Minute)
		synctest.Wait()
		most := int(time.Minute/slotsPause) + 1
		if calls, _ := n.result(); calls == 0 || calls > most {
			t.Errorf("a dead neighbour was called %d times in a minute; at most %d are allowed", calls, most)
		}
	})
}

// TestOrderPrefersFreeSlots orders three groups for a thousand requests: the full
// group must come last, and the one with more free slots first.
func TestOrderPrefersFreeSlots(t *testing.T) {
	first := make(map[lease.Unit]int)
	for n := range 1000 {
		units := []lease.Unit{"full", "some", "much"}
		orderByFreeSlots(units, map[lease.Unit]int{"full": -3, "some": 4, "much": 20}, fmt.Sprint(n))
		first[units[0]]++
		if units[2] != "full" {
			t.Fatalf("the full group came at %d", slices.Index(units, "full"))
		}
	}
	if first["much"] != 1000 {
		t.Errorf("first: %v", first)
	}
}

// TestForwardedRequestsReduceFreeSlots forwards requests to a group faster than its
// owner sends its free slots.
func TestForwardedRequestsReduceFreeSlots(t *testing.T) {
	r := &SlotTracker{known: make(map[lease.Unit]*groupSlots)}
	r.Receive(message.FreeSlots{Groups: []message.GroupSlots{{Unit: "u", Free: 2}}})
	returned := r.TrackForwarded("u")
	r.TrackForwarded("u")
	if got := r.FreeSlots("u"); got != 0 {
		t.Errorf("%d slots seem free after two requests", got)
	}
	// The second message accounts for both requests; one of them returns.
	r.Receive(message.FreeSlots{Groups: []message.GroupSlots{{Unit: "u", Free: 0}}})
	returned()
	if got := r.FreeSlots("u"); got != 0 {
		t.Errorf("%d slots seem free", got)
	}
}

// TestRemoteDataCentresOrderedByRegion checks that data centres of the same region
// come first and that one that has just refused a request is left out.
func TestRemoteDataCentresOrderedByRegion(t *testing.T) {
	now := time.Unix(0, 0)
	var hosts []platform.Host
	for _, p := range []Location{
		{"minami", "minami-kago"}, {"kita", "kita-kokura"}, {"kita", "kita-hakata"}, {"kita", "kita-empty"},
	} {
		addr := netip.MustParseAddrPort("127.0.0.1:1")
		hosts = append(hosts, platform.Host{Role: platform.RoleEntry, Region: p.Region, DataCentre: p.DataCentre, Addr: addr})
		if p.DataCentre != "kita-empty" {
			hosts = append(hosts, platform.Host{
				Role: platform.RoleUpstream, Region: p.Region, DataCentre: p.DataCentre, Service: "escrow-desk",
			})
		}
	}
	a := NewRemoteDataCentres(Location{Region: "kita", DataCentre: "kita-hakata"})
	names := func(at time.Time) (out []string) {
		for _, c := range a.candidates(hosts, "escrow-desk", at) {
			out = append(out, c.name)
		}
		return out
	}
	if got := names(now); !slices.Equal(got, []string{"kita-kokura", "minami-kago"}) {
		t.Errorf("order %v", got)
	}
	a.markFull("kita-kokura", 4*time.Second, now)
	if got := names(now.Add(time.Second)); !slices.Equal(got, []string{"minami-kago"}) {
		t.Errorf("after a refusal: %v", got)
	}
	if got := names(now.Add(6 * time.Second)); len(got) != 2 {
		t.Errorf("six seconds after a refusal for four: %v", got)
	}
}
