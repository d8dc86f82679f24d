package pool

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/platform"
)

// Cancel records that no further attempt of a job may start, and stops those
// that run.
func (p *Pool) Cancel(id string, now time.Time) ([]Action, error) {
	j, ok := p.jobs[id]
	if !ok {
		return nil, fault.New("cancel", KindMissing, "no open job is named %q", id)
	}
	if j.stopped() {
		return nil, nil
	}
	out := p.cancelJob(j, now)
	return append(out, p.flush()...), nil
}

// cancelJob records the cancellation of a job that is not stopped yet.
func (p *Pool) cancelJob(j *openJob, now time.Time) []Action {
	j.cancelled = true
	p.pendingRecords = append(p.pendingRecords, Record{Kind: RecordCancelled, Job: j.spec.ID})
	return p.stopJob(j, now)
}

// CancelAll cancels many jobs. Each call of Schedule cancels at most
// MaxCancelsPerPass of them, so that a mass cancellation delays no start.
func (p *Pool) CancelAll(ids []string) { p.pendingCancels = append(p.pendingCancels, ids...) }

// Cancelling returns the number of jobs passed to CancelAll that are not
// cancelled yet.
func (p *Pool) Cancelling() int { return len(p.pendingCancels) }

// cancelBatch cancels the next jobs passed to CancelAll.
func (p *Pool) cancelBatch(now time.Time) []Action {
	n := min(len(p.pendingCancels), p.cfg.MaxCancelsPerPass)
	var out []Action
	for _, id := range p.pendingCancels[:n] {
		j, ok := p.jobs[id]
		if !ok || j.stopped() {
			continue
		}
		out = append(out, p.cancelJob(j, now)...)
	}
	p.pendingCancels = p.pendingCancels[n:]
	if len(p.pendingCancels) == 0 {
		p.pendingCancels = nil
	}
	return out
}

// stopJob ends the tasks of a stopped job that do not run, and stops the
// others.
func (p *Pool) stopJob(j *openJob, now time.Time) []Action {
	var out []Action
	for _, t := range j.tasks {
		switch t.phase {
		case phaseWaiting:
			p.endTask(t)
			p.queue.markStale(t)
		case phaseNew, phaseBackoff:
			p.endTask(t)
		case phaseSent, phaseRunning:
			out = append(out, p.stop(t, now)...)
		case phaseIntent, phaseEnded:
			// An intent is withdrawn when it becomes durable.
		}
	}
	p.finishJob(j)
	return out
}

func (p *Pool) stop(t *task, now time.Time) []Action {
	if t.stopping {
		return nil
	}
	t.stopping = true
	// Request a report soon, since the capacity is released with the outcome.
	t.worker.nextReportAt = now
	return p.sendStop(t)
}

func (p *Pool) sendStop(t *task) []Action {
	return []Action{StopTasks{Worker: t.worker.host, Stops: []platform.Stop{{Attempt: t.currentAttempt(), Checkpoint: t.preempted}}}}
}
