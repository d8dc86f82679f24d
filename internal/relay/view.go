package relay

import (
	"cmp"
	"net/netip"
	"slices"

	"cicadabarrow.example/cicadabarrow/internal/cell"
)

// State tells whether a relay gets calls.
type State string

const (
	// StateUsed relays get the calls to their workers, if they have any.
	StateUsed State = "Used"
	// StateSuspected relays get no calls for a while.
	StateSuspected State = "Suspected"
	// StateLost relays do not ping the owner.
	StateLost State = "Lost"
)

// View is the state of a relay as shown to an operator.
type View struct {
	Host    Host
	State   State
	Workers int
}

// Overview returns the relays, and the relay of each worker that has one.
func (r *Router) Overview() ([]View, map[cell.WorkerID]netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	byWorker, count := make(map[cell.WorkerID]netip.AddrPort), make(map[netip.AddrPort]int)
	for id, w := range r.workers {
		if w.relay != nil {
			byWorker[id] = w.relay.addr
			count[w.relay.addr]++
		}
	}
	out := make([]View, 0, len(r.relays))
	for addr, s := range r.relays {
		view := View{Host: s.host, State: StateUsed, Workers: count[addr]}
		switch {
		case !s.alive:
			view.State = StateLost
		case !s.usable():
			view.State = StateSuspected
		}
		out = append(out, view)
	}
	slices.SortFunc(out, func(a, b View) int {
		return cmp.Or(cmp.Compare(a.Host.DataCentre, b.Host.DataCentre), a.Host.Addr.Compare(b.Host.Addr))
	})
	return out, byWorker
}
