package host

import (
	"testing"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/election"
	"cicadabarrow.example/cicadabarrow/internal/ledger"
)

func TestSinceRenewalAppliesToThePingedOwner(t *testing.T) {
	d := suspicion{epoch: 4, sinceRenewal: time.Second}
	for _, c := range []struct {
		name     string
		epoch    uint64
		readable time.Duration
		want     time.Duration
	}{
		{"the owner that was asked", 4, time.Minute, time.Second},
		{"its successor", 5, time.Minute, 0},
		{"a store that has just come back", 4, 200 * time.Millisecond, 200 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			sign := d.observation(election.State{Owner: ledger.Owner{Epoch: c.epoch}}, time.Millisecond, c.readable)
			if sign.Unrenewed != c.want || sign.Latency != time.Millisecond {
				t.Errorf("sign %+v", sign)
			}
		})
	}
}
