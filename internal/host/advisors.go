package host

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
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

	mu       sync.Mutex
	lastSeen map[netip.AddrPort]time.Time
	capacity map[netip.AddrPort]hostCapacity
	// alive is the list of the hosts that count as alive.
	alive hostList
}

// hostList is a list of hosts, which is kept as a host needs it for each ping that it
// answers. It is replaced but never changed.
type hostList struct {
	// addrs is in ascending order, and sum is its hash.
	addrs []netip.AddrPort
	sum   uint64
	// successors has the same hosts, the best successor of this host first.
	successors []netip.AddrPort
	// until is when the first of the hosts ceases to count as alive unless it pings.
	until time.Time
}

// hostCapacity is what decides how well a host is suited to own the cell.
type hostCapacity struct {
	cores float64
	// near is set if the host is in the data centre of this one.
	near bool
}

func newRemoteAdvisors(peers Peers, timers timer.Service) *remoteAdvisors {
	return &remoteAdvisors{peers: peers, timers: timers, lastSeen: make(map[netip.AddrPort]time.Time), capacity: make(map[netip.AddrPort]hostCapacity)}
}

// markAlive records that a host is alive now. An invalid address is ignored.
func (h *remoteAdvisors) markAlive(addr netip.AddrPort) {
	if !addr.IsValid() {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.timers.Now()
	if now.Sub(h.lastSeen[addr]) > aliveFor {
		h.alive = hostList{} // the list does not have this host
	}
	h.lastSeen[addr] = now
}

// noteCapacity records what a host says of itself. An impossible processor share counts as
// unknown.
func (h *remoteAdvisors) noteCapacity(addr netip.AddrPort, cores float64, near bool) {
	if !addr.IsValid() {
		return
	}
	if !validCores(cores) {
		cores = 0
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	claimed := hostCapacity{cores: cores, near: near}
	if h.capacity[addr] != claimed {
		h.capacity[addr] = claimed
		h.alive = hostList{}
	}
}

// Successors returns the hosts that count as alive, the best successor of this host
// first. The caller must not change the list.
func (h *remoteAdvisors) Successors() []netip.AddrPort { return h.list().successors }

// compare orders hosts by how well they are suited to own the cell: those with more
// processor capacity first, then those in the data centre of this one, whose latency to
// the store is like its own.
func (c hostCapacity) compare(o hostCapacity) int {
	if c.cores != o.cores {
		return cmp.Compare(o.cores, c.cores)
	}
	switch {
	case c.near == o.near:
		return 0
	case c.near:
		return -1
	}
	return 1
}

// forgetAfter is how long after its last ping a host is removed from the list.
const forgetAfter = 30 * time.Second

// List returns the hosts that count as alive, which the caller must not change.
func (h *remoteAdvisors) List() []netip.AddrPort { return h.list().addrs }

// list returns the hosts that count as alive.
func (h *remoteAdvisors) list() hostList {
	now := h.timers.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.After(h.alive.until) {
		h.alive = h.readAlive(now)
	}
	return h.alive
}

// readAlive lists the hosts that count as alive, and removes those that have sent no ping
// for long. The caller holds the lock.
func (h *remoteAdvisors) readAlive(now time.Time) hostList {
	var out hostList
	for at, seen := range h.lastSeen {
		switch age := now.Sub(seen); {
		case age > forgetAfter:
			delete(h.lastSeen, at)
			delete(h.capacity, at)
		case age <= aliveFor:
			out.addrs = append(out.addrs, at)
			if until := seen.Add(aliveFor); out.until.IsZero() || until.Before(out.until) {
				out.until = until
			}
		}
	}
	slices.SortFunc(out.addrs, netip.AddrPort.Compare)
	out.addrs = slices.Clip(out.addrs)
	out.sum = sumHosts(out.addrs)
	out.successors = slices.Clone(out.addrs)
	slices.SortStableFunc(out.successors, func(a, b netip.AddrPort) int { return h.capacity[a].compare(h.capacity[b]) })
	return out
}

// CountActive returns the number of hosts that sent or answered a ping within
// the given time.
func (h *remoteAdvisors) CountActive(within time.Duration) int {
	now := h.timers.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for _, last := range h.lastSeen {
		if now.Sub(last) <= within {
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
