package host

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/election"
)

// suspicion is why a host takes the owner to be gone.
type suspicion struct {
	reason string
	// epoch is that of the owner which was asked.
	epoch uint64
	// sinceRenewal is for how long that owner could not renew its row, by its own
	// word.
	sinceRenewal time.Duration
}

// observation returns what a host knows beside the state that it has read. The word of
// an earlier owner does not count against the one in the row. While the store
// was away for this host, it may have been for the owner; readable is how long
// it has been back.
func (d suspicion) observation(s election.State, latency, readable time.Duration) election.Sign {
	sign := election.Sign{Latency: latency}
	if s.Owner.Epoch == d.epoch {
		sign.Unrenewed = min(d.sinceRenewal, readable)
	}
	return sign
}
