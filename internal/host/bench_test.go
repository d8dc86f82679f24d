package host

import (
	"net/netip"
	"testing"

	"cicadabarrow.example/cicadabarrow/internal/timer"
)

// BenchmarkPong answers the pings of many hosts that all have the list of hosts.
func BenchmarkPong(b *testing.B) {
	const hosts = 146
	timers := timer.NewSystem()
	advisors := newRemoteAdvisors(nil, timers)
	addrs := make([]netip.AddrPort, hosts)
	for i := range addrs {
		addrs[i] = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 2, byte(i)}), 8166)
		advisors.markAlive(addrs[i])
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		advisors.markAlive(addrs[i])
		i = (i + 1) % hosts
		advisors.list()
	}
}
