package timer

import "time"

// delayMemory is how long a delay counts.
const delayMemory = 1 * time.Second

// Delay is how late a process handles what is due or has arrived, since it was short
// of processor time or suspended. What others seem not to have done in that time may
// only wait to be handled.
type Delay struct {
	longest time.Duration
	at      time.Time
}

// Observe records by how much something was late.
func (d *Delay) Observe(now time.Time, late time.Duration) {
	if late = max(late, 0); late >= d.Recent(now) {
		d.longest, d.at = late, now
	}
}

// Recent returns the longest delay of the last second.
func (d *Delay) Recent(now time.Time) time.Duration {
	if now.Sub(d.at) > delayMemory {
		return 0
	}
	return d.longest
}
