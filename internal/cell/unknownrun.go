package cell

import (
	"maps"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// unknownRun is an unknown run that a successor may have started.
type unknownRun struct {
	number int
	// commit is the first commit that begins after the run was reported.
	commit uint64
}

// stopUnknownRun stops an unknown run: a stale start that was carried out late,
// or a run of an ended job. The run occupies capacity until it is gone. An
// unrecorded run is not stopped here as long as it may still be adopted, that
// is become the current run of its task.
func (c *Cell) stopUnknownRun(now time.Time, w *worker, e *Running) {
	c.reserveForUnknownRun(w, e.Task)
	if s := c.unrecordedRunOf(w, e); s != nil && !s.stopping {
		s.reported = *e
		return
	}
	if c.mayBeOfSuccessor(w, e) || !c.mayOrder(now) {
		return
	}
	c.log.Info("stopping an unknown run",
		zap.String("Job", string(e.Task.Job)), zap.String("Task", e.Task.String()), zap.Int("Run", e.Run), workerField(w))
	c.emit(SendStop{Worker: w.id, Task: e.Task, Run: e.Run})
}

// mayBeOfSuccessor reports whether a successor may have started an unknown run. A
// commit that began after the run was reported, and took effect, rules that out. So
// does a final state that is durable. Workers that check fencing tokens refuse the stop
// themselves.
func (c *Cell) mayBeOfSuccessor(w *worker, e *Running) bool {
	if !c.config.Unfenced {
		return false
	}
	if j, known := c.jobs[e.Task.Job]; known && j.endDurable() {
		return false
	}
	u, seen := w.unknownRuns[e.Task]
	if !seen || u.number != e.Run {
		u = unknownRun{number: e.Run, commit: c.confirmingCommit()}
		w.unknownRuns[e.Task] = u
	}
	return c.commitsDone < u.commit
}

// endDurable reports whether a successor knows that the job has ended. A cancelled job
// has, since the store holds the request.
func (j *jobState) endDurable() bool {
	return j.state == workload.StateCancelled || j.state.Final() && j.durable >= j.revision
}

// forgetUnknownRuns forgets the unknown runs that a report does not list.
func (w *worker) forgetUnknownRuns(listed map[workload.TaskID]int) {
	maps.DeleteFunc(w.unknownRuns, func(id workload.TaskID, u unknownRun) bool {
		number, there := listed[id]
		return !there || number != u.number
	})
}

// reserveForUnknownRun reserves the capacity that an unknown run occupies.
func (c *Cell) reserveForUnknownRun(w *worker, id workload.TaskID) {
	if j, known := c.jobs[id.Job]; known && id.Step < len(j.job.Steps) {
		w.unknownReserved = w.unknownReserved.Add(j.job.Steps[id.Step].Reserved())
		w.chargeUnknown(id, j)
		return
	}
	w.unsizedRuns++
	c.setUnsizedTasks(w, append(w.unsizedTasks, id))
}

// logCompletedByUnknown logs that a run which this owner does not track has completed its
// task, together with the current run of the task, if there is one.
func (c *Cell) logCompletedByUnknown(w *worker, t *task, number int) {
	c.log.Info("task was completed by an unknown run", unknownRunFields(w, t, number,
		zap.Bool("LeaseExpired", w.clock >= w.deadline), zap.Int("LastRun", t.lastRun))...)
}

// logAcknowledged writes that the success of an unknown run is acknowledged.
func (c *Cell) logAcknowledged(w *worker, e pendingEnd) {
	if e.completed != nil {
		c.log.Info("acknowledging the success of an unknown run", unknownRunFields(w, e.completed, e.run, zap.Int64("End", e.number))...)
	}
}

// unknownRunFields returns the fields of an unknown run of a task, and those of the
// current run, if there is one.
func unknownRunFields(w *worker, t *task, number int, more ...zap.Field) []zap.Field {
	out := append([]zap.Field{
		zap.String("Job", string(t.id.Job)), zap.String("Task", t.id.String()), zap.Int("Run", number), workerField(w),
	}, more...)
	if r := t.current; r != nil {
		out = append(out, zap.Int("CurrentRun", r.number), zap.String("CurrentWorker", string(r.worker.id)), zap.Stringer("CurrentPhase", r.phase))
	}
	return out
}
