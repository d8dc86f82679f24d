package cell

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// Status returns the durable state of a job, and false if the job is unknown.
func (c *Cell) Status(id workload.JobID) (workload.State, bool) {
	j, known := c.jobs[id]
	if !known {
		return "", false
	}
	return j.visibleState, true
}

// FailureCause tells why a job has failed. It is workload.CauseNone as long as
// that is not durable.
func (c *Cell) FailureCause(id workload.JobID) workload.Cause {
	j, known := c.jobs[id]
	if !known || j.visibleState != workload.StateFailed {
		return workload.CauseNone
	}
	return j.cause
}

// QueueName returns the name of a job's queue, or "" if the job is unknown.
func (c *Cell) QueueName(id workload.JobID) string {
	j, known := c.jobs[id]
	if !known {
		return ""
	}
	return j.job.Queue
}

// AccountName returns the name of a job's account, or "" if the job has none or is
// unknown.
func (c *Cell) AccountName(id workload.JobID) string {
	j, known := c.jobs[id]
	if !known {
		return ""
	}
	return j.account.Name
}

// Pending returns the number of accepted jobs in a queue that have neither
// started a task nor ended.
func (c *Cell) Pending(queue string) int { return c.pending[queue] }

// Backlog is the waiting work and the capacity to run it.
type Backlog struct {
	// Jobs counts the jobs that have not ended, Steps those with tasks to
	// place, and Tasks these tasks.
	Jobs  int
	Steps int
	Tasks int
	// Records counts the jobs whose record waits to be made durable, and
	// Questions the steps with an open question for advice.
	Records   int
	Questions int
	// DispatchQueueLen counts the starts that only wait to be sent, and
	// DispatchQueueWait is how long the first of them has waited.
	DispatchQueueLen  int
	DispatchQueueWait time.Duration
	// Workers counts the workers that may get starts, and FreeMilliCores is
	// their free capacity in millicores.
	Workers        int
	FreeMilliCores int64
	// InterferingPairs counts the pairs of classes of tasks that are known to interfere.
	InterferingPairs int
}

// Backlog returns the current backlog.
func (c *Cell) Backlog(now time.Time) Backlog {
	b := Backlog{Jobs: c.unfinishedJobs, Steps: len(c.openSteps), Records: len(c.dirty), DispatchQueueLen: c.dispatch.len(), DispatchQueueWait: c.dispatch.longestWait(now), InterferingPairs: c.interferingPairs()}
	for _, s := range c.openSteps {
		b.Tasks += s.waiting
		if !s.advice.askedAt.IsZero() {
			b.Questions++
		}
	}
	for _, w := range c.sortedWorkers {
		if c.usable(now, w) {
			b.Workers++
			b.FreeMilliCores += max(w.freeCapacity().MilliCores, 0)
		}
	}
	return b
}

// Workers returns the IDs of the workers that need hold calls.
func (c *Cell) Workers() []WorkerID {
	out := make([]WorkerID, len(c.sortedWorkers))
	for i, w := range c.sortedWorkers {
		out[i] = w.id
	}
	return out
}
