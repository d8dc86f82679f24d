package pool

import (
	"maps"
	"slices"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/platform"
)

// attemptGap is how many attempt numbers a new owner skips for each task that
// its predecessor may have started unjournaled, so that no number is used
// twice.
const attemptGap = 1 << 20

// intent is an attempt that waits for its record to become durable.
type intent struct {
	task   *task
	number int
}

// isPending reports whether the attempt still waits to be sent.
func (i intent) isPending() bool { return i.task.phase == phaseIntent && i.task.attempt == i.number }

// mayStartUnjournaled reports whether a task may start before its intent is
// durable. If this owner dies, its successor does not know of the attempt, so
// the task must be replayable and must not be part of a gang. Whether the host
// may start tasks unjournaled at all is up to the caller of ScheduleUnjournaled.
func (t *task) mayStartUnjournaled() bool { return mayRerun(t.job.spec) && !t.job.isGang() }

// ScheduleUnjournaled places the waiting tasks that may start before their
// intents are durable, and starts them together with those whose intents
// already wait for the journal. Call it only while every possible successor
// knows that there may be unjournaled starts.
func (p *Pool) ScheduleUnjournaled(now time.Time) []Action {
	p.unjournaled = true
	out := p.Schedule(now)
	p.unjournaled = false
	var ready []intent
	for _, batchID := range slices.Sorted(maps.Keys(p.intents)) {
		for _, i := range p.intents[batchID] {
			if i.isPending() && i.task.mayStartUnjournaled() {
				ready = append(ready, i)
			}
		}
	}
	return append(out, p.sendIntents(ready, true, now)...)
}

// reconciliation is how a new owner finds out what runs when its predecessor
// may have started tasks unjournaled.
type reconciliation struct {
	// active is set until all such work is known or has ended.
	active bool
	// until is when the last lease of such work has certainly lapsed, on any
	// worker.
	until time.Time
}

// startReconciliation holds back every task that the predecessor may have
// started unjournaled, and every worker until it has reported everything that
// it runs. Only reports requested after the last start of the predecessor can
// have arrived count.
func (p *Pool) startReconciliation(now time.Time) {
	p.reconciliation = reconciliation{active: true, until: p.renewGraceEnd(now)}
	p.noPlacementBefore = now.Add(p.cfg.TaskLease + p.cfg.ClockDriftMargin)
	for _, w := range p.workers {
		w.unreconciled = true
	}
	for _, j := range p.jobs {
		for _, t := range j.tasks {
			if t.mayStartUnjournaled() {
				t.unreconciled, t.attemptSkip = true, attemptGap
			}
		}
	}
}

// reconcile ends the reconciliation once every worker has reported in full, or
// every lease has lapsed.
func (p *Pool) reconcile(now time.Time) {
	if !p.reconciliation.active || now.Before(p.noPlacementBefore) {
		return
	}
	allReported := true
	for _, w := range p.workers {
		if w.unreconciled {
			allReported = false
			if !w.since.IsZero() && w.reportRequestedAt.Before(p.noPlacementBefore) {
				// Request a full report.
				w.since, w.nextReportAt = time.Time{}, now
			}
		}
	}
	if allReported || now.After(p.reconciliation.until) {
		p.finishReconciliation()
	}
}

func (p *Pool) finishReconciliation() {
	p.reconciliation.active = false
	for _, w := range p.workers {
		w.unreconciled = false
	}
	p.recordReconciled()
}

func (p *Pool) recordReconciled() {
	p.reconciled = p.epoch
	p.pendingRecords = append(p.pendingRecords, Record{Kind: RecordReconciled, Epoch: p.epoch})
}

// mustHold reports whether a waiting task must not be placed yet, because an
// attempt of it may run that this owner did not start.
func (p *Pool) mustHold(t *task, now time.Time) bool {
	if !t.unreconciled || now.After(p.reconciliation.until) {
		return false
	}
	return p.reconciliation.active || p.hasOrphan(t)
}

func (p *Pool) hold(t *task) {
	if !t.held {
		t.held = true
		p.heldTasks = append(p.heldTasks, t)
	}
}

// releaseHeld queues the held tasks that no longer have to be held back.
func (p *Pool) releaseHeld(now time.Time) {
	p.heldTasks = slices.DeleteFunc(p.heldTasks, func(t *task) bool {
		if isWaiting(t) && p.mustHold(t, now) {
			return false
		}
		t.held = false
		if isWaiting(t) {
			p.queue.push(t)
		}
		return true
	})
}

// hasOrphan reports whether some worker runs an attempt of the task that this
// owner did not start.
func (p *Pool) hasOrphan(t *task) bool {
	for _, w := range p.workers {
		for a := range w.orphans {
			if a.Task == t.id {
				return true
			}
		}
	}
	return false
}

// adopt takes over an attempt that the predecessor started unjournaled, if its
// task still waits here and no other orphan of it runs.
func (p *Pool) adopt(w *worker, tr platform.TaskReport) bool {
	j, ok := p.jobs[tr.Attempt.Task.Job]
	if !ok || !p.reconciliation.active || j.stopped() || tr.Attempt.Task.Index < 0 || tr.Attempt.Task.Index >= len(j.tasks) {
		return false
	}
	t := j.tasks[tr.Attempt.Task.Index]
	waiting := t.phase == phaseWaiting || t.phase == phaseBackoff
	if !t.unreconciled || !waiting || tr.Attempt.Number <= t.attempt || p.hasOrphan(t) {
		return false
	}
	t.attempt = tr.Attempt.Number
	t.tries++
	t.phase = phaseRunning
	t.inherited, t.tracked = true, false
	t.worker, t.size, t.leaseUntil = w, tr.Size, tr.Until
	t.lapsedBy = w.reportedAt.Add(p.cfg.TaskLease)
	w.reserve(t)
	p.pendingRecords = append(p.pendingRecords, Record{
		Kind: RecordIntent, Attempt: t.currentAttempt(), Worker: w.host.Name, Size: t.size, Until: t.leaseUntil,
	})
	return true
}
