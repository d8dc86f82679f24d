package election

import "time"

const (
	// shortTenure is how long an owner lasts at least in a cell that is well.
	shortTenure = 5 * time.Second
	// maxDoublings bounds how often the patience is doubled.
	maxDoublings = 2
)

// Tenures notes how long owners last. Where one that lasted for a short time
// follows another, hosts take the cell over sooner than any of them can begin to
// decide, and have to be more patient.
type Tenures struct {
	epoch uint64
	since time.Time
	short int
}

// Begin notes that an epoch is known from now on.
func (t *Tenures) Begin(now time.Time, epoch uint64) {
	if epoch <= t.epoch {
		return
	}
	if t.epoch > 0 && now.Sub(t.since) < shortTenure {
		t.short++
	} else {
		t.short = 0
	}
	t.epoch, t.since = epoch, now
}

// Short returns how many owners before this one lasted for a short time, one
// after the other.
func (t *Tenures) Short() int { return t.short }

// patient returns the patience after some short tenures.
func patient(patience time.Duration, short int) time.Duration {
	return patience << min(short, maxDoublings)
}
