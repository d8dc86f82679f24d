package host

import (
	"math"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cicadabarrow.example/cicadabarrow/internal/timer"
)

// The list of hosts is kept between pings: it must neither keep a host that has ceased to
// ping nor miss one that pings again.
func TestListOfHostsFollowsTheirPings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		timers := timer.NewManual(time.Unix(0, 0))
		advisors := newRemoteAdvisors(nil, timers)
		lastPing := make(map[netip.AddrPort]time.Time)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "ping") {
				host := byte(rapid.IntRange(1, 5).Draw(t, "host"))
				addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, host}), 1)
				advisors.markAlive(addr)
				lastPing[addr] = timers.Now()
			} else {
				timers.Advance(time.Duration(rapid.IntRange(0, 10).Draw(t, "tenths")) * aliveFor / 10)
			}
			var want []netip.AddrPort
			for addr, at := range lastPing {
				if timers.Now().Sub(at) <= aliveFor {
					want = append(want, addr)
				}
			}
			slices.SortFunc(want, netip.AddrPort.Compare)
			if got := advisors.list(); !slices.Equal(got.addrs, want) || got.sum != sumHosts(want) {
				t.Fatalf("at %v: %v with sum %x; want %v", timers.Now().Unix(), got.addrs, got.sum, want)
			}
			if n := advisors.CountActive(aliveFor); n != len(want) {
				t.Fatalf("%d hosts are active; want %d", n, len(want))
			}
		}
	})
}

// A host that claims an impossible capacity must not become the preferred successor, nor
// make the list of hosts be computed anew with each ping, as NaN is not equal to itself.
func TestImpossibleCapacityIsUnknown(t *testing.T) {
	advisors := newRemoteAdvisors(nil, timer.NewManual(time.Unix(0, 0)))
	addr := func(host byte) netip.AddrPort { return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, host}), 1) }
	cores := []float64{math.NaN(), math.Inf(1), 2 * maxCores, -1, 0.5}
	var successors []netip.AddrPort
	for range 2 {
		for i, claimed := range cores {
			advisors.markAlive(addr(byte(i)))
			advisors.noteCapacity(addr(byte(i)), claimed, false)
		}
		now := advisors.Successors()
		if now[0] != addr(4) {
			t.Errorf("the order is %v", now)
		}
		if successors != nil && &successors[0] != &now[0] {
			t.Error("the list is computed anew although nothing has changed")
		}
		successors = now
	}
}
