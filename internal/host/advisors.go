package host

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/message"
	"cicadabarrow.example/cicadabarrow/internal/timer"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// aliveFor is how long after its last ping a host counts as alive.
const aliveFor = 3 * pingInterval

// remoteAdvisors tracks the other hosts by the time of their last ping, and
// forwards requests for advice to them.
type remoteAdvisors struct {
	peers  Peers
	timers timer.Service

	mu    sync.Mutex
	hosts map[netip.AddrPort]seenHost
}

// seenHost is when a host was last seen, and the hash of its address.
type seenHost struct {
	last time.Time
	hash uint64
}

func newRemoteAdvisors(peers Peers, timers timer.Service) *remoteAdvisors {
	return &remoteAdvisors{peers: peers, timers: timers, hosts: make(map[netip.AddrPort]seenHost)}
}

// markAlive records that a host is alive now. An invalid address is ignored.
func (h *remoteAdvisors) markAlive(addr netip.AddrPort) {
	if !addr.IsValid() {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	seen, known := h.hosts[addr]
	if !known {
		seen.hash = hashOf(addr)
	}
	seen.last = h.timers.Now()
	h.hosts[addr] = seen
}

// forgetAfter is how long after its last ping a host is removed from the list.
const forgetAfter = 30 * time.Second

// List returns the hosts that count as alive.
func (h *remoteAdvisors) List() []netip.AddrPort {
	var out []netip.AddrPort
	h.eachAlive(func(at netip.AddrPort, _ uint64) { out = append(out, at) })
	return out
}

// sum returns sumHosts of List. It is computed for each ping of each host.
func (h *remoteAdvisors) sum() uint64 {
	var sum uint64
	h.eachAlive(func(_ netip.AddrPort, hash uint64) { sum += hash })
	return sum
}

// eachAlive calls f with the address of each host that counts as alive, and its hash.
func (h *remoteAdvisors) eachAlive(f func(at netip.AddrPort, hash uint64)) {
	now := h.timers.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	for at, seen := range h.hosts {
		switch age := now.Sub(seen.last); {
		case age > forgetAfter:
			delete(h.hosts, at)
		case age <= aliveFor:
			f(at, seen.hash)
		}
	}
}

// CountActive returns the number of hosts that sent or answered a ping within
// the given time.
func (h *remoteAdvisors) CountActive(within time.Duration) int {
	now := h.timers.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, seen := range h.hosts {
		if now.Sub(seen.last) <= within {
			n++
		}
	}
	return n
}

// Advise asks another host to query the advice service. The deadline of the
// context is sent along as a timeout.
func (h *remoteAdvisors) Advise(
	ctx context.Context, to netip.AddrPort, step workload.StepID, workers []cell.WorkerID,
) (cell.Advice, error) {
	request := message.StepAdviceRequest{Step: step, Workers: workers}
	if deadline, ok := ctx.Deadline(); ok {
		request.Timeout = deadline.Sub(h.timers.Now())
	}
	out := cell.Advice{Step: step, Asked: workers}
	_, reply, err := h.peers.Ask(ctx, to, message.EncodeStepAdviceRequest(request))
	if err != nil {
		return out, err
	}
	advice, err := message.DecodeStepAdvice(reply)
	if err != nil {
		return out, err
	}
	if advice.Failed {
		return out, fault.New("advise", KindNotDone, "host %v got no advice from the advice service", to)
	}
	out.Valid, out.Allowed = advice.Valid, advice.Allowed
	return out, nil
}
