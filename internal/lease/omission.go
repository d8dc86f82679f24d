package lease

// omission names a guard of the protocol that a test leaves out, to prove that
// the guard is needed and that the test detects its absence. In production a
// Keeper omits nothing.
type omission int

const (
	omitNothing omission = iota
	// omitDeadline skips the deadline check immediately before an act.
	omitDeadline
	// omitEpoch skips the epoch check immediately before an act.
	omitEpoch
	// omitLapseWait fences a host without waiting for its row to lapse.
	omitLapseWait
	// omitPromiseWait fences a host while this host's promise to it is unexpired.
	omitPromiseWait
	// omitRefusal grants promises to a host that is being fenced.
	omitRefusal
	// omitWriteID treats any row that is read back as the effect of this host's
	// write.
	omitWriteID
	// omitOwnRow takes over units without checking this host's HostRow in the
	// commit.
	omitOwnRow
	// omitEmptyGrantors extends a lease although its HostRow may name no grantors.
	omitEmptyGrantors
	// omitUnsettledGrantors discards the grantors of renewals with an unknown
	// outcome.
	omitUnsettledGrantors
)
