package cell

import (
	"time"
)

// A job of an account has a virtual arrival time, by the rate of its account. Until then
// it is in excess: it is ranked after all jobs that are on time.

// arrivalOf returns the virtual arrival time of a job that has just been accepted. The
// jobs that a new owner reads from the store do not count: their predecessor has counted
// them.
func (c *Cell) arrivalOf(j *jobState) time.Time {
	if !j.acceptedAt.After(c.ownedSince) {
		return j.acceptedAt
	}
	return j.member.Arrive(j.acceptedAt)
}

// inExcess reports whether a job is ahead of the rate of its account: its virtual arrival
// is in the future.
func (c *Cell) inExcess(now time.Time, j *jobState) bool { return now.Before(j.arrival) }
