package host

import (
	"net/netip"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/message"
	"cicadabarrow.example/cicadabarrow/internal/relay"
	"cicadabarrow.example/cicadabarrow/internal/timer"
)

// A list of hosts in each pong grows with the square of the hosts.
func TestPongLeavesOutAListThatThePingingHostHas(t *testing.T) {
	withCluster(t, func(t *testing.T, w *fakeCluster, first *fakeHost) {
		other := w.lastOtherThan(first)
		sum := other.host.knownHostsSum()
		if pong := first.host.pong(message.HostPing{Addr: other.addr, HostsSum: sum}); !pong.SameHosts || len(pong.Hosts) > 0 {
			t.Errorf("to a host that has the list: %+v", pong)
		}
		if pong := first.host.pong(message.HostPing{Addr: other.addr}); pong.SameHosts || len(pong.Hosts) != len(w.order)-1 {
			t.Errorf("to a host that has no list: %+v", pong)
		}
		if n := other.host.otherHosts(); n != len(w.order)-1 {
			t.Errorf("%d other hosts are counted", n)
		}
	})
}

// The hash in a pong is added up from kept ones, and other hosts compute it from the list.
func TestHashOfHostsFollowsTheList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hosts := newRemoteAdvisors(nil, timer.NewSystem())
		check := func(when string, want int) {
			t.Helper()
			list := hosts.List()
			if len(list) != want || hosts.sum() != sumHosts(list) {
				t.Errorf("%s there are %d hosts, want %d; their hash is %x, that of the list %x", when, len(list), want, hosts.sum(), sumHosts(list))
			}
		}
		addr := func(i byte) netip.AddrPort { return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, i}), 7000) }
		check("at first", 0)
		for i := range byte(3) {
			hosts.markAlive(addr(i))
		}
		check("with three hosts", 3)
		time.Sleep(aliveFor)
		hosts.markAlive(addr(0))
		time.Sleep(time.Millisecond)
		check("after two are silent", 1)
		hosts.markAlive(addr(1))
		check("after one is back", 2)
		time.Sleep(forgetAfter + time.Millisecond)
		check("after all are forgotten", 0)
		hosts.markAlive(addr(2))
		check("after one is known again", 1)
	})
}

// BenchmarkHashOfHosts does what each ping of each host has the owner do for the list.
func BenchmarkHashOfHosts(b *testing.B) {
	for _, n := range []byte{15, 146} {
		b.Run(strconv.Itoa(int(n)), func(b *testing.B) {
			hosts := newRemoteAdvisors(nil, timer.NewSystem())
			for i := range n {
				hosts.markAlive(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, i}), 7000))
			}
			for range b.N {
				hosts.sum()
			}
		})
	}
}

// leaseGap returns the longest time in which the lease of a worker had expired.
func (w *fakeCluster) leaseGap() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	var longest time.Duration
	for _, worker := range w.workers {
		var until time.Duration
		for _, h := range worker.holds {
			if at := h.at.Sub(time.Unix(0, 0)); until > 0 && at > until {
				longest = max(longest, at-until)
			}
			until = max(until, h.deadline)
		}
		if now := time.Since(time.Unix(0, 0)); now > until {
			longest = max(longest, now-until)
		}
	}
	return longest
}

// relays returns the hosts that relay for workers.
func (w *fakeCluster) relays(owner *fakeHost) []*fakeHost {
	views, _ := owner.host.router.Overview()
	var out []*fakeHost
	for _, v := range views {
		if v.State == relay.StateUsed && v.Workers > 0 {
			out = append(out, w.hosts[v.Host.Addr])
		}
	}
	return out
}

// The loss of a relay must cost its workers no run, whether its process ends, nothing
// reaches it, or it reaches no worker.
func TestLostRelayCostsNoLease(t *testing.T) {
	for name, lose := range map[string]func(*fakeCluster, *fakeHost){
		"killed": func(w *fakeCluster, h *fakeHost) { w.stop(h) },
		"cut off": func(w *fakeCluster, h *fakeHost) {
			w.setCut(h, true, append(w.otherHosts(h), "w0", "w1", "w2", storeName)...)
		},
		"cut from the owner":   func(w *fakeCluster, h *fakeHost) { w.setCut(h, true, w.otherHosts(h)...) },
		"cut from the workers": func(w *fakeCluster, h *fakeHost) { w.setCut(h, true, "w0", "w1", "w2") },
	} {
		t.Run(name, func(t *testing.T) {
			withCluster(t, func(t *testing.T, w *fakeCluster, first *fakeHost) {
				used := w.relays(first)
				if len(used) == 0 {
					t.Fatal("no relay is used")
				}
				lose(w, used[0])
				time.Sleep(10 * time.Second)
				if gap := w.leaseGap(); gap > 0 {
					t.Errorf("a worker had no lease for %v", gap)
				}
				if owners := w.owners(); len(owners) != 1 || owners[0] != first {
					t.Errorf("%d owners", len(owners))
				}
			})
		})
	}
}

// A new owner must reach all workers under its epoch if the old owner and the relays
// are lost together.
func TestNewOwnerNeedsNoOldRelay(t *testing.T) {
	withCluster(t, func(t *testing.T, w *fakeCluster, first *fakeHost) {
		for _, h := range w.relays(first) {
			w.stop(h)
		}
		w.stop(first)
		t.Logf("took %v", awaitSuccessor(t, w, takeoverLimit))
	})
}

// Where workers check no fencing tokens, a new owner could not know how long the relays
// of its predecessor still act, so that no host may relay.
func TestNoRelaysWithoutFencingTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFakeCluster(3, 1)
		w.unfenced = true
		defer w.stopAll()
		for _, h := range w.order {
			w.start(h)
		}
		time.Sleep(2 * time.Second)
		owner := w.owners()[0]
		ping := message.HostPing{Addr: w.lastOtherThan(owner).addr, Relays: true, DataCentre: "dc", Cores: 1}
		if pong := owner.host.pong(ping); pong.RelayEpoch != 0 || !pong.Owning {
			t.Errorf("permitted to relay: %+v", pong)
		}
		if owner.host.router != nil || owner.host.mayRelay() {
			t.Error("the owner has a router, or says that it relays")
		}
		if w.lastHold("w0", 1).IsZero() {
			t.Error("the owner has not called the worker itself")
		}
	})
}
