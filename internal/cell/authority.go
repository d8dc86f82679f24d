package cell

import "time"

const (
	// AuthorityTimeout is how long an owner may rely on the last confirmation
	// that it owns the cell: a commit that took effect. It is measured from the
	// beginning of that commit.
	AuthorityTimeout = 2 * time.Second
	// earlyStartAuthority is the same for early starts. It is shorter, so that the
	// last early start has expired at its worker when AuthorityTimeout is over, and
	// a successor waits no longer for early starts than for other orders.
	earlyStartAuthority = AuthorityTimeout - earlyStartValidity - leaseSlack
	// earlyStartValidity is how long a worker that checks no fencing token
	// accepts an early start.
	earlyStartValidity = 500 * time.Millisecond
)

// SetConfirmedAt sets when the last commit began that confirmed that this owner
// owns the cell.
func (c *Cell) SetConfirmedAt(at time.Time) { c.confirmedAt = at }

// SetUnconfirmed sets whether another host may have taken over while the process
// was suspended. The owner then extends no lease and starts nothing.
func (c *Cell) SetUnconfirmed(unconfirmed bool) { c.unconfirmed = unconfirmed }

// SetPredecessorIdle sets for how long before the takeover no commit of a
// predecessor had taken effect.
func (c *Cell) SetPredecessorIdle(idle time.Duration) { c.predecessorIdle = idle }

// mayOrder reports whether this owner may send starts, stop runs that it does not
// know, and order maintenance. Workers and machines that check fencing tokens
// refuse the orders of a replaced owner themselves.
func (c *Cell) mayOrder(now time.Time) bool { return c.confirmedWithin(now, AuthorityTimeout) }

// confirmedWithin reports whether this owner has confirmed its ownership within a
// time. It is always true where fencing tokens are checked.
func (c *Cell) confirmedWithin(now time.Time, timeout time.Duration) bool {
	return !c.config.Unfenced || now.Sub(c.confirmedAt) < timeout
}

// lastEarlyStart returns when, on a worker's clock, the last early start that a
// predecessor may still send has expired. A start is accepted until its deadline,
// and the predecessor sends none once its authority has timed out.
func (c *Cell) lastEarlyStart(now time.Time, clock time.Duration) time.Duration {
	if !c.config.Unfenced {
		return clock
	}
	return clock + c.predecessorAuthority(now, earlyStartAuthority) + earlyStartValidity + leaseSlack
}

// predecessorAuthority returns for how much longer a predecessor that does not know
// that it was replaced may act, if it may do so for the timeout after a commit.
func (c *Cell) predecessorAuthority(now time.Time, timeout time.Duration) time.Duration {
	if c.predecessorEnded {
		return 0
	}
	return max(c.ownedSince.Add(timeout-c.predecessorIdle).Sub(now), 0)
}

// doubtInherited handles a run of a predecessor that a worker does not list, if
// the worker checks no fencing token. The start may still arrive there. Once the
// worker has answered a stop of the run, it refuses that start.
func (c *Cell) doubtInherited(now time.Time, r *run, clock time.Duration) {
	r.phase = runUncertain
	r.deadline = clock + c.predecessorAuthority(now.Add(-r.worker.clockAge), AuthorityTimeout) + c.config.MaxLease + leaseSlack
	c.stop(now, r)
}

// confirmingCommit returns the number of the first commit that shows that this
// owner had not been replaced before now, or 0 if none is needed. A replaced owner
// does not know the jobs that its successor has accepted.
func (c *Cell) confirmingCommit() uint64 {
	if !c.config.Unfenced {
		return 0
	}
	return c.commitsBegun + 1
}
