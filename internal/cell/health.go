package cell

import (
	"math"
	"time"
)

// health tells a worker on which everything fails from one that has bad luck.
type health struct {
	// failures counts the runs that failed since the last that did not.
	failures int
	// stragglers counts the runs that made too little progress since the last
	// that was done.
	stragglers       int
	quarantinedUntil time.Time
	// slowness is how many times as long as elsewhere tasks took here, less 1,
	// as learned at slowAt.
	slowness   float64
	slownessAt time.Time
}

const (
	// quarantineThreshold is the number of failures in a row after which a worker
	// gets no starts for a while.
	quarantineThreshold = 2
	// quarantineDuration is how long a worker gets no starts after failures.
	quarantineDuration = 4 * time.Second
	// refusalQuarantine is how long a worker gets no starts that could not take a call.
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

// straggled notes a run that made too little progress.
func (h *health) straggled(now time.Time) {
	h.stragglers++
	if h.stragglers >= quarantineThreshold {
		h.quarantinedUntil = now.Add(quarantineDuration)
	}
}

func (h *health) refused(now time.Time) { h.quarantinedUntil = now.Add(refusalQuarantine) }

func (h *health) quarantined(now time.Time) bool { return now.Before(h.quarantinedUntil) }

const (
	// slownessHalfLife is the time in which half of a learned slowness is forgotten.
	slownessHalfLife = 8 * time.Second
	// slownessWeight is the weight of one more run in the slowness.
	slownessWeight = 0.5
	// slowThreshold is the slowness from which on a worker is avoided.
	slowThreshold = 1.0
)

// recordRunTime notes how long a run recordRunTime, as a multiple of what is typical of its step.
func (h *health) recordRunTime(now time.Time, times float64) {
	known := h.currentSlowness(now)
	h.slowness = known + slownessWeight*(max(times-1, 0)-known)
	h.slownessAt = now
}

// currentSlowness is the slowness as far as it is still believed.
func (h *health) currentSlowness(now time.Time) float64 {
	if h.slowness == 0 {
		return 0
	}
	return h.slowness * math.Exp2(-float64(now.Sub(h.slownessAt))/float64(slownessHalfLife))
}
