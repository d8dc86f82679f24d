// Package entry implements an entry host: it connects the decision logic of the
// other packages to the platform, to the host's peers and to the callers.
//
// Host is one entry host. A unit is a part of the work that one host owns at a
// time: the pool of a data centre's workers, a group of upstream instances or a
// key shard. These are the main components of a host, most of which run an event
// loop in a goroutine that their constructor starts:
//
//   - Leases renews the lease of this host and takes over units.
//   - PoolOwner schedules tasks while this host owns the workers of its data
//     centre.
//   - GroupOwner sends requests to the upstream instances of a group; there is one
//     for each group that this host owns.
//   - KeyOwner recognizes repeated requests by their idempotency keys; there is one
//     for each key shard that this host owns.
//   - Plans keeps the plan in force on this host up to date.
package entry
