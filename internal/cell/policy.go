package cell

import (
	"hash/fnv"
	"io"
	"time"
)

// Policy chooses how a cell orders and places tasks. The zero value is the way
// of the product; the rest are baselines that experiments compare it with.
type Policy struct {
	Order Order
	Fit   Fit
	// NoPreemption never stops a run to make room for an urgent step.
	NoPreemption bool
	// NoReschedule never stops a run that makes too little progress.
	NoReschedule bool
}

// Order is the order in which steps get room.
type Order string

const (
	// OrderDue takes the queue's priority first, and then the time at which the
	// job should be complete.
	OrderDue Order = ""
	// OrderArrival takes the job first that was accepted first.
	OrderArrival Order = "Arrival"
)

// Fit is how a worker is chosen among those with room.
type Fit string

const (
	// FitBest takes the worker that is left with the least room, and near data
	// or the rest of the step before that.
	FitBest Fit = ""
	// FitFirst takes the first worker in a fixed order.
	FitFirst Fit = "First"
	// FitRandom takes any worker.
	FitRandom Fit = "Random"
)

// scoreAt tells how well a worker suits one more task of a step by the policy.
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
	score := s.score(w)
	if slow := w.health.currentSlowness(now); slow > slowThreshold {
		score -= slow
	}
	return score
}
