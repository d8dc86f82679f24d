package cell

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/workload"
)

const (
	// fullPace is the pace, in percent, of a run that is not throttled.
	fullPace = 100
	// unknownPace is the pace of a run that a predecessor throttled, or whose
	// last change of pace was not answered.
	unknownPace = -1
	// paceStep is the percentage by which the pace of a throttled run is
	// raised.
	paceStep = 20
	// throttleThreshold is the share of the latency target above which
	// best-effort tasks are throttled.
	throttleThreshold = 0.8
	// restoreThreshold is the share of the latency target below which the pace
	// of best-effort tasks is raised, at most once per restoreInterval.
	restoreThreshold = 0.5
	restoreInterval  = 500 * time.Millisecond
)

// hasMixedLoad reports whether best-effort tasks run beside tasks with a
// latency target.
func (w *worker) hasMixedLoad() bool {
	bestEffort := false
	for _, r := range w.runs.list {
		bestEffort = bestEffort || r.task.step.spec.BestEffort
	}
	return bestEffort && w.serves()
}

// adjustPace throttles the best-effort tasks of a worker as soon as the latency
// of a serving task comes near its target, and raises their pace slowly. On
// workers without serving tasks they run at full pace. An owner without authority
// raises no pace, since its successor may have reduced it.
func (c *Cell) adjustPace(now time.Time, w *worker) {
	c.repeatPaces(now, w)
	worst, serving := w.worstLatency()
	restore := worst < restoreThreshold && now.Sub(w.pacedAt) >= restoreInterval
	for _, r := range w.runs.list {
		if !r.task.step.spec.BestEffort || r.phase != runStarted {
			continue
		}
		pace := r.pace
		switch {
		case !serving:
			pace = fullPace
		case worst > throttleThreshold:
			pace = 0
		case restore:
			pace = min(max(r.pace, 0)+paceStep, fullPace)
		}
		if pace != r.pace && (pace == 0 || c.mayOrder(now)) {
			w.pacedAt = now
			c.setPace(r, pace)
		}
	}
}

// worstLatency returns the highest ratio of latency to latency target among the
// worker's tasks, and whether any task has a target.
func (w *worker) worstLatency() (worst float64, serving bool) {
	for _, r := range w.runs.list {
		target := r.task.step.spec.LatencyTarget
		if target > 0 && r.phase == runStarted {
			serving = true
			worst = max(worst, r.load/float64(target.Milliseconds()))
		}
	}
	return worst, serving
}

func (c *Cell) setPace(r *run, percent int) {
	r.pace = percent
	c.emit(SetPace{Worker: r.worker.id, Task: r.task.id, Run: r.number, Percent: percent})
}

// repeatPaces sends the paces of the runs that a predecessor started once more when
// the authority of the predecessor has timed out, since a worker without fences may
// have obeyed it last.
func (c *Cell) repeatPaces(now time.Time, w *worker) {
	if !c.config.Unfenced || w.pacesRepeated || c.predecessorAuthority(now, AuthorityTimeout) > 0 {
		return
	}
	w.pacesRepeated = true
	for _, r := range w.runs.list {
		inherited := r.sentAt.IsZero() && r.phase == runStarted
		if inherited && r.task.step.spec.BestEffort && r.pace != unknownPace {
			c.setPace(r, r.pace)
		}
	}
}

// inheritedPace is the initial pace of a run that a predecessor started. Only
// best-effort tasks are ever throttled.
func inheritedPace(step *workload.Step) int {
	if step.BestEffort {
		return unknownPace
	}
	return fullPace
}

// PaceFailed records that a change of pace was not answered, so that it is
// repeated.
func (c *Cell) PaceFailed(id WorkerID, taskID workload.TaskID, number int) {
	if r := c.run(id, taskID, number); r != nil {
		r.pace = unknownPace
	}
}
