package cell

import (
	"math"
	"time"
)

// health tracks the failures and the speed of a worker, to distinguish a worker
// on which everything fails from one with a chance failure.
type health struct {
	// failures counts the runs that have failed since the last run that was
	// done.
	failures int
	// stragglers counts the runs that made too little progress since the last
	// run that was done.
	stragglers       int
	quarantinedUntil time.Time
	// slowness is how many times as long as elsewhere tasks took here, minus 1,
	// as of slownessAt.
	slowness   float64
	slownessAt time.Time
}

const (
	// quarantineThreshold is the number of consecutive failures or stragglers
	// after which a worker is quarantined.
	quarantineThreshold = 2
	// quarantineDuration is how long a worker gets no starts after such
	// failures.
	quarantineDuration = 4 * time.Second
	// refusalQuarantine is how long a worker gets no starts after it could not
	// take a call.
	refusalQuarantine = 300 * time.Millisecond
)

func (h *health) ended(now time.Time, how EndKind) {
	switch how {
	case EndDone:
		h.failures, h.stragglers = 0, 0
	case EndFailed:
		h.failures++
		if h.failures >= quarantineThreshold {
			h.quarantinedUntil = now.Add(quarantineDuration)
		}
	case EndStopped, EndLeaseExpired, EndGangBroken, EndGangIncomplete:
	}
}

// straggled records a run that made too little progress.
func (h *health) straggled(now time.Time) {
	h.stragglers++
	if h.stragglers >= quarantineThreshold {
		h.quarantinedUntil = now.Add(quarantineDuration)
	}
}

func (h *health) refused(now time.Time) { h.quarantinedUntil = now.Add(refusalQuarantine) }

func (h *health) quarantined(now time.Time) bool { return now.Before(h.quarantinedUntil) }

const (
	// slownessHalfLife is the half-life of the learned slowness.
	slownessHalfLife = 8 * time.Second
	// slownessWeight is the weight of a new run in the slowness.
	slownessWeight = 0.5
	// slowThreshold is the slowness above which a worker is avoided.
	slowThreshold = 1.0
)

// recordRunTime records how long a run took, as a multiple of the run time that
// is typical of its step.
func (h *health) recordRunTime(now time.Time, ratio float64) {
	known := h.currentSlowness(now)
	h.slowness = known + slownessWeight*(max(ratio-1, 0)-known)
	h.slownessAt = now
}

// currentSlowness returns the slowness, decayed to the current time.
func (h *health) currentSlowness(now time.Time) float64 {
	if h.slowness == 0 {
		return 0
	}
	return h.slowness * math.Exp2(-float64(now.Sub(h.slownessAt))/float64(slownessHalfLife))
}

// avoidedSlowness returns the slowness if the worker is avoided for it, and otherwise 0.
func (h *health) avoidedSlowness(now time.Time) float64 {
	if slow := h.currentSlowness(now); slow > slowThreshold {
		return slow
	}
	return 0
}

// unlistedSinceReport reports whether the entry of a worker has left the list since
// the worker last answered, so that it may have crashed.
func (w *worker) unlistedSinceReport() bool {
	return !w.listed && !w.lastReport.After(w.unlistedAt)
}
