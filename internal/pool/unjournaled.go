package pool

import (
	"maps"
	"slices"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/platform"
)

// attemptGap is how many attempt numbers a new owner skips for each task that
// the one before may have started unjournaled, so that no number is used twice.
const attemptGap = 1 << 20

// intent is an attempt that waits for its record to become durable.
type intent struct {
	task   *task
	number int
}

// waits reports whether the attempt still waits to be sent.
func (i intent) waits() bool { return i.task.phase == phaseIntent && i.task.attempt == i.number }

// mayStartUnjournaled reports whether a task may start before its intent is
// durable: should this owner end, its successor cannot know of the attempt, so
// the task has to be one that may run again, and to start on its own.
func (t *task) mayStartUnjournaled() bool { return mayReplay(t.job.spec) && !t.job.isGang() }

// ScheduleUnjournaled places the waiting tasks that may start before their
// intents are durable, and starts those and the ones that wait for the journal
// already. Call it only while every possible successor knows that it may.
func (p *Pool) ScheduleUnjournaled(now time.Time) []Action {
	p.unjournaled = true
	out := p.Schedule(now)
	p.unjournaled = false
	var ready []intent
	for _, token := range slices.Sorted(maps.Keys(p.intents)) {
		for _, i := range p.intents[token] {
			if i.waits() && i.task.mayStartUnjournaled() {
				ready = append(ready, i)
			}
		}
	}
	return append(out, p.sendIntents(ready, true, now)...)
}

// doubt is what a new owner has to find out after one that may have started
// work that no record names.
type doubt struct {
	// open is set until all such work is accounted for.
	open bool
	// until is when the last lease of such work has surely lapsed, wherever it
	// runs.
	until time.Time
}

// openDoubt holds back every task that the owner before may have started
// unjournaled, and every worker until it has been asked for all that it runs.
// The first such question is asked when no start of that owner can arrive any
// more.
func (p *Pool) openDoubt(now time.Time) {
	p.doubt = doubt{open: true, until: p.graceEnd(now)}
	p.quietUntil = now.Add(p.cfg.TaskLease + p.cfg.ClockDriftMargin)
	for _, w := range p.workers {
		w.uncounted = true
	}
	for _, j := range p.jobs {
		for _, t := range j.tasks {
			if t.mayStartUnjournaled() {
				t.doubtful, t.skip = true, attemptGap
			}
		}
	}
}

// account ends the doubt once every worker has been counted, or every lease has
// lapsed.
func (p *Pool) account(now time.Time) {
	if !p.doubt.open || now.Before(p.quietUntil) {
		return
	}
	counted := true
	for _, w := range p.workers {
		if w.uncounted {
			counted = false
			if !w.since.IsZero() && w.askedAt.Before(p.quietUntil) {
				// Ask for everything that it runs.
				w.since, w.nextAskAt = time.Time{}, now
			}
		}
	}
	if counted || now.After(p.doubt.until) {
		p.closeDoubt()
	}
}

func (p *Pool) closeDoubt() {
	p.doubt.open = false
	for _, w := range p.workers {
		w.uncounted = false
	}
	p.markAccounted()
}

func (p *Pool) markAccounted() {
	p.accounted = p.epoch
	p.records = append(p.records, Record{Kind: RecordReconciled, Epoch: p.epoch})
}

// holdsBack reports whether a waiting task must not be placed yet, because an
// attempt of it may run that this owner did not start.
func (p *Pool) holdsBack(t *task, now time.Time) bool {
	if !t.doubtful || now.After(p.doubt.until) {
		return false
	}
	return p.doubt.open || p.hasStray(t)
}

func (p *Pool) hold(t *task) {
	if !t.held {
		t.held = true
		p.held = append(p.held, t)
	}
}

// releaseHeld lets the held tasks queue that need not be held back any more.
func (p *Pool) releaseHeld(now time.Time) {
	p.held = slices.DeleteFunc(p.held, func(t *task) bool {
		if waits(t) && p.holdsBack(t, now) {
			return false
		}
		t.held = false
		if waits(t) {
			p.queue.push(t)
		}
		return true
	})
}

// hasStray reports whether an attempt of the task runs that this owner did not
// start.
func (p *Pool) hasStray(t *task) bool {
	for _, w := range p.workers {
		for a := range w.strays {
			if a.Task == t.id {
				return true
			}
		}
	}
	return false
}

// adopt takes over an attempt that the owner before started unjournaled, if the
// task waits here and nothing speaks against it.
func (p *Pool) adopt(w *worker, tr platform.TaskReport) bool {
	j, ok := p.jobs[tr.Attempt.Task.Job]
	if !ok || !p.doubt.open || j.stopped() || tr.Attempt.Task.Index < 0 || tr.Attempt.Task.Index >= len(j.tasks) {
		return false
	}
	t := j.tasks[tr.Attempt.Task.Index]
	waits := t.phase == phaseWaiting || t.phase == phaseBackoff
	if !t.doubtful || !waits || tr.Attempt.Number <= t.attempt || p.hasStray(t) {
		return false
	}
	t.attempt = tr.Attempt.Number
	t.tries++
	t.phase = phaseRunning
	t.inherited, t.tracked = true, false
	t.worker, t.size, t.until = w, tr.Size, tr.Until
	t.endsBy = w.toldAt.Add(p.cfg.TaskLease)
	w.reserve(t)
	p.records = append(p.records, Record{
		Kind: RecordIntent, Attempt: t.current(), Worker: w.host.Name, Size: t.size, Until: t.until,
	})
	return true
}
