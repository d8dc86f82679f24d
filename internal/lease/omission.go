package lease

// omission names a guard that a test leaves out to prove that the guard is
// needed and that the test would notice. A running Keeper omits nothing.
type omission int

const (
	omitNothing omission = iota
	// omitDeadline leaves out the deadline check right before an act.
	omitDeadline
	// omitEpoch leaves out the epoch check right before an act.
	omitEpoch
	// omitLapseWait fences a host without waiting for its row to lapse.
	omitLapseWait
	// omitPromiseWait fences a host while a promise to it is unexpired.
	omitPromiseWait
	// omitRefusal promises again to a host that is being fenced.
	omitRefusal
	// omitWriteID takes any row that is read back for the own write.
	omitWriteID
	// omitOwnRow takes units without a check of the own HostRow.
	omitOwnRow
	// omitEmptyGrantors extends a lease whose HostRow names no heirs.
	omitEmptyGrantors
	// omitUnsettledGrantors forgets the heirs of renewals with an unknown outcome.
	omitUnsettledGrantors
)
