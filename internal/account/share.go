package account

import (
	"math"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/job"
)

const (
	// overShareHold is how long an account counts as over its share after others have
	// last waited, so that its steps are not ranked back and forth.
	overShareHold = time.Second
	// backWithinShare times its share is what the use of an account has to fall to until
	// it is within its share again.
	backWithinShare = 0.9
	// shareTime is the time constant of the mean use of an account. Jobs of all accounts may
	// need more than their share for a moment.
	shareTime = 10 * time.Second
	// minShare is the least share of an account. One or two jobs of an account with a small
	// weight may need more than its weight alone would give, and keep nobody waiting long.
	minShare = 0.1
)

// UpdateShares decides which accounts are over their share of the capacity, and returns
// the names of those for which that has changed. full is set while the cell has little
// free capacity, total is the capacity of its workers, and waiting has the accounts with
// tasks on time that wait for capacity; the empty name stands for jobs without an account.
//
// The share of an account is its weight divided by the weights of all accounts that use or
// want capacity, at least minShare. An account is over its share if its use, in the
// resource of which it uses the largest part, is larger than that now and in the mean of
// the last seconds while others within their share wait.
func (b *Books) UpdateShares(now time.Time, full bool, total job.Size, waiting map[string]bool) []string {
	passed := now.Sub(later(now.Add(-shareTime), b.sharesAt))
	b.sharesAt = now
	sum := 0.0
	for name, e := range b.entries {
		if waiting[name] || !e.use.IsZero() {
			sum += e.weight()
		}
	}
	within := make(map[string]bool, len(waiting)) // those that wait and are within their share
	for name := range waiting {
		e, known := b.entries[name]
		within[name] = !known || e.use.DominantShare(total) <= e.share(sum)
	}
	var changed []string
	for name, e := range b.entries {
		e.updateMean(passed, total)
		was := e.overShare
		e.updateShare(now, full && othersIn(within, name), total, sum)
		if e.overShare != was {
			changed = append(changed, name)
		}
	}
	return changed
}

// othersIn reports whether a set has other members than one name.
func othersIn(set map[string]bool, name string) bool {
	for other, member := range set {
		if member && other != name {
			return true
		}
	}
	return false
}

func (e *entry) updateShare(now time.Time, othersWait bool, total job.Size, sum float64) {
	used, share := e.use.DominantShare(total), e.share(sum)
	switch {
	case min(used, e.meanShare) > share && othersWait:
		if !e.overShare {
			e.overShareSince = now
		}
		e.overShare, e.overShareUntil = true, now.Add(overShareHold)
	case used <= backWithinShare*share || now.After(e.overShareUntil):
		e.overShare = false
	}
}

// updateMean adds the use in the time that has passed to the mean.
func (e *entry) updateMean(passed time.Duration, total job.Size) {
	e.meanShare += (e.use.DominantShare(total) - e.meanShare) * (1 - math.Exp(-passed.Seconds()/shareTime.Seconds()))
}

// share returns the share of the account in the capacity, given the sum of the weights.
func (e *entry) share(sum float64) float64 {
	if sum <= 0 {
		return 1
	}
	return max(e.weight()/sum, minShare)
}

// weight returns the weight of an account that counts.
func (e *entry) weight() float64 {
	terms := e.accepted
	if e.known {
		terms = e.terms
	}
	if !(terms.Weight > minWeight) { // also for a weight that is not a number
		return minWeight
	}
	return terms.Weight
}

// OverShare reports whether the account uses more than its share of the capacity while
// others wait.
func (m *Member) OverShare() bool { return m != nil && m.entry.overShare }
