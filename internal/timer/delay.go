package host

import "time"

// delayMemory is how long a delay of this host counts.
const delayMemory = 1 * time.Second

// hostDelay is how late the timers of this host's monitor fire, which tells whether
// the host itself is short of processor time.
type hostDelay struct {
	longest time.Duration
	at      time.Time
}

// observe records how late a timer fired.
func (d *hostDelay) observe(now time.Time, late time.Duration) {
	if late = max(late, 0); late >= d.recent(now) {
		d.longest, d.at = late, now
	}
}

// recent returns the longest delay within delayMemory.
func (d *hostDelay) recent(now time.Time) time.Duration {
	if now.Sub(d.at) > delayMemory {
		return 0
	}
	return d.longest
}
