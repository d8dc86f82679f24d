package relay

import (
	"cmp"
	"math"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"cicadabarrow.example/cicadabarrow/internal/cell"
)

// Host is a host that can be a relay.
type Host struct {
	Addr       netip.AddrPort
	DataCentre string
	// Cores is the host's share of the processor; 0 is unknown.
	Cores float64
}

const (
	// minRelays is the least number of hosts of a data centre that share its workers.
	minRelays = 1
	// coresPerWorker is the processor share that a relay is expected to need for the
	// calls to one worker.
	coresPerWorker = 0.004
	// unknownCores replaces an unknown share of the processor.
	unknownCores = 0.1
)

func (h *Host) cores() float64 {
	if h.Cores > 0 {
		return h.Cores
	}
	return unknownCores
}

// choose returns the hosts of a data centre that relay for its workers: its strongest
// ones, since the owner writes and reads the messages of few busy relays together, and
// so many that the workers' calls use a share of their processors only.
func choose(hosts []Host, workers int) []Host {
	sorted := slices.Clone(hosts)
	slices.SortFunc(sorted, func(a, b Host) int {
		return cmp.Or(cmp.Compare(b.cores(), a.cores()), a.Addr.Compare(b.Addr))
	})
	needed := float64(workers) * coresPerWorker
	for n := range sorted {
		if n >= minRelays && needed <= 0 {
			return sorted[:n]
		}
		needed -= sorted[n].cores()
	}
	return sorted
}

// score is the score of a host for a worker in weighted rendezvous hashing. The worker
// is assigned to the host with the highest score, so the loss of a host moves only its
// own workers.
func score(h Host, id cell.WorkerID) float64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(string(id))
	_, _ = digest.WriteString(h.Addr.String())
	const bits = 53
	uniform := (float64(digest.Sum64()>>(64-bits)) + 0.5) / (1 << bits)
	return -h.cores() / math.Log(uniform)
}

// pick returns the index of the host that a worker is assigned to, or -1 if the filter
// accepts none.
func pick(hosts []Host, id cell.WorkerID, accept func(Host) bool) int {
	best, highest := -1, 0.0
	for i, h := range hosts {
		if !accept(h) {
			continue
		}
		if s := score(h, id); best < 0 || s > highest {
			best, highest = i, s
		}
	}
	return best
}
