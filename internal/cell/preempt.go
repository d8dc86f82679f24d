package cell

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/job"
)

// preemptAfter is how long a task of the highest priority waits for capacity
// before it preempts other tasks.
const preemptAfter = 60 * time.Millisecond

// preemptWhileAsking is the same while an answer about further workers with free
// capacity is expected.
const preemptWhileAsking = 300 * time.Millisecond

// preempt frees capacity for a step of the highest priority: it stops runs of
// lower-priority queues that can resume from a checkpoint, on workers that the
// step is allowed on. A job in classExpired is not worth the work that is lost.
func (c *Cell) preempt(now time.Time, s *stepState, eligible []*worker, asking bool) {
	after := preemptAfter
	if asking {
		after = preemptWhileAsking
	}
	if c.config.Policy.NoPreemption || s.class != startUrgent || s.spec.Gang || now.Sub(s.readyAt) < after {
		return
	}
	wanted := s.withinCap(job.Size{}) - s.preemptedFor
	if suspects := s.waitingSuspects(); suspects > 0 && slices.ContainsFunc(eligible, s.hasRoom) {
		wanted -= suspects // they wait for a worker that runs nothing
	}
	for _, w := range eligible {
		if wanted <= 0 {
			return
		}
		wanted -= c.preemptAt(now, s, w, wanted)
	}
}

// preemptAt stops runs on one worker and returns for how many tasks of the step
// this will free capacity.
func (c *Cell) preemptAt(now time.Time, s *stepState, w *worker, wanted int) int {
	if w.isolated != nil {
		return 0
	}
	need := s.spec.Reserved()
	free := w.freeCapacity().Add(w.preempted).Sub(w.promised())
	if !need.Fits(free.Add(c.preemptibleCapacity(now, w))) {
		return 0
	}
	gained := 0
	for _, r := range c.victims(now, w) {
		if gained >= wanted {
			break
		}
		freed := r.task.step.spec.Reserved()
		free = free.Add(freed)
		w.preempted = w.preempted.Add(freed)
		c.log.Info("preempting a run for an urgent step", append(runFields(r), zap.Stringer("For", s.id))...)
		r.preempted = true
		c.stop(now, r)
		for need.Fits(free) && gained < wanted {
			free = free.Sub(need)
			gained++
			s.preemptedFor++
		}
	}
	if gained > 0 {
		w.preemptions = append(w.preemptions, preemption{step: s, tasks: gained})
	}
	return gained
}

// victims returns the runs on a worker that can be preempted, those first that would hold
// their capacity for longest.
func (c *Cell) victims(now time.Time, w *worker) []*run {
	var out []*run
	for _, r := range w.runs.list {
		if c.preemptible(now, r) {
			out = append(out, r)
		}
	}
	slices.SortStableFunc(out, func(a, b *run) int { return cmp.Compare(c.remaining(now, b), c.remaining(now, a)) })
	return out
}

// remaining estimates how long a run still takes, from its progress or else from what is
// expected of its step. Without either it is the estimate of the step, and without that
// minPreemptedTime, so that the run is preempted after those that are known to take longer.
func (c *Cell) remaining(now time.Time, r *run) time.Duration {
	worked, timed := r.elapsed(now)
	if timed && r.fresh && r.percent > 0 {
		return worked * time.Duration(fullPercent-r.percent) / time.Duration(r.percent)
	}
	expected, known := c.expectedRunTime(r.task.step)
	if !known {
		expected = r.task.step.spec.Estimate
	}
	if expected == 0 {
		return minPreemptedTime
	}
	return expected * time.Duration(fullPercent-r.percent) / fullPercent
}

// preemptibleCapacity returns the capacity held by the runs on a worker that can
// be preempted. Many steps may need it in one round of placement.
func (c *Cell) preemptibleCapacity(now time.Time, w *worker) job.Size {
	if w.preemptibleIn == c.evalQueue.round {
		return w.preemptible
	}
	var held job.Size
	for _, r := range w.runs.list {
		if c.preemptible(now, r) {
			held = held.Add(r.task.step.spec.Reserved())
		}
	}
	w.preemptible, w.preemptibleIn = held, c.evalQueue.round
	return held
}

// minPreemptedTime is the least remaining time of a run that is stopped for others. What a
// stop and another start take, and the work since the last checkpoint, would exceed what
// an earlier end of the run gains.
const minPreemptedTime = 500 * time.Millisecond

// preemptible reports whether a run can be stopped at little cost.
func (c *Cell) preemptible(now time.Time, r *run) bool {
	spec := r.task.step.spec
	return spec.Checkpoints && !spec.Gang && !spec.LongRunning && !spec.BestEffort && !r.stopping &&
		r.phase == runStarted && c.queueOf(r.task.step.job).Priority > 0 && c.remaining(now, r) >= minPreemptedTime
}

// preemption is a number of tasks of a step for which runs on one worker are
// being preempted.
type preemption struct {
	step  *stepState
	tasks int
}

// promised returns the capacity of a worker for whose tasks runs are being preempted. Other
// steps cannot count on it.
func (w *worker) promised() job.Size {
	var out job.Size
	for _, p := range w.preemptions {
		out = out.Add(p.step.spec.Reserved().Times(int64(p.tasks)))
	}
	return out
}

// preemptedReleased subtracts a preempted run that has ended from the capacity
// that is about to become free. Once the last one has ended, the steps that they
// were preempted for are placed there, or preempt again: the worker's capacity
// may have shrunk, or others may have taken it.
func (c *Cell) preemptedReleased(r *run, freed job.Size) {
	if !r.preempted {
		return
	}
	w := r.worker
	w.preempted = w.preempted.Sub(freed)
	if slices.ContainsFunc(w.runs.list, func(r *run) bool { return r.preempted }) {
		return
	}
	for _, p := range w.preemptions {
		p.step.preemptedFor = max(p.step.preemptedFor-p.tasks, 0)
		c.markStep(p.step)
	}
	w.preemptions = nil
}
