package election

import "time"

const (
	// minHealthyTenure is the shortest tenure to be expected in a healthy cell. A
	// shorter one counts as short.
	minHealthyTenure = 5 * time.Second
	// maxTimeoutDoublings limits how often the timeout is doubled.
	maxTimeoutDoublings = 2
)

// Tenures tracks how long owners last. Consecutive short tenures mean that hosts
// take the cell over before the previous owner could become ready, so they have to
// use a longer timeout.
type Tenures struct {
	epoch    uint64
	since    time.Time
	released bool
	short    int
}

// Begin records that an epoch has begun. An epoch that is not later than the
// current one is ignored.
func (t *Tenures) Begin(now time.Time, epoch uint64) {
	if epoch <= t.epoch {
		return
	}
	switch lasted := now.Sub(t.since); {
	case t.epoch == 0 || lasted >= minHealthyTenure:
		t.short = 0
	case !t.released:
		t.short++
	}
	t.epoch, t.since, t.released = epoch, now, false
}

// Release records that the owner of an epoch has released the cell. Its tenure is
// not counted, since it did not end by a timeout.
func (t *Tenures) Release(epoch uint64) {
	if epoch == t.epoch {
		t.released = true
	}
}

// ObserveHealthy records a healthy answer of the owner of an epoch. If its tenure
// is not short by then, the count of short tenures is reset. Time alone does not
// reset it: an owner that never answers may last only because the timeout is long.
func (t *Tenures) ObserveHealthy(now time.Time, epoch uint64) {
	if epoch == t.epoch && now.Sub(t.since) >= minHealthyTenure {
		t.short = 0
	}
}

// Short returns the number of consecutive short tenures before the current owner.
func (t *Tenures) Short() int { return t.short }

// extendedTimeout doubles a timeout for each short tenure, up to
// maxTimeoutDoublings times.
func extendedTimeout(timeout time.Duration, short int) time.Duration {
	return timeout << min(short, maxTimeoutDoublings)
}
