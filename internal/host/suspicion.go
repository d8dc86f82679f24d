package host

import (
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/election"
)

// suspicion is the reason why a host suspects the owner, from its last ping.
type suspicion struct {
	reason string
	// epoch is the epoch of the owner that was pinged.
	epoch uint64
	// sinceRenewal is how long ago that owner last renewed its row, as it
	// reported itself.
	sinceRenewal time.Duration
	// rowVersion is the version of the row as of that renewal; 0 means unknown.
	rowVersion uint64
}

// observation returns what a host knows of the owner in addition to the state
// that it read. What an earlier owner reported does not count against the owner
// in the row, nor does it if the row has been renewed since: the owner may not have
// got the response yet. readable is how long this host has been able to read the store:
// before that the store may have been unavailable to the owner too, so a missed
// renewal from that time is not counted.
func (s suspicion) observation(state election.State, latency, readable time.Duration) election.Observation {
	observation := election.Observation{ReadLatency: latency}
	if state.Owner.Epoch != s.epoch {
		return observation
	}
	observation.Answering = s.sinceRenewal > 0
	if s.rowVersion == 0 || s.rowVersion == state.Version {
		observation.SinceRenewal = min(s.sinceRenewal, readable)
	}
	return observation
}

// suspect logs the begin of a suspicion, with what is known of the owner.
func (h *Host) suspect() {
	now := h.timers.Now()
	if !h.suspectedSince.IsZero() || h.suspicion.epoch == 0 {
		return
	}
	h.suspectedSince = now
	h.metrics.suspicions.Inc(1)
	fields := append(h.contact.fields(now, h.suspicion.epoch), zap.Duration("HostDelay", h.delay.Recent(now)))
	h.log.Info("the owner is suspected", append(fields, zap.Uint64("Epoch", h.suspicion.epoch), zap.String("Reason", h.suspicion.reason))...)
}

// trust logs the end of a suspicion, since the owner answers as a healthy one.
func (h *Host) trust() {
	if h.suspectedSince.IsZero() {
		return
	}
	now := h.timers.Now()
	h.log.Info("the owner is no longer suspected", append(h.contact.fields(now, h.suspicion.epoch),
		zap.Uint64("Epoch", h.suspicion.epoch), zap.Duration("Suspected", now.Sub(h.suspectedSince)))...)
	h.suspectedSince = time.Time{}
}
