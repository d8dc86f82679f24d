package cell

import (
	"cmp"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// rank orders the steps that wait for capacity; a lower rank goes first.
type rank struct {
	class int
	// priority is that of the queue in classOverShare, and 0 in all other classes.
	priority int
	// ahead is set for jobs that are ahead of the rate of their account.
	ahead bool
	// due is when the job should be complete to meet its objective.
	due time.Time
}

func (r rank) compare(o rank) int {
	return cmp.Or(cmp.Compare(r.class, o.class), cmp.Compare(r.priority, o.priority), compareBools(r.ahead, o.ahead), r.due.Compare(o.due))
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

const (
	// classLongRunning is the class of long-running tasks that have been down
	// for some time. They go first, because they serve users of their own.
	classLongRunning = -1
	// classOverShare is the class of jobs of accounts that are over their share of the
	// capacity. It follows all priorities.
	classOverShare = classExpired - 1
	// classExpired is the class of jobs that are so late that their result no
	// longer benefits the client.
	classExpired = 1000
	// longRunningWait is how long a long-running task waits in its queue's
	// class.
	longRunningWait = 500 * time.Millisecond
	// expiredFactor times the objective is the wait after which a job is in
	// classExpired.
	expiredFactor = 3
)

func (c *Cell) rank(now time.Time, s *stepState) rank {
	q := c.queueOf(s.job)
	if c.config.Policy.Order == OrderArrival {
		return rank{due: s.waitStart()}
	}
	objective := Objective(s.job.job, q)
	out := rank{class: q.Priority, ahead: s.job.inExcess(now), due: s.fairStart().Add(objective)}
	switch {
	case s.job.ahead(now) && s.job.member.OverShare():
		out.class, out.priority = classOverShare, q.Priority
	case s.spec.LongRunning:
		if !out.ahead && now.Sub(s.readyAt) > longRunningWait {
			out.class = classLongRunning
		}
	case now.After(s.waitStart().Add(expiredFactor * objective)):
		out.class = classExpired
	}
	return out
}

// waitStart returns when the client's wait begins.
func (s *stepState) waitStart() time.Time {
	return later(s.job.job.Due(s.id.Occurrence), s.job.acceptedAt)
}

// fairStart returns the time from which the due time of a step counts. That is not before
// the virtual arrival of its job.
func (s *stepState) fairStart() time.Time { return later(s.waitStart(), s.job.arrival) }

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// maxObjective limits the objective, so that expiredFactor times it does not overflow.
const maxObjective = workload.MaxDuration / 2

// Objective returns how long a job of a queue may take from its acceptance,
// according to its declared estimates.
func Objective(j *workload.Job, q *manifest.Queue) time.Duration {
	slack := min(max(q.SlackFactor*float64(criticalPath(j)), 0), float64(workload.MaxDuration))
	return min(time.Duration(slack)+min(q.TargetLatency, workload.MaxDuration), maxObjective)
}

// criticalPath returns the length of the longest path through a job's steps, at most
// workload.MaxDuration.
func criticalPath(j *workload.Job) time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	longest := time.Duration(0)
	for i := range j.Steps {
		begin := time.Duration(0)
		for _, after := range j.Steps[i].After {
			begin = max(begin, ends[after])
		}
		ends[i] = min(begin+j.Steps[i].Estimate, workload.MaxDuration)
		longest = max(longest, ends[i])
	}
	return longest
}

// score returns how well a worker suits one more task of a step; higher is
// better.
func (s *stepState) score(w *worker) float64 {
	free := w.freeCapacity()
	score := s.locality(w)
	if s.spec.BestEffort {
		return score + bestEffortScore(s, w)
	}
	if w.serves() && s.spec.LatencyTarget > 0 {
		score -= spreadPenalty
	}
	// Best fit keeps large gaps for large tasks.
	left := free.Sub(s.spec.Reserved())
	return score - left.DominantShare(w.registration.Capacity)
}

// locality returns how near a worker is to the data of a step and to its other tasks.
func (s *stepState) locality(w *worker) float64 {
	score := 0.0
	if s.spec.DataRack != "" && w.registration.HasLabel(s.spec.DataRack) {
		score += localityBonus
	}
	if s.spec.SameRack && s.rack != "" && s.rack == w.registration.Rack() {
		score += localityBonus
	}
	return score
}

const (
	// localityBonus outweighs any difference in fit.
	localityBonus = 10
	// spreadPenalty keeps serving tasks apart from each other.
	spreadPenalty = 3
)

// bestEffortScore prefers workers with idle cores and without serving tasks.
func bestEffortScore(s *stepState, w *worker) float64 {
	idle := w.freeCapacity().MilliCores
	for _, r := range w.runs.list {
		if r.task.step.spec.BestEffort {
			idle -= r.task.step.spec.Size.MilliCores
		}
	}
	score := float64(idle) / float64(max(s.spec.Size.MilliCores, 1))
	if w.serves() {
		score -= localityBonus
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
