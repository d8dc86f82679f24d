package election_test

import (
	"testing"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/election"
	"cicadabarrow.example/cicadabarrow/internal/ledger"
)

func TestShortTenuresAreCounted(t *testing.T) {
	begin := time.Unix(0, 0)
	var tenures election.Tenures
	for _, c := range []struct {
		at    time.Duration
		epoch uint64
		short int
	}{
		{0, 3, 0},
		{time.Minute, 4, 0},
		{time.Minute + time.Second, 5, 1},
		{time.Minute + 2*time.Second, 5, 1},
		{time.Minute + 3*time.Second, 7, 2},
		{time.Minute + 4*time.Second, 6, 2},
		{2 * time.Minute, 8, 0},
	} {
		tenures.Begin(begin.Add(c.at), c.epoch)
		if got := tenures.Short(); got != c.short {
			t.Errorf("epoch %d at %v: %d short tenures", c.epoch, c.at, got)
		}
	}
}

func TestWatchIsPatientAfterShortTenures(t *testing.T) {
	for short, want := range []time.Duration{patience, 2 * patience, 4 * patience, 4 * patience} {
		sign := election.Sign{Short: short}
		s := election.State{Version: 5, Owner: ledger.Owner{Epoch: 2}}
		w := election.NewWatch(patience)
		begin := time.Unix(0, 0)
		if w.Due(begin, s, sign) || w.Due(begin.Add(want-time.Millisecond), s, sign) {
			t.Errorf("%d short tenures: due before %v", short, want)
		}
		if !w.Due(begin.Add(want), s, sign) {
			t.Errorf("%d short tenures: not due after %v", short, want)
		}
		sign.Gone = true
		if !election.NewWatch(patience).Due(begin, s, sign) {
			t.Errorf("%d short tenures: an owner that has ended is not replaced at once", short)
		}
	}
}
