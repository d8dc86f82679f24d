// Package entry implements an entry host: it connects the decision logic of the
// other packages to the platform, to the host's peers and to the callers.
//
// Host is one entry host. It consists of services, most of which run an event
// loop in a goroutine that their constructor starts: Leases renews the lease of
// this host and takes over units; PoolOwner schedules tasks while this host owns
// the workers of its data centre; a GroupOwner for each group that this host owns
// sends requests to the upstream instances of the group; a KeyOwner for each key
// shard that it owns recognizes repeated requests; Plans keeps the plan in force
// up to date.
package entry
