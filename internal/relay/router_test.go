package relay

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/message"
	"cicadabarrow.example/cicadabarrow/internal/peer"
)

// failoverLimit is when a hold call through a lost relay has to be answered: the owner
// no longer extends the lease of a worker that is silent for longer.
const failoverLimit = 1500 * time.Millisecond

// A hold call through a relay that fails must be made through another one while the
// worker still has its lease. The worker may have had the first call, so the second
// one must not acknowledge an end or grant a lease.
func TestOutstandingHoldIsMadeThroughAnotherRelay(t *testing.T) {
	for name, fail := range map[string]func(*fakeCluster, *fakeHost){
		"its pings stop":           func(c *fakeCluster, h *fakeHost) { c.lose(h) },
		"its answers are lost":     func(c *fakeCluster, h *fakeHost) { c.set(h, func(h *fakeHost) { h.mute = true }); c.lose(h) },
		"it refuses connections":   func(c *fakeCluster, h *fakeHost) { c.set(h, func(h *fakeHost) { h.down = true }); c.lose(h) },
		"it doesn't reach workers": func(_ *fakeCluster, h *fakeHost) { h.workers.setSilent() },
	} {
		t.Run(name, func(t *testing.T) {
			withCluster(t, 3, func(t *testing.T, c *fakeCluster) {
				relay := c.relay()
				begin := time.Now()
				if name == "it doesn't reach workers" {
					fail(c, relay)
				} else {
					c.set(relay, func(h *fakeHost) { h.takes = time.Minute })
					time.AfterFunc(100*time.Millisecond, func() { fail(c, relay) })
				}
				if err := c.hold(t); err != nil {
					t.Fatalf("the hold call: %v", err)
				}
				if took := time.Since(begin); took > failoverLimit && name != "it doesn't reach workers" {
					t.Errorf("took %v", took)
				}
				var second []cell.HoldRequest
				for _, h := range c.hosts {
					if h != relay {
						second = append(second, h.workers.holds...)
					}
				}
				if len(second) != 1 || second[0].Deadline != 0 || second[0].Acknowledged != 0 {
					t.Errorf("calls through the other relays: %+v", second)
				}
				if n, _ := c.local.count(); n > 0 {
					t.Errorf("the owner called the worker itself %d times", n)
				}
				if c.relay() == relay {
					t.Error("the worker still has its relay")
				}
			})
		})
	}
}

func (w *fakeWorkers) setSilent() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silent = true
}

// A start whose answer was lost may run, so no second one is sent.
func TestStartWithoutAnAnswerOfItsRelayIsInDoubt(t *testing.T) {
	malformed := peer.Message{Kind: message.KindWorkerStarted, Body: []byte{0xc1}}
	for name, change := range map[string]func(*fakeHost){
		"no answer":          func(h *fakeHost) { h.mute = true },
		"a malformed answer": func(h *fakeHost) { h.answer = &malformed },
	} {
		t.Run(name, func(t *testing.T) {
			withCluster(t, 3, func(t *testing.T, c *fakeCluster) {
				c.set(c.relay(), change)
				outcome, err := c.start(t, 1)
				if !outcome.Unknown || outcome.NotSent || !fault.Is(err, KindRelaySilent) {
					t.Errorf("outcome %+v, %v", outcome, err)
				}
				if n := c.starts(); n != 1 {
					t.Errorf("%d starts were sent", n)
				}
			})
		})
	}
}

// A start that a relay has certainly not sent is made in another way, once.
func TestRefusedStartIsMadeInAnotherWay(t *testing.T) {
	for hosts := 1; hosts <= 3; hosts++ {
		t.Run(fmt.Sprint(hosts, " relays"), func(t *testing.T) {
			withCluster(t, hosts, func(t *testing.T, c *fakeCluster) {
				c.relay().server.Grant(fakeEpoch+1, time.Now(), time.Hour)
				outcome, err := c.start(t, 1)
				if err != nil || outcome.Unknown || outcome.NotSent {
					t.Errorf("outcome %+v, %v", outcome, err)
				}
				if n := c.starts(); n != 1 {
					t.Errorf("%d starts were sent", n)
				}
			})
		})
	}
}

// A relay that pings but answers late must not hold up the starts of its workers for
// longer than a few calls.
func TestSlowRelayGetsNoCallsForAWhile(t *testing.T) {
	withCluster(t, 3, func(t *testing.T, c *fakeCluster) {
		slow := c.relay()
		c.set(slow, func(h *fakeHost) { h.takes = time.Second })
		for run := range maxMisses {
			if outcome, _ := c.start(t, run+1); !outcome.Unknown {
				t.Errorf("start %d: %+v", run+1, outcome)
			}
		}
		if outcome, err := c.start(t, 10); err != nil || outcome.Unknown {
			t.Errorf("a start after the relay was suspected: %+v, %v", outcome, err)
		}
		c.set(slow, func(h *fakeHost) { h.takes = 0 })
		time.Sleep(suspectBackoff + 2*refreshInterval)
		if c.relay() != slow {
			t.Error("the relay is not used again")
		}
	})
}

// A relay that makes as many calls as it may must stay in use: a suspicion would end its
// hold calls. Each call that it refuses is made in another way at once.
func TestFullRelayIsNotSuspected(t *testing.T) {
	for hosts := 1; hosts <= 2; hosts++ {
		withCluster(t, hosts, func(t *testing.T, c *fakeCluster) {
			full := c.relay()
			for range maxOrders {
				full.server.orders <- struct{}{}
			}
			for range maxHolds {
				full.server.holds <- struct{}{}
			}
			begin := time.Now()
			for run := range 2 * maxMisses {
				if outcome, err := c.start(t, run+1); err != nil || outcome.Unknown || outcome.NotSent {
					t.Errorf("start %d: %+v, %v", run+1, outcome, err)
				}
			}
			if took := time.Since(begin); took > 2*maxMisses*4*fakeLatency {
				t.Errorf("the starts took %v", took)
			}
			if err := c.hold(t); err != nil {
				t.Errorf("the hold call: %v", err)
			}
			if n := c.starts(); n != 2*maxMisses {
				t.Errorf("%d starts were sent", n)
			}
			relays, _ := c.router.Overview()
			for _, v := range relays {
				if v.State != StateUsed {
					t.Errorf("relay %v is %s", v.Host.Addr, v.State)
				}
			}
			if r := c.router.route("w"); r == nil || r.addr != full.Addr {
				t.Error("the worker has another relay")
			}
		})
	}
}

// A worker that doesn't answer must be told apart from a relay that doesn't.
func TestSilentWorkerIsNotBlamedOnItsRelay(t *testing.T) {
	withCluster(t, 3, func(t *testing.T, c *fakeCluster) {
		for _, h := range c.hosts {
			h.workers.setSilent()
		}
		for range 2 * maxMisses {
			if err := c.hold(t); !fault.Is(err, KindWorkerSilent) {
				t.Errorf("the hold call: %v", err)
			}
		}
		relays, _ := c.router.Overview()
		for _, v := range relays {
			if v.State != StateUsed {
				t.Errorf("relay %v is %s", v.Host.Addr, v.State)
			}
		}
	})
}

// The loss of one relay must not move the workers of the others.
func TestAssignmentIsStable(t *testing.T) {
	var hosts []Host
	for i := range 8 {
		cores := 0.2
		if i < 3 {
			cores = 0.8
		}
		hosts = append(hosts, Host{Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 1), Cores: cores})
	}
	all := func(Host) bool { return true }
	count := make(map[netip.AddrPort]int)
	const workers = 4000
	for i := range workers {
		id := cell.WorkerID(fmt.Sprintf("worker-%d", i))
		with := hosts[pick(hosts, id, all)]
		count[with.Addr]++
		without := hosts[pick(hosts, id, func(h Host) bool { return h.Addr != hosts[1].Addr })]
		if with.Addr != hosts[1].Addr && without != with {
			t.Fatalf("%s moves from %v to %v", id, with.Addr, without.Addr)
		}
	}
	share := float64(count[hosts[0].Addr]) / float64(count[hosts[7].Addr])
	if share < 3 || share > 5 {
		t.Errorf("a host with 4 times the cores has %.1f times the workers", share)
	}
	if chosen := choose(hosts, 100); len(chosen) != minRelays || chosen[0].Cores != 0.8 {
		t.Errorf("chosen for 100 workers: %+v", chosen)
	}
	if chosen := choose(hosts, 1500); len(chosen) < 6 {
		t.Errorf("only %d hosts are chosen for 1500 workers", len(chosen))
	}
}
