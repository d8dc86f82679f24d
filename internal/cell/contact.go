package cell

import "time"

// unlistedGrace is how long a worker that still answers is used after its
// registration has lapsed: a store that was unavailable may have dropped
// it.
const unlistedGrace = 3 * time.Second

// inContact reports whether a worker has answered this owner recently.
func (c *Cell) inContact(now time.Time, w *worker) bool {
	return w.reported && !c.silent(now, w)
}

// SetDelay sets how late this owner has handled reports of late.
func (c *Cell) SetDelay(delay time.Duration) { c.delay = delay }

// silent reports whether a worker has not answered for too long. The reports that have
// arrived while this owner was delayed may wait to be handled, so that time is no
// evidence.
func (c *Cell) silent(now time.Time, w *worker) bool {
	return now.Sub(w.lastReport) > c.config.ContactTimeout+c.delay
}

// registered reports whether the registration is that of the incarnation that has
// reported, which is the one that starts are sent to. The registration of another
// incarnation says nothing about its labels, capacity, rack and service.
func (w *worker) registered() bool { return w.registration.Incarnation == w.incarnation }

// usable reports whether a worker may get new starts.
func (c *Cell) usable(now time.Time, w *worker) bool {
	listed := w.listed || now.Sub(w.unlistedAt) < unlistedGrace
	if !listed || w.registration.Leaving || w.laterOnMachine || !c.inContact(now, w) {
		return false
	}
	if !w.registered() {
		return false
	}
	// A start with a deadline by the clock of an earlier incarnation could grant a
	// new one the longest lease, unknown to a successor.
	if w.incarnationUnsure || w.startOverdue {
		return false
	}
	// Early starts of a predecessor may still arrive and take capacity.
	if c.earlyStarts.awaited[w.id] {
		return false
	}
	return w.cordonedBy == nil && !w.health.quarantined(now) && !c.mayGoDown(w.registration.Machine)
}
