// Package lease decides which entry host of a data centre owns which unit. A unit
// is the worker pool of the data centre, a group of upstream instances, or a shard
// of the idempotency keys. The package does no input or output itself.
//
// Keeper is the state machine of one entry host. Its inputs are the time, the rows
// that the host has read from the table service, the outcomes of its commits and
// the requests and replies of its peers; it returns the actions to carry out. Use
// it through the service of package entry, or directly in a test.
//
// HostRow is the lease of one incarnation of an entry host. The host renews the row
// every Config.RenewEvery, which is one period. The row names the host's grantors:
// the peers whose promises can extend the lease.
//
// UnitRow names the owner of a unit and the epoch of that ownership. It stays
// valid for as long as the owner's HostRow is live.
//
// A promise is a peer's commitment, kept in memory only, not to fence a host for
// Config.PromiseFor. While the table service is unreachable and the HostRow cannot
// be renewed, the host keeps its units for as long as it holds an unexpired
// promise of every grantor that its HostRow names.
//
// A peer fences a host by setting its lapsed HostRow to HostFenced. That incarnation
// may then no longer act. The peer does so only once no promise can extend the lease
// any more: its own last promise to the host has expired, and one of these holds:
//
//   - the peer is a grantor of the host;
//   - another grantor consents: it states that its last promise to the host has
//     expired, and it refuses further ones until the host's row has a later version;
//   - the host or a grantor has been known to have exited for at least
//     Config.PromiseFor, so that every promise that a grantor had granted before
//     it exited has expired;
//   - the row names no grantors;
//   - the row lapsed at least Config.MaxExtension ago.
package lease
