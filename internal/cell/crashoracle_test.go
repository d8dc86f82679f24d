package cell_test

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

const (
	// crashesBeforeLimit is the number of crashes under a task after which its
	// starts are limited, and startsAfterCrashes that limit.
	crashesBeforeLimit = 3
	startsAfterCrashes = 2
	// crashesToGiveUp is the least number of crashes under a task for which it
	// may be given up.
	crashesToGiveUp = 2
)

// taskEvent is an accepted start of a task, or a crash of a worker under it.
type taskEvent struct {
	at     time.Time
	crash  bool
	run    int
	worker cell.WorkerID
	// incarnation is that of the worker, of a crash.
	incarnation cell.Incarnation
	// epoch is that of the owner that sent the start.
	epoch uint64
	// durable is set once a record that covers the run is durable, and lost if
	// an owner with such knowledge no longer exists.
	durable bool
	lost    bool
}

// noteStart records an accepted start, and checks that not too many starts of a
// deadly task follow its crashes. Others may start as often as their runs end
// for other reasons.
func (w *simulation) noteStart(s *simWorker, a *cell.SendStart) {
	w.crashes.history[a.Task] = append(w.crashes.history[a.Task], &taskEvent{at: w.now, run: a.Run, worker: s.id})
	history := w.crashes.history[a.Task]
	crashes, starts := 0, 0
	for _, e := range history {
		switch {
		case e.crash && !e.lost:
			crashes++
		case !e.crash && crashes >= crashesBeforeLimit:
			starts++
		}
	}
	if w.isDeadly(a.Task) && starts > startsAfterCrashes {
		w.fail("task %s starts as run %d at %s, which makes %d starts after %d workers had crashed under it:\n%s",
			a.Task, a.Run, s.id, starts, crashesBeforeLimit, w.describeHistory(history))
	}
}

func (w *simulation) describeHistory(history []*taskEvent) string {
	var b strings.Builder
	for _, e := range history {
		what := "starts"
		if e.crash {
			what = "crashes"
		}
		fmt.Fprintf(&b, "  %s before: run %d %s at %s lost=%v\n", w.now.Sub(e.at), e.run, what, e.worker, e.lost)
	}
	return b.String()
}

// hiddenCrash is a crash under a task that an owner cannot know of yet.
type hiddenCrash struct {
	task   workload.TaskID
	event  *taskEvent
	worker *simWorker
	// incarnation is the one that has crashed.
	incarnation cell.Incarnation
}

// noteCrash records that a worker crashes under the runs that it has.
//
// Some crashes limit starts only once an owner can know of them: a later worker on the
// machine has to report first, since its entry may have another writer. That may take a
// while unless calls are prompt and the machine is back before the lease has expired. The crash of a leaving
// worker looks like its exit, so it limits no starts. Nor can an owner know of
// runs that ended just before the crash: if no report has listed their end, they
// may be counts, but limit no starts.
func (w *simulation) noteCrash(s *simWorker, away time.Duration) {
	for _, e := range s.ends {
		if e.Number > s.reportedEnds {
			w.crashes.workersLost[e.Task]++
		}
	}
	for _, id := range sortedTasks(s.runs) {
		w.crashes.workersLost[id]++
		if s.leaving {
			continue
		}
		r := s.runs[id]
		e := &taskEvent{at: w.now, crash: true, run: r.number, worker: s.id, incarnation: s.incarnation, epoch: r.epoch, durable: r.durable}
		e.lost = !e.durable && e.epoch < w.epoch
		if away > longestPromptReturn || !w.crashes.prompt {
			w.crashes.hidden = append(w.crashes.hidden, hiddenCrash{id, e, s, s.incarnation})
			continue
		}
		w.crashes.history[id] = append(w.crashes.history[id], e)
	}
}

// reveal lets hidden crashes limit starts from now on.
func (w *simulation) reveal(known func(hiddenCrash) bool) {
	w.crashes.hidden = slices.DeleteFunc(w.crashes.hidden, func(h hiddenCrash) bool {
		if known(h) {
			w.crashes.history[h.task] = append(w.crashes.history[h.task], h.event)
			return true
		}
		return false
	})
}

// crashReported reveals the crashes that a report to the current owner shows.
func (w *simulation) crashReported(c *simCall, report cell.Report) {
	if c.owner == w.owner() {
		w.reveal(func(h hiddenCrash) bool {
			return h.worker.machine == c.worker.machine && h.incarnation < report.Incarnation
		})
	}
}

// hideUncounted is called when a new owner takes over. It has to hear of the crashes that
// no durable record counts.
func (w *simulation) hideUncounted() {
	if w.crashes.prompt {
		return
	}
	for id, history := range w.crashes.history {
		w.crashes.history[id] = slices.DeleteFunc(history, func(e *taskEvent) bool {
			if !e.crash || w.counted(id, e.run) {
				return false
			}
			w.crashes.hidden = append(w.crashes.hidden, hiddenCrash{id, e, w.worker(e.worker), e.incarnation})
			return true
		})
	}
}

// counted reports whether a durable record counts the crash under a run.
func (w *simulation) counted(id workload.TaskID, run int) bool {
	rec := w.store[id.Job]
	if id.Occurrence >= len(rec.Occurrences) || id.Step >= len(rec.Occurrences[id.Occurrence]) {
		return false
	}
	tasks := rec.Occurrences[id.Occurrence][id.Step].Tasks
	return id.Index < len(tasks) && slices.ContainsFunc(tasks[id.Index].Crashes, func(c cell.Crash) bool { return c.Run == run })
}

// noteDurable records which runs are covered by a record of an owner that has
// become durable: those that it names, and all earlier ones of that owner.
func (w *simulation) noteDurable(epoch uint64, rec cell.Record) {
	for k, steps := range rec.Occurrences {
		for i := range steps {
			for n, t := range steps[i].Tasks {
				id := workload.TaskID{StepID: workload.StepID{Job: rec.Job, Occurrence: k, Step: i}, Index: n}
				w.noteDurableTask(epoch, id, t)
			}
		}
	}
}

func (w *simulation) noteDurableTask(epoch uint64, id workload.TaskID, t cell.TaskRecord) {
	for _, e := range w.crashes.history[id] {
		e.durable = e.durable || e.epoch == epoch && e.run <= t.LastRun
	}
	for _, h := range w.crashes.hidden {
		h.event.durable = h.event.durable || h.task == id && h.event.epoch == epoch && h.event.run <= t.LastRun
	}
	for _, s := range w.workers {
		if r, there := s.runs[id]; there {
			r.durable = r.durable || r.epoch == epoch && r.number <= t.LastRun || t.Worker == s.id && t.Run == r.number
		}
	}
}

// loseEarlyRuns is called when a new owner takes over. It knows nothing of
// early starts whose record did not become durable, so crashes under them limit
// no starts.
func (w *simulation) loseEarlyRuns() {
	lose := func(e *taskEvent) { e.lost = e.lost || e.crash && !e.durable }
	for _, history := range w.crashes.history {
		for _, e := range history {
			lose(e)
		}
	}
	for _, h := range w.crashes.hidden {
		lose(h.event)
	}
}

// noteFailed records a failed run.
func (w *simulation) noteFailed(id workload.TaskID, r *simRun) {
	key := failureKey(w.step(id), id)
	if w.failed[key] == nil {
		w.failed[key] = make(map[int]bool)
	}
	w.failed[key][r.number] = true
}

// checkEnded checks a final state against the failed runs of the job's tasks
// and the crashes under them.
func (w *simulation) checkEnded(id workload.JobID, state workload.State) {
	if state == workload.StateCompleted && w.hasDeadlyTask(id) {
		w.fail("job %s has a task that crashes its workers and is shown as completed", id)
	}
	if state == workload.StateFailed && !w.mayHaveFailed(id) {
		w.fail("job %s is shown as failed, and no task of it has failed %d times or crashed %d workers\n%s",
			id, maxAttempts, crashesToGiveUp, w.owner().cell.Describe())
	}
}

// failUnlessGivenUp records a violation. If the job may be given up, it counts
// only if the job is not: the tasks of a job that is given up are stopped and are
// not missed.
func (w *simulation) failUnlessGivenUp(id workload.JobID, violation string) {
	if !w.mayHaveFailed(id) {
		w.fail("%s", violation)
		return
	}
	w.crashes.ifKept[id] = violation
}

// checkGivenUp checks at the end that the jobs for which violations were excused
// have been given up.
func (w *simulation) checkGivenUp() {
	for _, a := range w.jobs {
		violation, excused := w.crashes.ifKept[a.Job.ID]
		if state, _ := w.owner().cell.Status(a.Job.ID); excused && state != workload.StateFailed {
			w.fail("%s", violation)
		}
	}
}

func (w *simulation) mayHaveFailed(id workload.JobID) bool {
	for task, runs := range w.failed {
		if task.Job == id && len(runs) >= maxAttempts {
			return true
		}
	}
	for task, crashes := range w.crashes.workersLost {
		if task.Job == id && crashes >= crashesToGiveUp {
			return true
		}
	}
	return false
}
