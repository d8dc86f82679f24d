package cell

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// endedJob is an ended job that is kept until it expires.
type endedJob struct {
	id workload.JobID
	at time.Time
}

// Expired returns up to limit jobs whose retention time has passed. The caller
// removes their rows and then calls Forget, or RequeueExpired if the removal
// failed. A job whose last record is not durable yet waits once more.
func (c *Cell) Expired(now time.Time, limit int) []workload.JobID {
	var out []workload.JobID
	for len(c.endedJobs) > 0 && len(out) < limit && now.Sub(c.endedJobs[0].at) > c.config.KeepEnded {
		first := c.endedJobs[0]
		c.endedJobs = c.endedJobs[1:]
		if j, known := c.jobs[first.id]; known && j.durable < j.revision {
			c.endedJobs = append(c.endedJobs, endedJob{id: first.id, at: now})
			continue
		}
		out = append(out, first.id)
	}
	return out
}

// Forget removes jobs whose rows have been deleted.
func (c *Cell) Forget(ids []workload.JobID) {
	for _, id := range ids {
		if j, known := c.jobs[id]; known {
			c.books.Leave(j.member)
		}
		c.releaseBytes(id)
		delete(c.jobs, id)
	}
}

// RequeueExpired keeps jobs whose rows could not be removed. They expire again
// after the full retention time.
func (c *Cell) RequeueExpired(now time.Time, ids []workload.JobID) {
	for _, id := range ids {
		c.endedJobs = append(c.endedJobs, endedJob{id: id, at: now})
	}
}
