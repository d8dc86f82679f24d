package cell

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/workload"
)

type phase uint8

const (
	// phaseWaiting tasks have no run.
	phaseWaiting phase = iota
	// phaseActive tasks have a run that may be on a worker.
	phaseActive
	// phaseDone tasks are done.
	phaseDone
)

type task struct {
	id    workload.TaskID
	step  *stepState
	phase phase
	// lastRun is the highest run number used, and numberRevision the revision
	// of the record that holds it.
	lastRun        int
	numberRevision uint64
	// failedRuns has the numbers of the failed runs. A run is listed once,
	// however often and however late workers report its end.
	failedRuns []int
	// crashes has the crashes of workers under runs of the task, and lost the
	// runs for which it is not known yet.
	crashes []Crash
	lost    []LostRun
	// notStarted has the numbers of later runs that certainly did not start. It is
	// kept only while the task has crashes or lost runs.
	notStarted []RunRange
	checkpoint string
	current    *run
	// succeeded is set once a run other than the current one has succeeded. The task is
	// done when no start of it is in flight any more.
	succeeded bool
	// avoidWorker is the worker to avoid: that of the last run that failed or was
	// rescheduled because it made too little progress.
	avoidWorker WorkerID
	// reschedules counts the runs that were stopped because they made too
	// little progress.
	reschedules  int
	waitingSince time.Time
	loggedWait   loggedWait
}

// setCurrent replaces the current run; nil for none.
func (t *task) setCurrent(r *run) {
	j := t.step.job
	if t.current != nil {
		j.runs--
	}
	if r != nil {
		j.runs++
	}
	t.current = r
}
