package cell

import "time"

const (
	// leaseSlack covers the granularity of the clocks that are compared.
	leaseSlack = 200 * time.Millisecond
	// endedOwnerSlack covers the calls that an ended owner had in flight. Their
	// deadlines are fixed, so they grant little more than its last call.
	endedOwnerSlack = 1 * time.Second
	// replacedOwnerSlack is how long after a takeover a replaced owner may still
	// extend the lease of a worker that its successor cannot reach.
	replacedOwnerSlack = 4800 * time.Millisecond
)

// extendLease extends the lease of a worker and returns its new deadline.
func (w *worker) extendLease(now time.Time, lease time.Duration) time.Duration {
	w.deadline = max(w.deadline, w.clockNow(now)+lease)
	return w.deadline
}

// leaseLeft returns for how long, at least, the lease of a worker lasts.
func (w *worker) leaseLeft(now time.Time) time.Duration {
	return w.deadline - w.clockNow(now) - w.clockAge
}

// leaseExpired reports whether everything that ran on the worker has certainly
// ended because its lease expired.
func (c *Cell) leaseExpired(now time.Time, w *worker) bool { return now.After(c.leaseEnd(w)) }

// leaseEnd returns when the worker's lease has certainly expired.
func (c *Cell) leaseEnd(w *worker) time.Time {
	inherited := c.ownedSince.Add(c.inheritedWait())
	if !w.reported {
		return inherited
	}
	end := w.clockAt.Add(localDuration(max(w.deadline, w.lateDeadline)-w.clock) + leaseSlack)
	// Without a fence, a predecessor extends leases also after the first report.
	if c.config.Unfenced && !c.predecessorEnded && inherited.After(end) {
		return inherited
	}
	return end
}

// silentSince returns when the worker last answered, or the time of the takeover
// if it has not answered this owner.
func (c *Cell) silentSince(w *worker) time.Time {
	if !w.reported {
		return c.ownedSince
	}
	return w.lastReport
}

// PredecessorEnded records that the process of the predecessor has certainly
// ended, so that it grants no more leases.
func (c *Cell) PredecessorEnded() { c.predecessorEnded = true }

// inheritedWait is how long after a takeover runs may still exist on a worker
// that has not answered this owner. An owner that froze or was partitioned may
// continue to grant leases until it learns that it was replaced.
func (c *Cell) inheritedWait() time.Duration {
	if c.predecessorEnded {
		return localDuration(c.config.Lease) + endedOwnerSlack
	}
	return localDuration(c.config.Lease) + replacedOwnerSlack
}

// localDuration returns how long a duration on the slowest worker clock lasts
// on the owner's clock.
func localDuration(d time.Duration) time.Duration {
	return time.Duration(float64(d) / minClockRate)
}
