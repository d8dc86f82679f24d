package cell_test

import (
	"fmt"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// fail records the first violation of an invariant.
func (w *simulation) fail(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf(format, args...)
	}
}

// checkStart checks the invariants for a start that its worker accepts.
func (w *simulation) checkStart(o *simOwner, s *simWorker, a *cell.SendStart) {
	step := w.step(a.Task)
	for _, other := range w.workers {
		w.expire(other)
		if r, ok := other.runs[a.Task]; ok {
			w.fail("task %s starts at %s as run %d while run %d is at %s", a.Task, s.id, a.Run, r.number, other.id)
		}
	}
	w.checkSuccess(o, a)
	w.checkDecisions(s, a)
	w.checkConstraints(s, step, a)
	w.checkCap(a)
	for _, dep := range step.After {
		w.checkDone(a.Task, dep)
	}
	if !step.LongRunning && w.failedRuns[failureKey(step, a.Task)] >= maxAttempts {
		w.fail("task %s starts after %d failed runs", a.Task, maxAttempts)
	}
	var taken job.Size
	for _, r := range s.runs {
		taken = taken.Add(r.size)
	}
	if taken = taken.Add(step.Reserved()); !taken.Fits(w.capacityLimit(s, a)) {
		w.fail("task %s exceeds the capacity of %s: %+v\n%s", a.Task, s.id, taken, w.owner().cell.Describe())
	}
}

// checkConstraints checks that a start meets the constraints of its step.
func (w *simulation) checkConstraints(s *simWorker, step *workload.Step, a *cell.SendStart) {
	if due := w.job(a.Task.Job).Due(a.Task.Occurrence); w.now.Before(due) {
		w.fail("task %s starts %s before it is due", a.Task, due.Sub(w.now))
	}
	if step.Label != "" && step.Label != s.label {
		w.fail("task %s needs a worker that is %s and starts at %s", a.Task, step.Label, s.id)
	}
	if from := w.checkpoints[a.Checkpoint]; a.Checkpoint != "" && from != a.Task && (!step.Gang || from.StepID != a.Task.StepID) {
		w.fail("task %s starts from checkpoint %q of %s", a.Task, a.Checkpoint, from)
	}
	alike := 0
	for id := range s.runs {
		if id.StepID == a.Task.StepID {
			alike++
		}
	}
	if step.MaxPerWorker > 0 && alike >= step.MaxPerWorker {
		w.fail("task %s starts at %s, which runs %d others of its step", a.Task, s.id, alike)
	}
}

// failureKey returns the task under which the failed runs of a task count:
// those of a gang count together.
func failureKey(step *workload.Step, id workload.TaskID) workload.TaskID {
	if step.Gang {
		id.Index = 0
	}
	return id
}

// checkDone checks that all tasks of an earlier step have succeeded once,
// whether that was acknowledged or lost with the worker.
func (w *simulation) checkDone(of workload.TaskID, dep int) {
	id := workload.StepID{Job: of.Job, Occurrence: of.Occurrence, Step: dep}
	earlier := w.step(workload.TaskID{StepID: id})
	for i := range earlier.Tasks {
		t := workload.TaskID{StepID: id, Index: i}
		if !w.everDone[t] {
			w.fail("task %s starts before %s is done", of, t)
		}
	}
}

// acknowledged records an end that a worker may forget.
func (w *simulation) acknowledged(o *simOwner, s *simWorker, e cell.Ended) {
	w.takeNote(s, e)
	switch e.Kind {
	case cell.EndDone:
		w.acknowledgedSuccess(o, s, e)
	case cell.EndFailed:
		w.failedRuns[failureKey(w.step(e.Task), e.Task)]++
	case cell.EndStopped, cell.EndLeaseExpired, cell.EndGangBroken, cell.EndGangIncomplete:
	}
}

// checkShown checks the state that a client would see against what has
// happened.
func (w *simulation) checkShown(o *simOwner, id workload.JobID) {
	state, known := o.cell.Status(id)
	if !known {
		w.fail("the owner does not know the accepted job %s", id)
	}
	if w.completed[id] && state != workload.StateCompleted && !w.cancelled[id] {
		w.fail("job %s was shown as completed and is %s now", id, state)
	}
	if state == workload.StateCompleted {
		w.checkShownAsCompleted(o, id)
		w.completed[id] = true
		if w.job(id).LongRunning() {
			w.fail("job %s is shown as completed, and its tasks last", id)
		}
	}
	w.checkEnded(id, state)
	if state == workload.StateCancelled && !w.cancelled[id] {
		w.fail("job %s is shown as cancelled, and nobody cancelled it", id)
	}
}
