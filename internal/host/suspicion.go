package host

import (
	"time"

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
}

// observation returns what a host knows of the owner in addition to the state
// that it read. What an earlier owner reported does not count against the owner
// in the row. readable is how long this host has been able to read the store:
// before that the store may have been unavailable to the owner too, so a missed
// renewal from that time is not counted.
func (s suspicion) observation(state election.State, latency, readable time.Duration) election.Observation {
	observation := election.Observation{ReadLatency: latency}
	if state.Owner.Epoch == s.epoch {
		observation.SinceRenewal = min(s.sinceRenewal, readable)
	}
	return observation
}
