package cell

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// StepsEvaluated returns how many steps decisions have evaluated so far.
func (c *Cell) StepsEvaluated() int { return c.stepsEvaluated }

// HasNextStep reports whether the next decision has a step to evaluate.
func (c *Cell) HasNextStep(now time.Time) bool {
	return c.hasNextStep() && !c.dispatch.full(now, startOther)
}

// QueueOf returns the queue that decisions about a job use.
func (c *Cell) QueueOf(id workload.JobID) manifest.Queue { return *c.queueOf(c.jobs[id]) }

// Misfiled returns the open steps whose class is not that of their rank and queue, and
// those that wait in the list of another class.
func (c *Cell) Misfiled() []workload.StepID {
	var out []workload.StepID
	for _, s := range c.openSteps {
		if s.class != c.startClassOf(s, s.key.rank) {
			out = append(out, s.id)
		}
	}
	for _, l := range []*classifiedSteps{&c.evalQueue.pending, &c.urgentQuestions.waiting, &c.longQuestions.waiting} {
		for class := range l.lists {
			for _, s := range l.lists[class].steps {
				if !s.open || int(s.class) != class {
					out = append(out, s.id)
				}
			}
		}
	}
	return out
}

// TickWithoutSweep is Tick without its sweep, so that steps are evaluated only
// after a change or when one of their timers is due.
func (c *Cell) TickWithoutSweep(now time.Time) {
	c.tickState(now)
	c.placementPending = true
}

// TimerCount returns the number of step timers.
func (c *Cell) TimerCount() int { return len(c.evalQueue.timers) }

// MissedSteps returns the steps that have a task which could be placed now, or
// that could ask about more workers, although the last decision did neither. It
// leaves out gangs, and workers that have become usable since the last tick
// without having reported, or that answer again.
func (c *Cell) MissedSteps(now time.Time) []workload.StepID {
	var out []workload.StepID
	// workerFor adds to it, which would have later decisions evaluate the step.
	defer func(awaiting map[workload.StepID]*stepState) { c.awaitingIsolation = awaiting }(maps.Clone(c.awaitingIsolation))
	usable := newUsableWorkers(c)
	usable.begin(now)
	usable.of("")
	for service, workers := range usable.byService {
		usable.byService[service] = slices.DeleteFunc(workers, func(w *worker) bool { return !w.usableAtTick })
	}
	for _, s := range c.openSteps {
		if s.spec.Gang || c.awaitsOthers(now, s) || c.dispatch.full(now, s.class) {
			continue
		}
		eligible := slices.DeleteFunc(c.eligible(now, s, c.queueOf(s.job), &usable), func(w *worker) bool { return !w.usableAtTick })
		for _, t := range s.tasks {
			if t.phase == phaseWaiting && c.earlyStarts.unrecorded[t.id] == nil && c.workerFor(now, t, eligible) != nil {
				out = append(out, s.id)
				break
			}
		}
		if c.couldAsk(now, s, &usable) {
			out = append(out, s.id)
		}
	}
	return out
}

// couldAsk reports whether a question about a step could be asked. It leaves
// out steps with a task that avoids a worker: such a task may have to ask once
// others take the capacity there, which the sweeps of later ticks detect.
func (c *Cell) couldAsk(now time.Time, s *stepState, usable *usableWorkers) bool {
	q := c.queueOf(s.job)
	if !q.Advice.Needed() || s.waiting == 0 || c.questionOpen(now, s, q) || now.Before(s.advice.notBefore) || c.limiterFor(s).available() <= 0 {
		return false
	}
	if slices.ContainsFunc(s.tasks, func(t *task) bool { return t.phase == phaseWaiting && t.avoidWorker != "" }) {
		return false
	}
	workers, _ := c.workersToAsk(now, s, q, usable)
	return slices.ContainsFunc(workers, func(id WorkerID) bool { return c.workers[id].usableAtTick })
}

// Describe describes the state of a cell, for the messages of failed tests.
func (c *Cell) Describe() string {
	var b strings.Builder
	for _, w := range c.sortedWorkers {
		fmt.Fprintf(&b, "worker %s listed=%v reported=%v leaving=%v reserved=%+v preempted=%+v quarantined=%v\n",
			w.id, w.listed, w.reported, w.registration.Leaving, w.reserved, w.preempted, w.health.quarantinedUntil)
		for _, r := range w.runs.list {
			fmt.Fprintf(&b, "  run %s %d phase=%d stopping=%v answered=%v\n", r.task.id, r.number, r.phase, r.stopping, r.stopAnswered)
		}
	}
	for id, s := range c.openSteps {
		fmt.Fprintf(&b, "open %s waiting=%d done=%d preempted_for=%d\n", id, s.waiting, s.done, s.preemptedFor)
	}
	for id, j := range c.jobs {
		fmt.Fprintf(&b, "job %s %s visible=%s revision=%d durable=%d planned=%d dirty=%v\n",
			id, j.state, j.visibleState, j.revision, j.durable, len(j.planned), j.dirty)
		for _, steps := range j.occurrences {
			for _, s := range steps {
				for _, t := range s.tasks {
					fmt.Fprintf(&b, "  task %s phase=%d run=%d failed=%d current=%v\n", t.id, t.phase, t.lastRun, len(t.failedRuns), t.current != nil)
				}
			}
		}
	}
	return b.String()
}

// AccountUse returns what an account has in use on all workers together.
func (c *Cell) AccountUse(now time.Time, name string) job.Size {
	for _, v := range c.books.Views(now) {
		if v.Name == name {
			return v.Use
		}
	}
	return job.Size{}
}
