package owner

import (
	"net/netip"
	"slices"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/ledger"
	"cicadabarrow.example/cicadabarrow/internal/rowstore"
)

// hostsInterval is the minimum interval between two writes of the row of the hosts.
const hostsInterval = 2 * time.Second

// hostsRow tracks the row that lists the other hosts. A successor learns from it whom to
// announce itself to, also if all hosts have restarted, and the hosts learn from it in
// which order they try to succeed an owner that has ended.
type hostsRow struct {
	// written is the list that is known to be durable, and writeAt the earliest time of
	// the next write.
	written []netip.AddrPort
	writeAt time.Time
}

// next returns the list to write with the next commit, or nil if the durable one is up
// to date. An empty list is not written: this owner has not heard of the others yet.
func (r *hostsRow) next(now time.Time, hosts []netip.AddrPort) []netip.AddrPort {
	if len(hosts) == 0 || now.Before(r.writeAt) || slices.Equal(hosts, r.written) {
		return nil
	}
	return hosts
}

// committed records that a list is durable.
func (r *hostsRow) committed(now time.Time, hosts []netip.AddrPort) {
	if hosts != nil {
		r.written, r.writeAt = hosts, now.Add(hostsInterval)
	}
}

// successors returns the other hosts that are alive, the best successor first.
func (o *Owner) successors() []netip.AddrPort {
	if o.advice == nil {
		return nil
	}
	return o.advice.remote.Successors()
}

// writeOfHosts returns the write of the row of the hosts.
func writeOfHosts(hosts []netip.AddrPort) (rowstore.Write, error) {
	value, err := ledger.EncodeHosts(hosts)
	return rowstore.Write{Key: ledger.HostsKey(), Value: value}, err
}
