package admission

import (
	"testing"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/account"
)

// Jobs of an account that is ahead of its rate are refused while the cell is short of
// capacity for them, and no others for that reason.
func TestJobsInExcessAreRefusedWhileTheCellIsShort(t *testing.T) {
	const rate = 100
	heavy := []account.Excess{
		{Name: "heavy", For: 7 * time.Second}, {Name: "slightly", For: 10 * time.Millisecond}, {Name: "large", OverShare: true, For: 2 * time.Second},
	}
	// ahead and all are the starts before urgent jobs in excess, and before those of
	// accounts over their share.
	load := func(before, ahead, all int, inExcess []account.Excess) Load {
		l := demand(before, 0, true)
		l.InExcess = inExcess
		l.Services[0].Ahead = []Demand{{Starts: ahead, StartsDelayed: true}, {Priority: 1, Starts: all, StartsDelayed: true}}
		l.Services[0].OverShare = Demand{Starts: all, StartsDelayed: true}
		return l
	}
	urgent := func(account string) Job { return Job{Service: "s", Account: account} }
	for _, c := range []struct {
		name  string
		load  Load
		job   Job
		retry time.Duration
	}{
		{"an account in excess", load(0, 400, 400, heavy), urgent("heavy"), 7 * time.Second},
		{"an account that is hardly in excess", load(0, 400, 400, heavy), urgent("slightly"), minRetryAfter},
		{"an account that is not in excess", load(0, 400, 400, heavy), urgent("light"), 0},
		{"a job without an account", load(0, 400, 400, heavy), urgent(""), 0},
		{"another service", load(0, 400, 400, heavy), Job{Service: "other", Account: "heavy"}, 0},
		{"enough capacity", load(0, 40, 40, heavy), urgent("heavy"), 0},
		{"the backlog of a later priority", load(0, 40, 400, heavy), urgent("heavy"), 0},
		{"a job of that priority", load(0, 40, 400, heavy), Job{Service: "s", Priority: 1, Account: "heavy"}, 7 * time.Second},
		{"an account over its share", load(0, 40, 400, heavy), urgent("large"), 2 * time.Second},
		{"a job with time", load(0, 400, 400, heavy), Job{Service: "s", Account: "heavy", Slack: 5 * time.Second}, 0},
		{"a long-running job", load(0, 400, 400, heavy), Job{Service: "s", Account: "heavy", LongRunning: true}, 7 * time.Second},
		{"a long-running job that waits little", load(0, 250, 250, heavy), Job{Service: "s", Account: "heavy", LongRunning: true}, 0},
		{"no account in excess", load(0, 400, 400, nil), urgent("heavy"), 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := newOwner().observe(3*time.Second, rate, c.load)
			if retry, refused := got.RefusesExcess(c.job); retry != c.retry || refused != (c.retry > 0) {
				t.Errorf("retry after %v (%v), want %v: %+v", retry, refused, c.retry, got)
			}
			if _, refused := got.Refuses(c.job); refused {
				t.Errorf("refused for the backlog of jobs in excess: %+v", got)
			}
		})
	}
}

// A decision without accounts in excess must be that of a deployment without accounts.
func TestDecisionsWithoutExcessAreThoseOfBefore(t *testing.T) {
	l := demand(500, 500, true)
	before := newOwner().observe(3*time.Second, 100, l)
	l.Services[0].Ahead = []Demand{{Starts: 2000, StartsDelayed: true}}
	l.Services[0].OverShare = Demand{Starts: 2000, StartsDelayed: true}
	after := newOwner().observe(3*time.Second, 100, l)
	if len(after.Short) > 0 || len(after.InExcess) > 0 || len(after.Services) != len(before.Services) {
		t.Errorf("%+v, before %+v", after, before)
	}
}

// A new owner does not know which accounts are in excess, so that it refuses none of them
// by the decision of its predecessor.
func TestExcessIsNotInherited(t *testing.T) {
	o := newOwner()
	o.limiter = NewLimiter(Decision{
		Short: []ServiceShortage{{Service: "s", Wait: time.Hour}}, InExcess: []account.Excess{{Name: "a", For: time.Minute}},
	})
	got := o.observe(time.Second, 0, demand(400, 0, true))
	if retry, refused := got.RefusesExcess(Job{Service: "s", Account: "a"}); refused {
		t.Errorf("refused for %v", retry)
	}
}
