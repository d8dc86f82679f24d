package cell

import "time"

// inExcess reports whether a job is ahead of the rate of its account: its virtual arrival
// is in the future.
func (c *Cell) inExcess(now time.Time, j *jobState) bool { return now.Before(j.arrival) }
