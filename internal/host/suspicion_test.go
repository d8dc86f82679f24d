package host

import (
	"testing"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/election"
	"cicadabarrow.example/cicadabarrow/internal/ledger"
)

// TestSinceRenewalAppliesToThePingedOwner checks that the renewal age which an
// owner reports counts neither against its successor nor for the time in which
// this host could not read the store.
func TestSinceRenewalAppliesToThePingedOwner(t *testing.T) {
	s := suspicion{epoch: 4, sinceRenewal: time.Second}
	for _, c := range []struct {
		name     string
		epoch    uint64
		readable time.Duration
		want     time.Duration
	}{
		{"the pinged owner", 4, time.Minute, time.Second},
		{"its successor", 5, time.Minute, 0},
		{"a store that has just become readable", 4, 200 * time.Millisecond, 200 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := s.observation(election.State{Owner: ledger.Owner{Epoch: c.epoch}}, time.Millisecond, c.readable)
			if got.SinceRenewal != c.want || got.ReadLatency != time.Millisecond {
				t.Errorf("observation %+v", got)
			}
		})
	}
}

// TestSinceRenewalDoesNotCountAfterALaterRenewal guards against the takeover from an
// owner that has renewed its row and has not got the response yet.
func TestSinceRenewalDoesNotCountAfterALaterRenewal(t *testing.T) {
	s := suspicion{epoch: 4, sinceRenewal: time.Second, rowVersion: 7}
	for version, want := range map[uint64]time.Duration{7: time.Second, 8: 0} {
		state := election.State{Owner: ledger.Owner{Epoch: 4}, Version: version}
		if got := s.observation(state, time.Millisecond, time.Minute).SinceRenewal; got != want {
			t.Errorf("version %d: unrenewed for %v; want %v", version, got, want)
		}
	}
}

// TestAnsweringOwnerIsKnownWhateverTheVersion guards against the takeover from an owner
// on a slow store whose row changes between its answer and the read.
func TestAnsweringOwnerIsKnownWhateverTheVersion(t *testing.T) {
	s := suspicion{epoch: 4, sinceRenewal: time.Second, rowVersion: 7}
	for _, c := range []struct {
		epoch, version uint64
		want           bool
	}{{4, 7, true}, {4, 8, true}, {5, 8, false}} {
		state := election.State{Owner: ledger.Owner{Epoch: c.epoch}, Version: c.version}
		if got := s.observation(state, time.Millisecond, time.Minute).Answering; got != c.want {
			t.Errorf("epoch %d, version %d: answering is %v", c.epoch, c.version, got)
		}
	}
	if (suspicion{epoch: 4}).observation(election.State{Owner: ledger.Owner{Epoch: 4}}, 0, 0).Answering {
		t.Error("an owner without an answer counts as answering")
	}
}
