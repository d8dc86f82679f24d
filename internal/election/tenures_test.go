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

// The count of short tenures is reset when the current owner is seen healthy after
// 5 s.
func TestAHealthyTenureResetsTheShortCount(t *testing.T) {
	begin := time.Unix(0, 0)
	var tenures election.Tenures
	for epoch := range uint64(4) {
		tenures.Begin(begin, epoch+1)
	}
	for _, c := range []struct {
		after time.Duration
		epoch uint64
		short int
	}{
		{0, 4, 3},
		{5*time.Second - 1, 4, 3},
		{time.Hour, 3, 3}, // an answer of an earlier owner
		{5 * time.Second, 4, 0},
	} {
		tenures.ObserveHealthy(begin.Add(c.after), c.epoch)
		if got := tenures.Short(); got != c.short {
			t.Errorf("epoch %d is healthy after %v: %d short tenures", c.epoch, c.after, got)
		}
	}
	tenures.Begin(begin.Add(time.Hour), 5)
	tenures.Begin(begin.Add(time.Hour+time.Second), 6)
	if got := tenures.Short(); got != 1 {
		t.Errorf("%d short tenures after a long and a short one", got)
	}
}

func TestAReleasedTenureIsNotCounted(t *testing.T) {
	now := time.Unix(0, 0)
	var tenures election.Tenures
	tenures.Begin(now, 1)
	tenures.Begin(now, 2)
	tenures.Release(1) // has ended already
	tenures.Begin(now, 3)
	if got := tenures.Short(); got != 2 {
		t.Errorf("%d short tenures before the release", got)
	}
	tenures.Release(3)
	tenures.Begin(now, 4)
	if got := tenures.Short(); got != 2 {
		t.Errorf("%d short tenures after the release", got)
	}
	tenures.Begin(now, 5)
	if got := tenures.Short(); got != 3 {
		t.Errorf("%d short tenures after the one that followed the release", got)
	}
}

func TestTimeoutGrowsAfterShortTenures(t *testing.T) {
	for short, want := range []time.Duration{timeout, 2 * timeout, 4 * timeout, 4 * timeout} {
		seen := election.Observation{ShortTenures: short}
		s := election.State{Version: 5, Owner: ledger.Owner{Epoch: 2}}
		detector := election.NewFailureDetector(timeout)
		begin := time.Unix(0, 0)
		if detector.TakeoverDue(begin, s, seen) || detector.TakeoverDue(begin.Add(want-time.Millisecond), s, seen) {
			t.Errorf("%d short tenures: due before %v", short, want)
		}
		if !detector.TakeoverDue(begin.Add(want), s, seen) {
			t.Errorf("%d short tenures: not due after %v", short, want)
		}
		seen.ProcessExited = true
		if !election.NewFailureDetector(timeout).TakeoverDue(begin, s, seen) {
			t.Errorf("%d short tenures: no takeover is due although the owner's process has exited", short)
		}
	}
}
