package admission

import "time"

const (
	// rateInterval is the time over which starts are counted, and rateIntervals the
	// number of the last intervals of which the best one counts: a pause of the owner
	// does not make the backlog look endless.
	rateInterval  = 500 * time.Millisecond
	rateIntervals = 10
)

// startRate measures how many starts a second the cell has shown to be able to do.
type startRate struct {
	begin time.Time
	// atBegin is the count of starts at the beginning of the current interval.
	atBegin uint64
	// last has the rates of the last intervals.
	last [rateIntervals]float64
	next int
}

// observe takes the count of all starts so far.
func (r *startRate) observe(now time.Time, started uint64) {
	if r.begin.IsZero() {
		r.begin, r.atBegin = now, started
		return
	}
	passed := now.Sub(r.begin)
	if passed < rateInterval {
		return
	}
	r.last[r.next] = float64(started-r.atBegin) / passed.Seconds()
	r.next = (r.next + 1) % rateIntervals
	r.begin, r.atBegin = now, started
}

// best returns the best rate of the last intervals, in starts a second; 0 if there
// was none.
func (r *startRate) best() float64 {
	best := 0.0
	for _, rate := range r.last {
		best = max(best, rate)
	}
	return best
}
