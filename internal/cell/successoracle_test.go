package cell_test

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// The oracle judges starts beside a successful run of their task. The platform forbids a
// host in contact to start a task once its job is shown as completed.
//
// This project promises more than the platform asks for ends that it takes note of: a start
// after an acknowledged success is a violation although the lease had lapsed, unless an owner
// sent it that the acknowledging one has replaced; and an owner acknowledges no success, and
// shows no job as completed, while a start that it has sent may still be accepted.

// endKey identifies an end: workers number them anew in each incarnation.
type endKey struct {
	worker      *simWorker
	incarnation cell.Incarnation
	number      int64
}

func (s *simWorker) keyOf(e cell.Ended) endKey { return endKey{s, s.incarnation, e.Number} }

// lapsedSince reports whether the lease of a worker has lapsed since the end with a number.
// A lease lapses by its deadline, whether anything runs on the worker or not.
func (s *simWorker) lapsedSince(number int64, clock time.Duration) bool {
	return s.lapses > s.lapsesAtEnd[number] || clock >= s.deadline
}

// checkSuccess checks a start that its worker accepts against the acknowledged successes of
// its task. A long-running task is started again however its runs end.
func (w *simulation) checkSuccess(o *simOwner, a *cell.SendStart) {
	if w.step(a.Task).LongRunning {
		return
	}
	if by, shown := w.completedBy[a.Task.Job]; shown && o.epoch >= by {
		w.fail("task %s starts although its job was shown as completed", a.Task)
	}
	by, lapsed := w.doneBeforeLapse[a.Task]
	if replaced := lapsed && o.epoch < by; w.done[a.Task] && !replaced {
		w.fail("task %s starts although its success was acknowledged", a.Task)
	}
}

// acknowledgedSuccess checks and records the end of a successful run that its worker may
// forget. If the lease has lapsed since the end, an owner that was replaced before the
// acknowledgement may start the task.
func (w *simulation) acknowledgedSuccess(o *simOwner, s *simWorker, e cell.Ended) {
	lapsed := s.lapsedSince(e.Number, s.clock(w.now))
	tasks := w.represented(e.Task)
	for _, id := range tasks {
		switch {
		case !lapsed:
			delete(w.doneBeforeLapse, id)
		case !w.done[id]:
			w.doneBeforeLapse[id] = o.epoch
		}
		w.done[id] = true
	}
	if w.step(e.Task).LongRunning {
		return
	}
	if c := w.startInFlight(o, func(id workload.TaskID) bool { return w.represents(e.Task, id) }); c != nil {
		w.fail("the success of run %d of %s at %s is acknowledged while the start of %s as run %d may still be accepted by %s",
			e.Run, e.Task, s.id, c.start.Task, c.start.Run, c.worker.id)
	}
}

// checkShownAsCompleted checks and records that an owner shows a job as completed.
func (w *simulation) checkShownAsCompleted(o *simOwner, id workload.JobID) {
	if _, shown := w.completedBy[id]; !shown {
		w.completedBy[id] = o.epoch
	}
	if c := w.startInFlight(o, func(task workload.TaskID) bool { return task.Job == id }); c != nil {
		w.fail("job %s is shown as completed while the start of %s as run %d may still be accepted by %s",
			id, c.start.Task, c.start.Run, c.worker.id)
	}
}

// startInFlight returns a start of some tasks that an owner has sent and that its worker
// may still accept; nil if there is none.
func (w *simulation) startInFlight(o *simOwner, of func(workload.TaskID) bool) *simCall {
	for _, c := range w.calls {
		if c.owner == o && c.start != nil && of(c.start.Task) && w.mayBeAccepted(c) {
			return c
		}
	}
	return nil
}

// mayBeAccepted reports whether a worker would accept a start that is in flight. A worker
// that is cut off may be reached again.
func (w *simulation) mayBeAccepted(c *simCall) bool {
	s, a := c.worker, c.start
	switch {
	case s.dead || s.replaced || w.misses(a.Incarnation, s, omitStartIncarnation):
		return false
	case c.owner.epoch < s.fence && w.omit != omitFence && !w.unfenced:
		return false
	}
	r, there := s.runs[a.Task]
	return a.Run > s.highest[a.Task] && s.clock(w.now) < a.Deadline && (!there || r.number < a.Run)
}

// represents reports whether a successful run of one task completes another: itself, or a
// member of its gang.
func (w *simulation) represents(ended, id workload.TaskID) bool {
	return ended == id || ended.StepID == id.StepID && w.step(id).Gang
}

// represented returns the tasks that are done once a run of the given one has succeeded:
// all members of its gang.
func (w *simulation) represented(id workload.TaskID) []workload.TaskID {
	step := w.step(id)
	if !step.Gang {
		return []workload.TaskID{id}
	}
	members := make([]workload.TaskID, step.Tasks)
	for i := range members {
		members[i] = workload.TaskID{StepID: id.StepID, Index: i}
	}
	return members
}
