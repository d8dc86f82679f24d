package cell

import (
	"slices"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/job"
)

// A job of an account has a virtual arrival time, by the rate of its account. Until then
// it is ahead of the rate, and is ranked after the other jobs of its priority. A job is in
// excess if it is ahead, or if its account is over its share of the capacity. Those of the
// latter are ranked after all priorities.

// arrivalOf returns the virtual arrival time of a job that has just been accepted. The
// jobs that a new owner reads from the store do not count: their predecessor has counted
// them.
func (c *Cell) arrivalOf(j *jobState) time.Time {
	if !j.acceptedAt.After(c.ownedSince) {
		return j.acceptedAt
	}
	return j.member.Arrive(j.acceptedAt)
}

// ahead reports whether a job is ahead of the rate of its account.
func (j *jobState) ahead(now time.Time) bool { return now.Before(j.arrival) }

// inExcess reports whether a job is ahead of the rate of its account, or whether its
// account is over its share of the capacity.
func (j *jobState) inExcess(now time.Time) bool { return j.ahead(now) || j.member.OverShare() }

const (
	// shareWait is how long a task that is on time waits before the accounts that are over
	// their share are ranked after it.
	shareWait = 250 * time.Millisecond
	// fullDivisor of the capacity gives the free capacity below which the cell is full.
	fullDivisor = 8
)

// tickShares finds the accounts that are over their share of the capacity, and ranks
// their steps anew.
func (c *Cell) tickShares(now time.Time) {
	if c.books.Unused() {
		return
	}
	var total, free job.Size
	for _, w := range c.sortedWorkers {
		if w.usableAtTick {
			total, free = total.Add(w.registration.Capacity), free.Add(w.freeCapacity())
		}
	}
	full := free.MilliCores < total.MilliCores/fullDivisor || free.MemoryMB < total.MemoryMB/fullDivisor
	changed := c.books.UpdateShares(now, full, total, c.accountsThatWait(now))
	if len(changed) == 0 {
		return
	}
	for _, s := range slices.Clone(c.evalQueue.all.steps) {
		if s.job.member != nil && slices.Contains(changed, s.job.member.Name()) {
			c.rerank(now, s)
			c.markStep(s)
		}
	}
}

// accountsThatWait returns the accounts with tasks that have waited for shareWait, neither
// ahead of their rate nor beyond their cap. The empty name stands for jobs without an
// account.
func (c *Cell) accountsThatWait(now time.Time) map[string]bool {
	out := make(map[string]bool)
	c.waitingWithinCaps(func(s *stepState, tasks int) {
		if tasks > 0 && s.key.rank.class != classExpired && now.Sub(s.waitsSince()) > shareWait {
			out[s.job.member.Name()] = true
		}
	})
	return out
}

// waitsSince returns when a step began to wait for capacity: not before its virtual
// arrival.
func (s *stepState) waitsSince() time.Time { return later(s.readyAt, s.job.arrival) }
