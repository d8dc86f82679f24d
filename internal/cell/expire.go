package cell

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// endedJob is a job that waits to be forgotten.
type endedJob struct {
	id workload.JobID
	at time.Time
}

// Expired returns jobs that ended long enough ago to be forgotten, at most
// limit of them. The caller removes their rows and then calls Forget, or Keep if
// it could not.
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

// Forget drops jobs whose rows are gone.
func (c *Cell) Forget(ids []workload.JobID) {
	for _, id := range ids {
		delete(c.jobs, id)
	}
}

// RequeueExpired has jobs wait again whose rows could not be removed.
func (c *Cell) RequeueExpired(now time.Time, ids []workload.JobID) {
	for _, id := range ids {
		c.endedJobs = append(c.endedJobs, endedJob{id: id, at: now})
	}
}
