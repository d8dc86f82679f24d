package owner

import "time"

// releaseTimeout is how long an owner that has not decided anything yet tries to
// release its row.
const releaseTimeout = time.Second

// releaseState says whether an owner gives the cell up.
type releaseState struct {
	requested bool
	reason    error
	// deadline is when the owner ends even if its row is not released; the zero value
	// leaves it to the host.
	deadline time.Time
}

// releaseRequested has the owner release its row and end for a reason.
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

// endIfNotReleased ends an owner whose row cannot be released in time.
func (o *Owner) endIfNotReleased(now time.Time) {
	if o.release.requested && !o.release.deadline.IsZero() && now.After(o.release.deadline) {
		o.end(o.release.reason)
	}
}
