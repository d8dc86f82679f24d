package cell

import (
	"cmp"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// rank orders steps that wait for room; the smaller one goes first.
type rank struct {
	class int
	// due is when the job should be complete to keep its objective.
	due time.Time
}

func (r rank) compare(o rank) int {
	return cmp.Or(cmp.Compare(r.class, o.class), r.due.Compare(o.due))
}

const (
	// classLongRunning is the class of long-running tasks that have been away
	// for a while: they serve users of their own.
	classLongRunning = -1
	// classExpired is the class of jobs whose caller gains nothing any more.
	classExpired = 1000
	// longRunningWait is how long a long-running task waits in its queue's class.
	longRunningWait = 500 * time.Millisecond
	// expiredFactor times the objective is when a job serves nobody.
	expiredFactor = 3
)

func (c *Cell) rank(now time.Time, s *stepState) rank {
	q := c.queueOf(s.job)
	if c.config.Policy.Order == OrderArrival {
		return rank{due: s.begins()}
	}
	objective := Objective(s.job.job, q)
	due := s.begins().Add(objective)
	class := q.Priority
	switch {
	case s.spec.LongRunning:
		if now.Sub(s.readyAt) > longRunningWait {
			class = classLongRunning
		}
	case now.After(s.begins().Add(expiredFactor * objective)):
		class = classExpired
	}
	return rank{class: class, due: due}
}

// begins is when the caller's waiting time begins.
func (s *stepState) begins() time.Time {
	due := s.job.job.Due(s.id.Occurrence)
	if due.After(s.job.acceptedAt) {
		return due
	}
	return s.job.acceptedAt
}

// Objective is how long a job of a queue may take from its acceptance, by its
// declared estimates.
func Objective(j *workload.Job, q *manifest.Queue) time.Duration {
	return time.Duration(q.SlackFactor*float64(longestChain(j))) + q.TargetLatency
}

// longestChain returns the longest time through a job's steps.
func longestChain(j *workload.Job) time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	longest := time.Duration(0)
	for i := range j.Steps {
		begin := time.Duration(0)
		for _, after := range j.Steps[i].After {
			begin = max(begin, ends[after])
		}
		ends[i] = begin + j.Steps[i].Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// score tells how well a worker suits one more task of a step; the higher the
// better.
func (s *stepState) score(w *worker) float64 {
	free := w.free()
	score := 0.0
	if s.spec.DataRack != "" && w.registration.HasLabel(s.spec.DataRack) {
		score += nearScore
	}
	if s.spec.SameRack && s.rack != "" && s.rack == w.registration.Rack() {
		score += nearScore
	}
	if s.spec.BestEffort {
		return score + bestEffortScore(s, w)
	}
	if w.serves() && s.spec.LatencyTarget > 0 {
		score -= crowdScore
	}
	// Best fit keeps large gaps for large tasks.
	left := free.Sub(s.spec.Reserved())
	return score - left.DominantShare(w.registration.Capacity)
}

const (
	// nearScore outweighs any difference in fit.
	nearScore = 10
	// crowdScore keeps tasks that serve apart from each other.
	crowdScore = 3
)

// bestEffortScore prefers workers with idle cores and without tasks that serve.
func bestEffortScore(s *stepState, w *worker) float64 {
	idle := w.free().MilliCores
	for _, r := range w.runs.list {
		if r.task.step.spec.BestEffort {
			idle -= r.task.step.spec.Size.MilliCores
		}
	}
	score := float64(idle) / float64(max(s.spec.Size.MilliCores, 1))
	if w.serves() {
		score -= nearScore
	}
	return score
}

// serves reports whether a task with a latency target runs on the worker.
func (w *worker) serves() bool {
	for _, r := range w.runs.list {
		if r.task.step.spec.LatencyTarget > 0 {
			return true
		}
	}
	return false
}
