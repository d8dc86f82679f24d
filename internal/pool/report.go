package pool

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/platform"
)

// retryReportAfter is the wait before a silent worker is asked again.
const retryReportAfter = time.Second

// askReport renews the leases on a worker when that is due.
func (p *Pool) askReport(w *worker, now time.Time) (RequestReport, bool) {
	if w.asking || now.Before(w.nextAskAt) || !w.host.Addr.IsValid() {
		return RequestReport{}, false
	}
	w.asking, w.askedAt = true, now
	req := platform.ReportRequest{Since: w.since}
	for _, t := range w.sorted() {
		if t.phase != phaseRunning || t.stopping || t.job.stopped() || w.toldAt.IsZero() {
			continue
		}
		if p.isFresh(t, now) || !p.renew(t, now) {
			continue
		}
		req.Renewals = append(req.Renewals, platform.Renewal{Attempt: t.current(), Until: t.until})
	}
	return RequestReport{Worker: w.host, Request: req}, true
}

// isFresh reports whether a task's lease was renewed so lately that a report
// asked for the sake of another task need not renew it again. A renewal whose
// report failed may not have arrived.
func (p *Pool) isFresh(t *task, now time.Time) bool {
	return t.worker.silentSince.IsZero() && t.until.Sub(t.worker.clock(now)) > p.cfg.TaskLease-p.cfg.ReportEvery/2
}

// renew lengthens the lease of a task, and never shortens it. It reports false
// when the task may get no renewal.
func (p *Pool) renew(t *task, now time.Time) bool {
	lease := p.leaseFor(t, now)
	if lease <= 0 {
		return false
	}
	if until := t.worker.clock(now).Add(lease); until.After(t.until) {
		t.until = until
	}
	if endsBy := now.Add(lease); endsBy.After(t.endsBy) {
		t.endsBy = endsBy
	}
	return true
}

// Reported takes the report of a worker. since is that of the request.
func (p *Pool) Reported(name string, since time.Time, r platform.Report, now time.Time) []Action {
	w, ok := p.workers[name]
	if !ok {
		return nil
	}
	w.asking = false
	w.silentSince = time.Time{}
	w.leaving = r.Leaving
	if w.boot != r.Boot && !since.IsZero() {
		// The worker has restarted, so only a full report says what it runs.
		w.boot, w.since, w.nextAskAt = r.Boot, time.Time{}, now
		p.untrack(w)
		return nil
	}
	w.boot, w.told, w.toldAt, w.since = r.Boot, r.Now, now, r.Now

	if since.IsZero() && !w.askedAt.Before(p.quietUntil) {
		w.uncounted = false
	}
	var out []Action
	listed := make(map[platform.Attempt]bool, len(r.Tasks))
	for _, tr := range r.Tasks {
		listed[tr.Attempt] = true
		out = append(out, p.news(w, tr, now)...)
	}
	out = append(out, p.missing(w, listed, since.IsZero(), now)...)
	p.planReport(w, now)
	return append(out, p.flush()...)
}

func (p *Pool) untrack(w *worker) {
	for _, t := range w.sorted() {
		t.tracked = false
	}
}

// news applies what a worker says of one attempt.
func (p *Pool) news(w *worker, tr platform.TaskReport, now time.Time) []Action {
	t, ok := w.tasks[tr.Attempt]
	if !ok {
		return p.stray(w, tr)
	}
	if !tr.State.Ended() {
		if t.phase == phaseSent {
			t.phase = phaseRunning
			p.expectEnd(t, now)
			p.checkWhole(t.job, now)
		}
		if t.stopping || t.job.stopped() {
			// The stop was lost or overtook the start, or an earlier owner
			// recorded it and sent none.
			t.stopping = true
			return p.sendStop(t)
		}
		return nil
	}
	switch tr.State {
	case platform.TaskDone:
		return p.ended(t, EndingDone, tr.Message, now)
	case platform.TaskFailed:
		return p.ended(t, EndingFailed, tr.Message, now)
	case platform.TaskStopped:
		return p.ended(t, EndingStopped, tr.Message, now)
	default:
		return p.ended(t, EndingLost, "its lease lapsed", now)
	}
}

// stray deals with an attempt that this owner does not hold there: its room
// counts until it ends, and it is told to stop.
func (p *Pool) stray(w *worker, tr platform.TaskReport) []Action {
	if tr.State.Ended() {
		w.dropStray(tr.Attempt)
		return nil
	}
	if p.adopt(w, tr) {
		return nil
	}
	w.addStray(tr.Attempt, tr.Size)
	return []Action{StopTasks{Worker: w.host, Stops: []platform.Stop{{Attempt: tr.Attempt}}}}
}

// missing concludes what it means that a report does not list an attempt.
func (p *Pool) missing(w *worker, listed map[platform.Attempt]bool, full bool, now time.Time) []Action {
	var out []Action
	for _, t := range w.sorted() {
		if listed[t.current()] || t.phase == phaseIntent {
			continue
		}
		switch {
		case t.phase == phaseSent && w.told.After(t.until):
			// It did not arrive before the end of its lease, so it never will.
			e := EndingLost
			if t.tracked {
				e = EndingNotRun
			}
			out = append(out, p.ended(t, e, "its worker does not know it", now)...)
		case t.phase == phaseRunning && full:
			out = append(out, p.ended(t, EndingLost, "its worker has forgotten it", now)...)
		}
	}
	if full {
		for a := range w.strays {
			if !listed[a] {
				w.dropStray(a)
			}
		}
	}
	return out
}

// planReport sets when the worker is asked next.
func (p *Pool) planReport(w *worker, now time.Time) {
	wait := p.cfg.IdleReportEvery
	if len(w.tasks)+len(w.strays) > 0 {
		wait = p.cfg.ReportEvery
	}
	w.nextAskAt = now.Add(wait)
	for _, t := range w.sorted() {
		switch {
		case t.preempted:
			w.nextAskAt = earlier(w.nextAskAt, now.Add(p.cfg.StopPollEvery))
		case t.phase == phaseSent || t.stopping:
			w.nextAskAt = earlier(w.nextAskAt, now.Add(retryReportAfter))
		case t.askAt.After(now):
			w.nextAskAt = earlier(w.nextAskAt, t.askAt)
		}
	}
}

// Unreachable tells that a worker did not answer. Its leases may have been
// renewed all the same.
func (p *Pool) Unreachable(name string, now time.Time) {
	w, ok := p.workers[name]
	if !ok {
		return
	}
	w.asking = false
	p.silent(w, now)
	w.nextAskAt = now.Add(retryReportAfter)
}

// silent notes that a worker does not answer.
func (p *Pool) silent(w *worker, now time.Time) {
	if w.silentSince.IsZero() {
		w.silentSince = now
	}
}

// lapse ends the attempts of a silent worker whose leases have surely lapsed.
func (p *Pool) lapse(w *worker, now time.Time) []Action {
	if w.silentSince.IsZero() {
		return nil
	}
	var out []Action
	for _, t := range w.sorted() {
		if t.phase != phaseIntent && now.After(p.lapsesAt(t)) {
			out = append(out, p.ended(t, EndingLost, "its worker is silent", now)...)
		}
	}
	return out
}

// ended gives back the room of an attempt that runs no more, and decides what
// becomes of its task.
func (p *Pool) ended(t *task, e Ending, message string, now time.Time) []Action {
	p.noteEnd(t, e, now)
	t.worker.release(t)
	v := t.verdict(e)
	if message == "" && (v == verdictFail || v == verdictPark) {
		// A job without a reason to stop would go on.
		message = "its attempt ended as " + string(e)
	}
	p.record(t, e, message)
	j := t.job
	var out []Action
	switch v {
	case verdictEnd:
		p.endTask(t)
		p.leadRest(j)
	case verdictAgain:
		t.tries--
		if e == EndingNotRun {
			out = p.rejoin(t, now, p.cfg.RetryBackoff)
			break
		}
		p.again(t, now, 0)
	case verdictPark:
		j.parked = message
		p.endTask(t)
		out = p.windUp(j, now)
	case verdictFail:
		j.failed = message
		p.endTask(t)
		out = p.windUp(j, now)
	case verdictRetry:
		if e == EndingLost {
			out = p.rejoin(t, now, p.retryWait(t.tries))
			break
		}
		p.again(t, now, p.retryWait(t.tries))
		out = p.rollBack(j, now)
	}
	p.checkWhole(j, now)
	p.finishJob(j)
	return out
}

// mayReplay reports whether an attempt whose outcome is lost may be followed by
// another one.
func mayReplay(s job.Spec) bool { return s.Replayable || s.Kind == job.KindService }

// defaultAttempts bounds the attempts of a job that sets no bound.
const defaultAttempts = 3

// maxAttempts returns the bound on a task's attempts. Services are restarted
// for as long as they are wanted.
func maxAttempts(s job.Spec) int {
	switch {
	case s.MaxAttempts > 0:
		return s.MaxAttempts
	case s.Kind == job.KindService:
		return int(^uint(0) >> 1)
	}
	return defaultAttempts
}

func (p *Pool) retryWait(tries int) time.Duration {
	wait := p.cfg.RetryBackoff
	for i := 1; i < tries && wait < p.cfg.MaxRetryBackoff; i++ {
		wait *= 2
	}
	return min(wait, p.cfg.MaxRetryBackoff)
}

func (p *Pool) endTask(t *task) {
	if t.phase == phaseEnded {
		return
	}
	p.unclaim(t)
	t.phase = phaseEnded
	t.worker = nil
	t.job.ended++
}

// finishJob records the outcome of a job once none of its tasks can run.
func (p *Pool) finishJob(j *openJob) {
	if j.ended < len(j.tasks) || p.jobs[j.spec.ID] != j {
		return
	}
	message := j.failed + j.parked
	p.records = append(p.records, Record{
		Kind: RecordJobEnded, Job: j.spec.ID, Spec: j.spec, State: j.state(), Message: message,
	})
	p.close(j)
}
