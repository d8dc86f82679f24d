package pool

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/job"
)

// replay applies one record of the predecessors.
func (p *Pool) replay(r Record, now time.Time) {
	switch r.Kind {
	case RecordAccepted:
		if !p.accepted[r.Spec.ID] {
			p.addJob(r.Spec)
		}
	case RecordIntent:
		p.replayIntent(r, now)
	case RecordEnded:
		p.replayEnded(r)
	case RecordRenewalsEnded:
		p.renewalsEnded = max(p.renewalsEnded, r.Epoch)
	case RecordReconciled:
		p.reconciled = max(p.reconciled, r.Epoch)
	case RecordCancelled:
		if j, ok := p.jobs[r.Job]; ok {
			j.cancelled = true
		}
	case RecordJobEnded:
		if j, ok := p.jobs[r.Job]; ok {
			p.removeReplayed(j)
		}
	}
}

// replayIntent reserves the capacity of an attempt that may run. The worker's
// next full report tells whether it does.
func (p *Pool) replayIntent(r Record, now time.Time) {
	j, ok := p.jobs[r.Attempt.Task.Job]
	if !ok || r.Attempt.Task.Index >= len(j.tasks) || r.Attempt.Task.Index < 0 {
		return
	}
	t := j.tasks[r.Attempt.Task.Index]
	if t.holdsCapacity() {
		t.worker.release(t)
	}
	t.attempt = r.Attempt.Number
	t.tries++
	p.restoreAttempt(t, r.Worker, r.Size, r.Until, now)
}

// restoreAttempt reserves the capacity of a task's last attempt. The attempt
// may run until its worker reports otherwise, or until every lease that it can
// have been granted has lapsed.
func (p *Pool) restoreAttempt(t *task, worker string, size job.Size, until, now time.Time) {
	t.phase = phaseSent
	t.inherited = true
	t.size = size
	t.leaseUntil = until
	t.lapsedBy = now.Add(p.cfg.TaskLease)
	t.worker = p.ensureWorker(worker)
	t.worker.reserve(t)
}

func (p *Pool) replayEnded(r Record) {
	t := p.findTask(r.Attempt)
	if t == nil || !t.holdsCapacity() {
		return
	}
	t.worker.release(t)
	t.worker = nil
	t.phase = phaseNew
	d := t.decide(r.Ending)
	if d == decisionRequeue {
		t.tries--
	}
	switch d {
	case decisionEnd:
		p.endTask(t)
	case decisionPark:
		t.job.parkReason = r.Message
		p.endTask(t)
	case decisionFail:
		t.job.failReason = r.Message
		p.endTask(t)
	case decisionRequeue, decisionRetry:
	}
}

// decision is what happens to a task after one of its attempts has ended.
type decision int

const (
	// decisionEnd means that the task has ended.
	decisionEnd decision = iota + 1
	// decisionRequeue means that the attempt does not count as a try, and
	// another one follows.
	decisionRequeue
	// decisionRetry means that another attempt follows after a backoff.
	decisionRetry
	// decisionPark means that the task may not run again, because it may have
	// run.
	decisionPark
	// decisionFail means that the task has used up its attempts.
	decisionFail
)

// decide returns the decision about a task whose last attempt has ended. The
// owner and a successor that replays its records must reach the same decision.
func (t *task) decide(e Ending) decision {
	spec := t.job.spec
	switch {
	case t.job.stopped(), e == EndingDone && spec.Kind != job.KindService:
		return decisionEnd
	case e == EndingNotRun, e == EndingStopped:
		// A task stopped while its job goes on is to run elsewhere.
		return decisionRequeue
	case e == EndingLost && !mayRerun(spec):
		return decisionPark
	case t.tries >= maxAttempts(spec):
		return decisionFail
	}
	return decisionRetry
}

func (p *Pool) removeReplayed(j *openJob) {
	for _, t := range j.tasks {
		if t.holdsCapacity() {
			t.worker.release(t)
		}
	}
	p.removeJob(j)
}

// requeueRecovered queues the recovered tasks of a job that hold no capacity,
// or ends them if the job was stopped.
func (p *Pool) requeueRecovered(j *openJob, now time.Time) {
	for _, t := range j.tasks {
		if t.phase != phaseNew {
			continue
		}
		if j.stopped() {
			p.endTask(t)
			continue
		}
		p.enqueue(t, now)
	}
	p.finishJob(j)
}
