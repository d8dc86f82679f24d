package entry

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"cicadabarrow.example/cicadabarrow/internal/lease"
	"cicadabarrow.example/cicadabarrow/internal/platform"
)

const (
	// poolUnit is the unit of all workers of a data centre.
	poolUnit lease.Unit = "pool"
	// keyShards is the number of shards that the callers' idempotency keys are
	// divided into.
	keyShards = 8
	// groupShards is the number of groups that the instances of a service are
	// divided into in one data centre.
	groupShards = 4

	groupPrefix = "upstreams-"
	keysPrefix  = "keys-"
)

func groupUnit(service string, n uint64) lease.Unit {
	return lease.Unit(fmt.Sprintf("%s%s-%d", groupPrefix, service, n))
}

func keyUnit(key string) lease.Unit {
	return lease.Unit(fmt.Sprintf("%s%d", keysPrefix, xxhash.Sum64String(key)%keyShards))
}

// unitsOf returns the units of a data centre according to a host list.
func unitsOf(dataCentre string, hosts []platform.Host) []lease.Unit {
	units := []lease.Unit{poolUnit}
	for n := range keyShards {
		units = append(units, lease.Unit(fmt.Sprintf("%s%d", keysPrefix, n)))
	}
	for u := range groupsOf(dataCentre, hosts) {
		units = append(units, u)
	}
	slices.Sort(units)
	return units
}

// groupsOf divides the upstream instances of a data centre into groups. The group
// of an instance depends only on its own name, so that two owners with different
// host lists never both use the same instance.
func groupsOf(dataCentre string, hosts []platform.Host) map[lease.Unit][]platform.Host {
	out := make(map[lease.Unit][]platform.Host)
	for _, h := range hosts {
		if h.Role != platform.RoleUpstream || h.DataCentre != dataCentre {
			continue
		}
		u := groupUnit(h.Service, xxhash.Sum64String(h.Name)%groupShards)
		out[u] = append(out[u], h)
	}
	return out
}

func isGroup(u lease.Unit) bool { return strings.HasPrefix(string(u), groupPrefix) }

func isKeys(u lease.Unit) bool { return strings.HasPrefix(string(u), keysPrefix) }

// serves reports whether a unit is a group of the given service.
func serves(u lease.Unit, service string) bool {
	rest, ok := strings.CutPrefix(string(u), groupPrefix+service+"-")
	return ok && !strings.Contains(rest, "-")
}

// serviceOf returns the service of a group.
func serviceOf(u lease.Unit) string {
	rest := strings.TrimPrefix(string(u), groupPrefix)
	return rest[:max(strings.LastIndexByte(rest, '-'), 0)]
}
