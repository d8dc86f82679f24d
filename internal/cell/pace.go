package cell

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/workload"
)

const (
	// fullPace is the percentage at which a run works unhindered.
	fullPace = 100
	// unknownPace is that of a run whose pace an earlier owner set, or a call
	// without an answer.
	unknownPace = -1
	// paceStep is the percentage by which a paced run is given back speed.
	paceStep = 20
	// throttleThreshold of the latency target is where best-effort tasks are cut.
	throttleThreshold = 0.8
	// restoreThreshold of the latency target is where best-effort tasks get speed back, at most
	// once in giveBackEvery.
	restoreThreshold = 0.5
	restoreInterval  = 500 * time.Millisecond
)

// hasMixedLoad reports whether best-effort tasks run beside tasks with a latency target.
func (w *worker) hasMixedLoad() bool {
	fills := false
	for _, r := range w.runs.list {
		fills = fills || r.task.step.spec.BestEffort
	}
	return fills && w.serves()
}

// adjustPace cuts the best-effort tasks of a worker as soon as a task that serves comes
// near its latency target, and gives them speed back slowly. Where nothing serves
// they work unhindered.
func (c *Cell) adjustPace(now time.Time, w *worker) {
	worst, serving := w.worstLatency()
	giveBack := worst < restoreThreshold && now.Sub(w.pacedAt) >= restoreInterval
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
		case giveBack:
			pace = min(max(r.pace, 0)+paceStep, fullPace)
		}
		if pace != r.pace {
			w.pacedAt = now
			c.setPace(r, pace)
		}
	}
}

// worstLatency returns the largest share that a task on the worker takes of its
// latency target, and whether there is any task with one.
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

// inheritedPace is the pace of a run that an earlier owner started. Only best-effort tasks
// are ever paced.
func inheritedPace(step *workload.Step) int {
	if step.BestEffort {
		return unknownPace
	}
	return fullPace
}

// PaceFailed notes that a change of pace has no answer, so that it is made again.
func (c *Cell) PaceFailed(id WorkerID, taskID workload.TaskID, number int) {
	if r := c.run(id, taskID, number); r != nil {
		r.pace = unknownPace
	}
}
