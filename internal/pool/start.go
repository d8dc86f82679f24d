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
	// StartNotRun means that the attempt surely does not run.
	StartNotRun
	// StartUnknown means that the attempt may run.
	StartUnknown
)

// StartResult is the outcome of one attempt of a StartTasks action.
type StartResult struct {
	Attempt platform.Attempt
	Outcome StartOutcome
}

// Durable tells that the records of a token are in the journal. Its intents are
// then sent, unless their job was stopped or too much time has passed.
func (p *Pool) Durable(token uint64, now time.Time) []Action {
	intents := p.intents[token]
	delete(p.intents, token)
	return p.sendIntents(intents, false, now)
}

// sendIntents starts the attempts that still wait, and withdraws those that may
// no longer start.
func (p *Pool) sendIntents(intents []intent, unjournaled bool, now time.Time) []Action {
	broken := make(map[*openJob]bool)
	for _, i := range intents {
		if t := i.task; i.waits() && !p.mayStart(t, now) && t.job.isGang() {
			broken[t.job] = true
		}
	}
	starts := make(map[*worker][]platform.Start)
	for _, i := range intents {
		t := i.task
		if !i.waits() {
			continue
		}
		if broken[t.job] || !p.mayStart(t, now) {
			p.withdraw(t, now)
			continue
		}
		p.send(t, now)
		starts[t.worker] = append(starts[t.worker], platform.Start{
			Attempt: t.current(), Epoch: p.epoch, Size: t.size, RunTime: t.job.spec.RunTime, Until: t.until,
		})
	}
	var out []Action
	for _, w := range p.order {
		if len(starts[w]) > 0 {
			out = append(out, StartTasks{Worker: w.host, Starts: starts[w], Unjournaled: unjournaled})
		}
	}
	return append(out, p.flush()...)
}

// send counts a try of a task whose start is sent now, and sets its lease.
func (p *Pool) send(t *task, now time.Time) {
	t.phase = phaseSent
	t.sentAt = now
	t.tries++
	t.tracked = true
	if !t.job.isGang() {
		return
	}
	p.openRound(t.job, now)
	lease := p.leaseFor(t, now)
	t.until = earlier(t.until, t.worker.clock(now).Add(lease))
	t.endsBy = now.Add(lease)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// mayStart reports whether an intent that has become durable is still good: its
// job goes on, its worker is open, and at least half of its lease is left. A
// member of a gang also needs its round.
func (p *Pool) mayStart(t *task, now time.Time) bool {
	if t.job.isGang() && !p.mayJoin(t, now) {
		return false
	}
	return !t.job.stopped() && t.worker.open() && t.endsBy.Sub(now) >= p.cfg.TaskLease/2
}

// mayJoin reports whether the round of a member's intent goes on, and leaves
// the time for at least half of a first lease.
func (p *Pool) mayJoin(t *task, now time.Time) bool {
	g := t.job.gang
	if t.round != g.round {
		return false
	}
	return g.closesAt.IsZero() || g.whole || p.leaseFor(t, now) >= p.cfg.GangLease/2
}

// withdraw gives up an intent that was never sent.
func (p *Pool) withdraw(t *task, now time.Time) {
	p.record(t, EndingNotRun, "")
	t.worker.release(t)
	p.again(t, now, 0)
}

func (p *Pool) record(t *task, e Ending, message string) {
	p.records = append(p.records, Record{Kind: RecordEnded, Attempt: t.current(), Ending: e, Message: message})
}

// again lets a task wait for another attempt, unless its job was stopped.
func (p *Pool) again(t *task, now time.Time, wait time.Duration) {
	t.worker = nil
	t.stopping, t.tracked, t.preempted = false, false, false
	t.waitAt = time.Time{}
	switch {
	case t.job.stopped():
		p.endTask(t)
		p.finishJob(t.job)
	case wait > 0:
		t.phase = phaseBackoff
		t.notUntil = now.Add(wait)
		p.backoff = append(p.backoff, t)
	default:
		p.enqueue(t, now)
	}
}

// Started takes the outcomes of a StartTasks action.
func (p *Pool) Started(results []StartResult, now time.Time) []Action {
	var out []Action
	for _, r := range results {
		t := p.find(r.Attempt)
		if t == nil || t.phase != phaseSent {
			continue
		}
		switch r.Outcome {
		case StartAccepted:
			t.phase = phaseRunning
			p.expectEnd(t, now)
			p.checkWhole(t.job, now)
			if t.tries == 1 && !t.queuedAt.IsZero() {
				out = append(out, FirstStart{Team: t.job.spec.Team, Name: t.job.spec.Name, Wait: now.Sub(t.queuedAt)})
			}
		case StartUnknown:
			p.silent(t.worker, now)
			t.worker.nextAskAt = now
		case StartNotRun:
			t.tries--
			p.record(t, EndingNotRun, "")
			t.worker.release(t)
			out = append(out, p.rejoin(t, now, p.cfg.RetryBackoff)...)
		}
	}
	return append(out, p.flush()...)
}

// expectEnd asks for a report soon after the task declares to end, so that its
// room does not idle until the next periodic report, and for one soon enough
// to renew the short lease of a gang's member.
func (p *Pool) expectEnd(t *task, now time.Time) {
	const afterEnd = 50 * time.Millisecond
	if t.job.spec.Kind == job.KindService {
		return
	}
	t.askAt = now.Add(t.job.spec.RunTime + afterEnd)
	if t.job.isGang() && !t.job.gang.whole {
		t.askAt = earlier(t.askAt, now.Add(p.cfg.GangLease/2))
	}
	t.worker.nextAskAt = earlier(t.worker.nextAskAt, t.askAt)
}
