package pool

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/job"
)

// replay applies one record of the owners before this one.
func (p *Pool) replay(r Record, now time.Time) {
	switch r.Kind {
	case RecordAccepted:
		if !p.accepted[r.Spec.ID] {
			p.open(r.Spec)
		}
	case RecordIntent:
		p.replayIntent(r, now)
	case RecordEnded:
		p.replayEnded(r)
	case RecordRenewalsEnded:
		p.settled = max(p.settled, r.Epoch)
	case RecordReconciled:
		p.accounted = max(p.accounted, r.Epoch)
	case RecordCancelled:
		if j, ok := p.jobs[r.Job]; ok {
			j.cancelled = true
		}
	case RecordJobEnded:
		if j, ok := p.jobs[r.Job]; ok {
			p.dropReplayed(j)
		}
	}
}

// replayIntent reserves the room of an attempt that may run. Its worker's next
// full report tells whether it does.
func (p *Pool) replayIntent(r Record, now time.Time) {
	j, ok := p.jobs[r.Attempt.Task.Job]
	if !ok || r.Attempt.Task.Index >= len(j.tasks) || r.Attempt.Task.Index < 0 {
		return
	}
	t := j.tasks[r.Attempt.Task.Index]
	if t.occupies() {
		t.worker.release(t)
	}
	t.attempt = r.Attempt.Number
	t.tries++
	p.occupy(t, r.Worker, r.Size, r.Until, now)
}

// occupy reserves the room of a task's last attempt, which may run until its
// worker says otherwise or every lease that it can have been granted has
// lapsed.
func (p *Pool) occupy(t *task, worker string, size job.Size, until, now time.Time) {
	t.phase = phaseSent
	t.inherited = true
	t.size = size
	t.until = until
	t.endsBy = now.Add(p.cfg.TaskLease)
	t.worker = p.worker(worker)
	t.worker.reserve(t)
}

func (p *Pool) replayEnded(r Record) {
	t := p.find(r.Attempt)
	if t == nil || !t.occupies() {
		return
	}
	t.worker.release(t)
	t.worker = nil
	t.phase = phaseNew
	v := t.verdict(r.Ending)
	if v == verdictAgain {
		t.tries--
	}
	switch v {
	case verdictEnd:
		p.endTask(t)
	case verdictPark:
		t.job.parked = r.Message
		p.endTask(t)
	case verdictFail:
		t.job.failed = r.Message
		p.endTask(t)
	case verdictAgain, verdictRetry:
	}
}

// verdict is what the ending of an attempt means for its task.
type verdict int

const (
	// verdictEnd means that the task runs no more.
	verdictEnd verdict = iota + 1
	// verdictAgain means that the attempt does not count and another follows.
	verdictAgain
	// verdictRetry means that another attempt follows after a while.
	verdictRetry
	// verdictPark means that the task may not run again, since it may have run.
	verdictPark
	// verdictFail means that the task has used up its attempts.
	verdictFail
)

// verdict decides what the ending of the last attempt means. The owner and
// whoever replays its records must come to the same.
func (t *task) verdict(e Ending) verdict {
	spec := t.job.spec
	switch {
	case t.job.stopped(), e == EndingDone && spec.Kind != job.KindService:
		return verdictEnd
	case e == EndingNotRun, e == EndingStopped:
		// Whoever stopped a job that goes on wants it to run elsewhere.
		return verdictAgain
	case e == EndingLost && !mayReplay(spec):
		return verdictPark
	case t.tries >= maxAttempts(spec):
		return verdictFail
	}
	return verdictRetry
}

func (p *Pool) dropReplayed(j *openJob) {
	for _, t := range j.tasks {
		if t.occupies() {
			t.worker.release(t)
		}
	}
	p.close(j)
}

// requeueRecovered lets the tasks wait that surely do not run.
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
