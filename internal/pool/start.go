package pool

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/platform"
)

// StartOutcome is the outcome of sending one attempt to its worker.
type StartOutcome int

const (
	// StartAccepted means that the worker runs the attempt.
	StartAccepted StartOutcome = iota + 1
	// StartNotRun means that the attempt does not run and never will.
	StartNotRun
	// StartUnknown means that the attempt may run.
	StartUnknown
)

// StartResult is the outcome of one attempt of a StartTasks action.
type StartResult struct {
	Attempt platform.Attempt
	Outcome StartOutcome
}

// Durable reports that the records of a batch are in the journal. Its intents
// are then sent, unless their job was stopped or too much time has passed.
func (p *Pool) Durable(batchID uint64, now time.Time) []Action {
	intents := p.intents[batchID]
	delete(p.intents, batchID)
	return p.sendIntents(intents, false, now)
}

// sendIntents starts the attempts that are still pending, and withdraws those
// that may no longer start. When one member of a gang may not start, the
// intents of all its members are withdrawn.
func (p *Pool) sendIntents(intents []intent, unjournaled bool, now time.Time) []Action {
	broken := make(map[*openJob]bool)
	for _, i := range intents {
		if t := i.task; i.isPending() && !p.mayStart(t, now) && t.job.isGang() {
			broken[t.job] = true
		}
	}
	starts := make(map[*worker][]platform.Start)
	for _, i := range intents {
		t := i.task
		if !i.isPending() {
			continue
		}
		if broken[t.job] || !p.mayStart(t, now) {
			p.withdraw(t, now)
			continue
		}
		p.markSent(t, now)
		starts[t.worker] = append(starts[t.worker], platform.Start{
			Attempt: t.currentAttempt(), Epoch: p.epoch, Size: t.size, RunTime: t.job.spec.RunTime, Until: t.leaseUntil,
		})
	}
	var out []Action
	for _, w := range p.sortedWorkers {
		if len(starts[w]) > 0 {
			out = append(out, StartTasks{Worker: w.host, Starts: starts[w], Unjournaled: unjournaled})
		}
	}
	return append(out, p.flush()...)
}

// markSent counts a try of a task whose start is sent now, and sets its lease.
func (p *Pool) markSent(t *task, now time.Time) {
	t.phase = phaseSent
	t.sentAt = now
	t.tries++
	t.tracked = true
	if !t.job.isGang() {
		return
	}
	p.startRound(t.job, now)
	lease := p.leaseFor(t, now)
	t.leaseUntil = earlier(t.leaseUntil, t.worker.clock(now).Add(lease))
	t.lapsedBy = now.Add(lease)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// mayStart reports whether an intent that has become durable is still valid:
// its job has not been stopped, its worker is schedulable, and at least half of
// its lease is left. A member of a gang must also be able to join its round.
func (p *Pool) mayStart(t *task, now time.Time) bool {
	if t.job.isGang() && !p.mayJoin(t, now) {
		return false
	}
	return !t.job.stopped() && t.worker.schedulable() && t.lapsedBy.Sub(now) >= p.cfg.TaskLease/2
}

// mayJoin reports whether the round of a member's intent is still the current
// one and leaves time for at least half of a first lease.
func (p *Pool) mayJoin(t *task, now time.Time) bool {
	g := t.job.gang
	if t.round != g.round {
		return false
	}
	return g.rollBackAt.IsZero() || g.complete || p.leaseFor(t, now) >= p.cfg.GangLease/2
}

// withdraw gives up an intent that was never sent.
func (p *Pool) withdraw(t *task, now time.Time) {
	p.recordEnd(t, EndingNotRun, "")
	t.worker.release(t)
	p.requeue(t, now, 0)
}

func (p *Pool) recordEnd(t *task, e Ending, message string) {
	p.pendingRecords = append(p.pendingRecords, Record{Kind: RecordEnded, Attempt: t.currentAttempt(), Ending: e, Message: message})
}

// requeue makes a task wait for another attempt, unless its job was stopped.
func (p *Pool) requeue(t *task, now time.Time, wait time.Duration) {
	t.worker = nil
	t.stopping, t.tracked, t.preempted = false, false, false
	t.waitingSince = time.Time{}
	switch {
	case t.job.stopped():
		p.endTask(t)
		p.finishJob(t.job)
	case wait > 0:
		t.phase = phaseBackoff
		t.backoffUntil = now.Add(wait)
		p.backoff = append(p.backoff, t)
	default:
		p.enqueue(t, now)
	}
}

// Started applies the outcomes of a StartTasks action.
func (p *Pool) Started(results []StartResult, now time.Time) []Action {
	var out []Action
	for _, r := range results {
		t := p.findTask(r.Attempt)
		if t == nil || t.phase != phaseSent {
			continue
		}
		switch r.Outcome {
		case StartAccepted:
			t.phase = phaseRunning
			p.scheduleEndReport(t, now)
			p.checkComplete(t.job, now)
			if t.tries == 1 && !t.firstQueuedAt.IsZero() {
				out = append(out, FirstStart{Team: t.job.spec.Team, Name: t.job.spec.Name, Wait: now.Sub(t.firstQueuedAt)})
			}
		case StartUnknown:
			p.markUnreachable(t.worker, now)
			t.worker.nextReportAt = now
		case StartNotRun:
			t.tries--
			p.recordEnd(t, EndingNotRun, "")
			t.worker.release(t)
			out = append(out, p.retryMember(t, now, p.cfg.RetryBackoff)...)
		}
	}
	return append(out, p.flush()...)
}

// scheduleEndReport schedules a report soon after the task's declared end, so
// that its capacity is not idle until the next periodic report. For a member of
// an incomplete gang the report comes soon enough to renew its short lease.
func (p *Pool) scheduleEndReport(t *task, now time.Time) {
	const afterEnd = 50 * time.Millisecond
	if t.job.spec.Kind == job.KindService {
		return
	}
	t.reportDueAt = now.Add(t.job.spec.RunTime + afterEnd)
	if t.job.isGang() && !t.job.gang.complete {
		t.reportDueAt = earlier(t.reportDueAt, now.Add(p.cfg.GangLease/2))
	}
	t.worker.nextReportAt = earlier(t.worker.nextReportAt, t.reportDueAt)
}
