package account

import (
	"cmp"
	"slices"
	"time"
)

const (
	// burstAllowance is how far the jobs of an account may be ahead of its rate without
	// being in excess.
	burstAllowance = time.Second
	// minWeight is the least weight that is counted with. It bounds the time between two
	// jobs of an account without a weight.
	minWeight = 0.001
)

// Arrive counts a job that is accepted, and returns its virtual arrival time. The job is
// in excess before that time. The rule is the generic cell rate algorithm.
func (m *Member) Arrive(now time.Time) time.Time {
	if m == nil {
		return now
	}
	e := m.entry
	virtual := later(now, e.earliest.Add(-burstAllowance))
	e.earliest = later(now, e.earliest).Add(interval(m.Terms().Weight))
	return virtual
}

// excessFor returns how long a job that arrives now would be in excess.
func (e *entry) excessFor(now time.Time) time.Duration {
	if e.earliest.IsZero() {
		return 0
	}
	return max(e.earliest.Add(-burstAllowance).Sub(now), 0)
}

// interval returns the time between two jobs at the rate of a weight.
func interval(weight float64) time.Duration {
	if !(weight > minWeight) { // also for a weight that is not a number
		weight = minWeight
	}
	return time.Duration(float64(time.Second) / weight)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// overShareRetry is how long the next job of an account that is over its share is taken
// to be in excess, at least. How long it will be is not known.
const overShareRetry = 2 * time.Second

// overShareRefused is how long an account is over its share before its new jobs count as
// in excess. One large job that ends soon is no reason to refuse the next one.
const overShareRefused = 3 * time.Second

// Excess is an account whose next job would be in excess.
type Excess struct {
	Name string
	// OverShare is set if the account has been over its share of the capacity for some
	// time. Otherwise it is ahead of its rate.
	OverShare bool
	// For is how long it would be.
	For time.Duration
}

// InExcess returns the accounts whose next job would be in excess, at most limit of
// them, those that are so for longest first. It also forgets the rates of accounts that
// are no longer ahead of theirs.
func (b *Books) InExcess(now time.Time, limit int) []Excess {
	var out []Excess
	for name, e := range b.entries {
		d := e.excessFor(now)
		over := e.overShare && now.Sub(e.overShareSince) >= overShareRefused
		if over {
			d = max(d, overShareRetry)
		}
		if d > 0 {
			out = append(out, Excess{Name: name, OverShare: over, For: d})
		}
		if !e.earliest.After(now) {
			e.earliest = time.Time{}
		}
		if !e.known && e.unused() {
			delete(b.entries, name)
		}
	}
	sortExcess(out)
	return out[:min(len(out), limit)]
}

// sortExcess sorts accounts by how long they are in excess, the longest time first.
func sortExcess(accounts []Excess) {
	slices.SortFunc(accounts, func(a, b Excess) int {
		return cmp.Or(cmp.Compare(b.For, a.For), cmp.Compare(a.Name, b.Name))
	})
}
