package entry

import (
	"fmt"
	"testing"

	"cicadabarrow.example/cicadabarrow/internal/lease"
	"cicadabarrow.example/cicadabarrow/internal/platform"
)

// TestGroupOfAnInstanceNeverChanges removes instances from the list one by one. The
// others must stay in their groups, or two owners could use the same instance.
func TestGroupOfAnInstanceNeverChanges(t *testing.T) {
	var hosts []platform.Host
	for i := range 40 {
		hosts = append(hosts, platform.Host{
			Name: fmt.Sprintf("upstream-%03d", i), Role: platform.RoleUpstream, DataCentre: "kita-hakata", Service: "escrow-desk",
		})
	}
	groupOf := func(hosts []platform.Host) map[string]lease.Unit {
		out := make(map[string]lease.Unit)
		for u, members := range groupsOf("kita-hakata", hosts) {
			if !serves(u, "escrow-desk") || serves(u, "escrow") {
				t.Fatalf("unit %s serves the wrong service", u)
			}
			for _, m := range members {
				out[m.Name] = u
			}
		}
		return out
	}
	all := groupOf(hosts)
	if len(all) != len(hosts) {
		t.Fatalf("%d of %d instances have a group", len(all), len(hosts))
	}
	for n := range hosts {
		for name, u := range groupOf(hosts[n:]) {
			if all[name] != u {
				t.Fatalf("with %d instances gone, %s moved from %s to %s", n, name, all[name], u)
			}
		}
	}
}
