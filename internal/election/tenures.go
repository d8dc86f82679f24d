package election

import "time"

const (
	// shortTenure is how long an owner lasts at least in a cell that is well.
	shortTenure = 5 * time.Second
	// maxTimeoutDoublings bounds how often the patience is doubled.
	maxTimeoutDoublings = 2
)

// Tenures notes how long owners last. Where one that lasted for a short time
// follows another, hosts take the cell over sooner than any of them can begin to
// decide, and have to be more patient.
type Tenures struct {
	epoch    uint64
	since    time.Time
	released bool
	short    int
}

// Begin notes that an epoch is known from now on.
func (t *Tenures) Begin(now time.Time, epoch uint64) {
	if epoch <= t.epoch {
		return
	}
	switch lasted := now.Sub(t.since); {
	case t.epoch == 0 || lasted >= shortTenure:
		t.short = 0
	case !t.released:
		t.short++
	}
	t.epoch, t.since, t.released = epoch, now, false
}

// Release notes that the owner of an epoch has given the cell up. Its tenure is
// not counted, since nobody lost patience with it.
func (t *Tenures) Release(epoch uint64) {
	if epoch == t.epoch {
		t.released = true
	}
}

// ObserveHealthy notes that the owner of an epoch has answered as a healthy one. If it has
// lasted by then, the short tenures before it count no more. Time alone is not
// enough: an owner that never answers may last only because hosts are patient.
func (t *Tenures) ObserveHealthy(now time.Time, epoch uint64) {
	if epoch == t.epoch && now.Sub(t.since) >= shortTenure {
		t.short = 0
	}
}

// Short returns how many owners before this one lasted for a short time, one
// after the other.
func (t *Tenures) Short() int { return t.short }

// extendedTimeout returns the patience after some short tenures.
func extendedTimeout(timeout time.Duration, short int) time.Duration {
	return timeout << min(short, maxTimeoutDoublings)
}
