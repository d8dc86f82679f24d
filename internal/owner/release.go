package owner

import "time"

// releaseTimeout is how long an owner that is not ready yet tries to release its
// row.
const releaseTimeout = time.Second

// releaseState tells whether and why an owner releases the cell.
type releaseState struct {
	requested bool
	reason    error
	// deadline is when the owner ends even if its row is not released. With the
	// zero value it is up to the host to end the owner.
	deadline time.Time
}

// releaseRequested makes the owner release its row and end for the given reason.
type releaseRequested struct {
	reason error
}

func (e releaseRequested) apply(o *Owner, now time.Time) {
	if o.release.requested {
		return
	}
	o.release = releaseState{requested: true, reason: e.reason}
	if o.recovery.active {
		o.recovery.cancel()
		o.release.deadline = now.Add(releaseTimeout)
	}
	o.mu.Lock()
	o.releasing = true
	o.mu.Unlock()
}

// endIfNotReleased ends an owner whose row was not released by the deadline.
func (o *Owner) endIfNotReleased(now time.Time) {
	if o.release.requested && !o.release.deadline.IsZero() && now.After(o.release.deadline) {
		o.end(o.release.reason)
	}
}
