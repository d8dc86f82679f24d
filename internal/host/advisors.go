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

// aliveFor is how long after its last ping a host counts as there.
const aliveFor = 3 * pingInterval

// remoteAdvisors are the hosts that were heard of lately.
type remoteAdvisors struct {
	peers  Peers
	timers timer.Service

	mu       sync.Mutex
	lastSeen map[netip.AddrPort]time.Time
}

func newRemoteAdvisors(peers Peers, timers timer.Service) *remoteAdvisors {
	return &remoteAdvisors{peers: peers, timers: timers, lastSeen: make(map[netip.AddrPort]time.Time)}
}

// markAlive notes that a host is there.
func (h *remoteAdvisors) markAlive(at netip.AddrPort) {
	if !at.IsValid() {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastSeen[at] = h.timers.Now()
}

// forgetAfter is how long a host that is silent is remembered.
const forgetAfter = 30 * time.Second

// List returns the hosts that were heard of lately.
func (h *remoteAdvisors) List() []netip.AddrPort {
	now := h.timers.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []netip.AddrPort
	for at, last := range h.lastSeen {
		switch silent := now.Sub(last); {
		case silent > forgetAfter:
			delete(h.lastSeen, at)
		case silent <= aliveFor:
			out = append(out, at)
		}
	}
	return out
}

// Heard counts the hosts that were heard of within a time.
func (h *remoteAdvisors) Heard(within time.Duration) int {
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

// Advise asks the advice service through another host.
func (h *remoteAdvisors) Advise(
	ctx context.Context, to netip.AddrPort, step workload.StepID, workers []cell.WorkerID,
) (cell.Advice, error) {
	question := message.StepAdviceRequest{Step: step, Workers: workers}
	if end, ok := ctx.Deadline(); ok {
		question.Timeout = end.Sub(h.timers.Now())
	}
	out := cell.Advice{Step: step, Asked: workers}
	_, reply, err := h.peers.Ask(ctx, to, message.EncodeStepAdviceRequest(question))
	if err != nil {
		return out, err
	}
	advice, err := message.DecodeStepAdvice(reply)
	if err != nil {
		return out, err
	}
	if advice.Failed {
		return out, fault.New("advise", KindNotDone, "host %v had no answer", to)
	}
	out.Valid, out.Allowed = advice.Valid, advice.Allowed
	return out, nil
}
