package cell_test

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// execute executes a call on its worker and returns the answer. fenced is set
// if the worker refused the call because of its fencing token.
func (w *simulation) execute(c *simCall) (outcome cell.StartOutcome, report cell.Report, fenced bool) {
	s := c.worker
	w.expire(s)
	w.advanceGangs()
	if c.owner.epoch < s.fence && w.omit != omitFence && !w.unfenced {
		return cell.StartOutcome{Refused: cell.RefusedFence}, cell.Report{}, true
	}
	s.fence = max(s.fence, c.owner.epoch)
	switch {
	case c.start != nil && w.misses(c.start.Incarnation, s, omitStartIncarnation):
		outcome.Refused = cell.RefusedRestarted
	case c.start != nil:
		outcome = w.start(s, c)
		if r, ok := s.runs[c.start.Task]; ok && c.answered {
			r.uncertain = true
		}
	case c.stop != nil:
		w.stop(s, c)
		outcome.Clock = s.clock(w.now)
	case w.misses(c.hold.Incarnation, s, omitHoldIncarnation):
		read := c.hold.ReadOnly()
		report = w.report(c.owner, s, &read)
	default:
		report = w.report(c.owner, s, c.hold)
	}
	return outcome, report, false
}

// misses reports whether a call that is meant for an incarnation finds another one.
func (w *simulation) misses(meant cell.Incarnation, s *simWorker, omitted omittedGuard) bool {
	return w.bound && w.omit != omitted && meant != 0 && meant != s.incarnation
}

func (w *simulation) start(s *simWorker, c *simCall) cell.StartOutcome {
	a, clock := c.start, s.clock(w.now)
	s.extend(a.Deadline, clock)
	if r, ok := s.runs[a.Task]; ok {
		if r.number == a.Run {
			return cell.StartOutcome{Clock: clock}
		}
		return cell.StartOutcome{Refused: cell.RefusedStale, Clock: clock}
	}
	switch {
	case a.Run <= s.highest[a.Task]:
		return cell.StartOutcome{Refused: cell.RefusedStale, Clock: clock}
	case clock >= a.Deadline:
		return cell.StartOutcome{Refused: cell.RefusedLate, Clock: clock}
	}
	w.checkStart(c.owner, s, a)
	w.noteStart(s, a)
	step := w.step(a.Task)
	r := &simRun{
		number: a.Run, size: step.Reserved(), longRunning: step.LongRunning, gang: step.Gang,
		checkpoints: step.Checkpoints, arrived: w.now, epoch: c.owner.epoch,
	}
	r.crashAt = w.drawCrash(a.Task)
	s.runs[a.Task] = r
	delete(w.down, a.Task)
	if step.Gang {
		w.joinGang(a)
		w.advanceGangs()
	} else {
		r.ends = !step.LongRunning || w.lastingRunsEnd
		r.until = w.now.Add(w.drawRunTime(a.Task))
		r.fails = w.drawFailure()
	}
	return cell.StartOutcome{Clock: clock}
}

func (s *simWorker) extend(deadline, clock time.Duration) {
	if clock >= s.deadline {
		s.lapses++
	}
	s.deadline = max(s.deadline, min(deadline, clock+simConfig().MaxLease))
}

func (w *simulation) stop(s *simWorker, c *simCall) {
	a := c.stop
	s.highest[a.Task] = max(s.highest[a.Task], a.Run)
	if r, ok := s.runs[a.Task]; ok && r.number <= a.Run {
		w.breakGang(a.Task, r)
		if !s.toldToLeave && w.atWork(r) {
			w.checkDisruption(a.Task)
		}
		w.end(s, a.Task, r, cell.EndStopped)
		s.ends[len(s.ends)-1].Checkpoint = w.checkpoint(a.Task, r)
	}
}

func (w *simulation) end(s *simWorker, id workload.TaskID, r *simRun, how cell.EndKind) {
	delete(s.runs, id)
	s.ended++
	s.highest[id] = max(s.highest[id], r.number)
	s.lapsesAtEnd[s.ended] = s.lapses
	e := cell.Ended{Number: s.ended, Task: id, Run: r.number, Kind: how}
	s.ends = append(s.ends, e)
	w.noteEnd(s, e)
}

// report answers a hold call. The oracle records the ends that the call
// acknowledges.
func (w *simulation) report(o *simOwner, s *simWorker, p *cell.HoldRequest) cell.Report {
	clock := s.clock(w.now)
	if p.Deadline > 0 {
		s.extend(p.Deadline, clock)
	}
	for len(s.ends) > 0 && s.ends[0].Number <= p.Acknowledged {
		w.acknowledged(o, s, s.ends[0])
		s.ends = s.ends[1:]
	}
	w.noteListed(s)
	out := cell.Report{Incarnation: s.incarnation, Clock: clock, Ended: slices.Clone(s.ends)}
	for _, id := range sortedTasks(s.runs) {
		percent := 50
		if r := s.runs[id]; r.longRunning && w.now.Sub(r.arrived) >= startupTime {
			percent = 100
		}
		out.Running = append(out.Running, cell.Running{
			Task: id, Run: s.runs[id].number, Percent: percent, Checkpoint: w.checkpoint(id, s.runs[id]),
		})
	}
	return out
}

// checkpoint returns the checkpoint of a run; empty means none.
func (w *simulation) checkpoint(id workload.TaskID, r *simRun) string {
	if !r.checkpoints {
		return ""
	}
	value := fmt.Sprintf("%s at %d", id, w.now.Sub(r.arrived).Milliseconds())
	w.checkpoints[value] = id
	return value
}

func sortedTasks(runs map[workload.TaskID]*simRun) []workload.TaskID {
	out := make([]workload.TaskID, 0, len(runs))
	for id := range runs {
		out = append(out, id)
	}
	slices.SortFunc(out, func(a, b workload.TaskID) int { return strings.Compare(a.String(), b.String()) })
	return out
}

// expire ends the runs that have finished or have lost their lease.
func (w *simulation) expire(s *simWorker) {
	expired := s.clock(w.now) >= s.deadline
	for _, id := range sortedTasks(s.runs) {
		r := s.runs[id]
		switch {
		case r.gang && expired:
			w.expiredLeases++
			w.breakGang(id, r)
			w.end(s, id, r, cell.EndLeaseExpired)
		case r.gang:
		case r.ends && !w.now.Before(r.until) && r.fails:
			w.noteFailed(id, r)
			w.end(s, id, r, cell.EndFailed)
		case r.ends && !w.now.Before(r.until):
			w.everDone[id] = true
			w.end(s, id, r, cell.EndDone)
		case expired:
			w.expiredLeases++
			w.end(s, id, r, cell.EndLeaseExpired)
		}
	}
}

func (w *simulation) step(id workload.TaskID) *workload.Step {
	for i := range w.jobs {
		if w.jobs[i].Job.ID == id.Job {
			return &w.jobs[i].Job.Steps[id.Step]
		}
	}
	w.fail("task %s of a job that nobody submitted", id)
	return &workload.Step{}
}
