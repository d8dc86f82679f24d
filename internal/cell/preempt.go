package cell

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/job"
)

// preemptAfter is how long a task of the highest priority waits for capacity
// before it preempts other tasks.
const preemptAfter = 60 * time.Millisecond

// preempt frees capacity for a step of the highest priority: it stops runs of
// lower-priority queues that can resume from a checkpoint, on workers that the
// step is allowed on. A job in classExpired is not worth the work that is lost.
func (c *Cell) preempt(now time.Time, s *stepState, eligible []*worker) {
	if c.config.Policy.NoPreemption || s.class != startUrgent || s.spec.Gang || now.Sub(s.readyAt) < preemptAfter {
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
	free := w.freeCapacity().Add(w.preempted)
	if !need.Fits(free.Add(c.preemptibleCapacity(w))) {
		return 0
	}
	gained := 0
	for _, r := range w.runs.all() {
		if gained >= wanted {
			break
		}
		if !c.preemptible(r) {
			continue
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

// preemptibleCapacity returns the capacity held by the runs on a worker that can
// be preempted.
func (c *Cell) preemptibleCapacity(w *worker) job.Size {
	var held job.Size
	for _, r := range w.runs.list {
		if c.preemptible(r) {
			held = held.Add(r.task.step.spec.Reserved())
		}
	}
	return held
}

// preemptible reports whether a run can be stopped at little cost.
func (c *Cell) preemptible(r *run) bool {
	spec := r.task.step.spec
	return spec.Checkpoints && !spec.Gang && !spec.LongRunning && !spec.BestEffort && !r.stopping &&
		r.phase == runStarted && c.queueOf(r.task.step.job).Priority > 0
}

// preemption is a number of tasks of a step for which runs on one worker are
// being preempted.
type preemption struct {
	step  *stepState
	tasks int
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
