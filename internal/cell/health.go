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
	slowness float64
	slowAt   time.Time
}

const (
	// failuresToQuarantine is the number of failures in a row after which a worker
	// gets no starts for a while.
	failuresToQuarantine = 2
	// quarantineFor is how long a worker gets no starts after failures.
	quarantineFor = 4 * time.Second
	// quarantineAfterRefusal is how long a worker gets no starts that could not take a call.
	quarantineAfterRefusal = 300 * time.Millisecond
)

func (h *health) ended(now time.Time, how EndKind) {
	switch how {
	case EndDone:
		h.failures, h.stragglers = 0, 0
	case EndFailed:
		h.failures++
		if h.failures >= failuresToQuarantine {
			h.quarantinedUntil = now.Add(quarantineFor)
		}
	case EndStopped, EndLeaseExpired, EndGangBroken, EndGangIncomplete:
	}
}

// straggled notes a run that made too little progress.
func (h *health) straggled(now time.Time) {
	h.stragglers++
	if h.stragglers >= failuresToQuarantine {
		h.quarantinedUntil = now.Add(quarantineFor)
	}
}

func (h *health) refused(now time.Time) { h.quarantinedUntil = now.Add(quarantineAfterRefusal) }

func (h *health) quarantined(now time.Time) bool { return now.Before(h.quarantinedUntil) }

const (
	// slowMemory is the time in which half of a learned slowness is forgotten.
	slowMemory = 8 * time.Second
	// slowWeight is the weight of one more run in the slowness.
	slowWeight = 0.5
	// slowEnough is the slowness from which on a worker is avoided.
	slowEnough = 1.0
)

// took notes how long a run took, as a multiple of what is typical of its step.
func (h *health) took(now time.Time, times float64) {
	known := h.slowNow(now)
	h.slowness = known + slowWeight*(max(times-1, 0)-known)
	h.slowAt = now
}

// slowNow is the slowness as far as it is still believed.
func (h *health) slowNow(now time.Time) float64 {
	if h.slowness == 0 {
		return 0
	}
	return h.slowness * math.Exp2(-float64(now.Sub(h.slowAt))/float64(slowMemory))
}
