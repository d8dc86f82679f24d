package cell_test

import (
	"testing"

	"pgregory.net/rapid"

	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// TestLongRunningTasksStartAgainHoweverTheyEnd plays long-running tasks whose runs succeed
// and fail by themselves, also out of the owner's reach, so that it hears of the end after
// it has started the task elsewhere. Such an end must not keep the task from running.
func TestLongRunningTasksStartAgainHoweverTheyEnd(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t, omitNothing, rapid.Bool().Draw(t, "unfenced"))
		w.lastingRunsEnd = true
		if violation := w.play(t); violation != "" {
			t.Fatal(violation)
		}
	})
}

// keepLasting has long-running runs last from now on.
func (w *simulation) keepLasting() {
	w.lastingRunsEnd = false
	for _, s := range w.workers {
		for _, r := range s.runs {
			r.ends = r.ends && !r.longRunning
		}
	}
}

// lastingAway returns the long-running tasks that have no run, although their job has
// neither been cancelled nor given up.
func (w *simulation) lastingAway() []workload.TaskID {
	var away []workload.TaskID
	for i := range w.jobs {
		j := &w.jobs[i].Job
		if state, _ := w.owner().cell.Status(j.ID); state.Final() || w.hasDeadlyTask(j.ID) {
			continue
		}
		for k := range j.Steps {
			for n := range j.Steps[k].Tasks {
				id := workload.TaskID{StepID: workload.StepID{Job: j.ID, Step: k}, Index: n}
				if j.Steps[k].LongRunning && !w.hasRun(id) {
					away = append(away, id)
				}
			}
		}
	}
	return away
}

// hasRun reports whether a worker runs a task.
func (w *simulation) hasRun(id workload.TaskID) bool {
	for _, s := range w.workers {
		if _, runs := s.runs[id]; runs {
			return true
		}
	}
	return false
}
