package owner

import "time"

// releaseWithin is how long an owner that has not decided anything yet tries to
// release its row.
const releaseWithin = time.Second

// leaving says whether an owner gives the cell up.
type leaving struct {
	is     bool
	reason error
	// by is when the owner ends even if its row is not released; the zero value
	// leaves it to the host.
	by time.Time
}

// leave has the owner release its row and end for a reason.
type leave struct {
	reason error
}

func (e leave) apply(o *Owner, now time.Time) {
	if o.leaving.is {
		return
	}
	o.leaving = leaving{is: true, reason: e.reason}
	if o.recovery.underWay {
		o.recovery.stop()
		o.leaving.by = now.Add(releaseWithin)
	}
	o.mu.Lock()
	o.yields = true
	o.mu.Unlock()
}

// endIfNotReleased ends an owner whose row cannot be released in time.
func (o *Owner) endIfNotReleased(now time.Time) {
	if o.leaving.is && !o.leaving.by.IsZero() && now.After(o.leaving.by) {
		o.end(o.leaving.reason)
	}
}
