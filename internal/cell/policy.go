package cell

import (
	"hash/fnv"
	"io"
	"time"
)

// Policy selects how a cell orders and places tasks. The zero value is the
// production policy; the other values are baselines for experiments.
type Policy struct {
	Order Order
	Fit   Fit
	// NoPreemption disables preemption for urgent steps.
	NoPreemption bool
	// NoReschedule disables the rescheduling of runs that make too little
	// progress.
	NoReschedule bool
}

// Order is the order in which steps get capacity.
type Order string

const (
	// OrderDue orders by the queue's priority and then by the time at which the
	// job should be complete.
	OrderDue Order = ""
	// OrderArrival orders by the time of acceptance.
	OrderArrival Order = "Arrival"
)

// Fit is how a worker is chosen among those with enough capacity.
type Fit string

const (
	// FitBest prefers workers near the step's data or its other tasks, and then
	// the worker that is left with the least free capacity.
	FitBest Fit = ""
	// FitFirst takes the first worker, sorted by ID.
	FitFirst Fit = "First"
	// FitRandom takes a pseudo-random worker.
	FitRandom Fit = "Random"
)

// scoreAt returns how well a worker suits one more task of a step under the
// policy.
func (p Policy) scoreAt(now time.Time, s *stepState, w *worker) float64 {
	switch p.Fit {
	case FitFirst:
		return 0
	case FitRandom:
		h := fnv.New32a()
		_, _ = io.WriteString(h, s.id.String())
		_, _ = io.WriteString(h, string(w.id))
		return float64(h.Sum32())
	case FitBest:
	}
	return s.score(w) - w.health.avoidedSlowness(now)
}
