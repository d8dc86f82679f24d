package pool

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/platform"
)

// retryReportAfter is the wait before another report is requested from an
// unreachable worker.
const retryReportAfter = time.Second

// requestReport returns the request for the worker's next report, if one is due.
// The request also renews the leases of the worker's running tasks, except those
// that were renewed recently.
func (p *Pool) requestReport(w *worker, now time.Time) (RequestReport, bool) {
	if w.reportPending || now.Before(w.nextReportAt) || !w.host.Addr.IsValid() {
		return RequestReport{}, false
	}
	w.reportPending, w.reportRequestedAt = true, now
	req := platform.ReportRequest{Since: w.since}
	for _, t := range w.sortedTasks() {
		if t.phase != phaseRunning || t.stopping || t.job.stopped() || w.reportedAt.IsZero() {
			continue
		}
		if p.recentlyRenewed(t, now) || !p.renew(t, now) {
			continue
		}
		req.Renewals = append(req.Renewals, platform.Renewal{Attempt: t.currentAttempt(), Until: t.leaseUntil})
	}
	return RequestReport{Worker: w.host, Request: req}, true
}

// recentlyRenewed reports whether a task's lease was renewed so recently that a
// report requested for another task need not renew it again. It is false after
// a failed report, because that report's renewal may not have arrived.
func (p *Pool) recentlyRenewed(t *task, now time.Time) bool {
	return t.worker.unreachableSince.IsZero() && t.leaseUntil.Sub(t.worker.clock(now)) > p.cfg.TaskLease-p.cfg.ReportEvery/2
}

// renew extends the lease of a task, and never shortens it. It reports false
// when the task may get no renewal.
func (p *Pool) renew(t *task, now time.Time) bool {
	lease := p.leaseFor(t, now)
	if lease <= 0 {
		return false
	}
	if until := t.worker.clock(now).Add(lease); until.After(t.leaseUntil) {
		t.leaseUntil = until
	}
	if endsBy := now.Add(lease); endsBy.After(t.lapsedBy) {
		t.lapsedBy = endsBy
	}
	return true
}

// Reported applies a worker's report. since is the Since of the request.
func (p *Pool) Reported(name string, since time.Time, r platform.Report, now time.Time) []Action {
	w, ok := p.workers[name]
	if !ok {
		return nil
	}
	w.reportPending = false
	w.unreachableSince = time.Time{}
	w.leaving = r.Leaving
	if w.boot != r.BootID && !since.IsZero() {
		// The worker has restarted, so only a full report says what it runs.
		w.boot, w.since, w.nextReportAt = r.BootID, time.Time{}, now
		p.untrack(w)
		return nil
	}
	w.boot, w.reportedClock, w.reportedAt, w.since = r.BootID, r.Now, now, r.Now

	if since.IsZero() && !w.reportRequestedAt.Before(p.noPlacementBefore) {
		w.unreconciled = false
	}
	var out []Action
	listed := make(map[platform.Attempt]bool, len(r.Tasks))
	for _, tr := range r.Tasks {
		listed[tr.Attempt] = true
		out = append(out, p.applyTaskReport(w, tr, now)...)
	}
	out = append(out, p.handleUnlisted(w, listed, since.IsZero(), now)...)
	p.scheduleNextReport(w, now)
	return append(out, p.flush()...)
}

func (p *Pool) untrack(w *worker) {
	for _, t := range w.sortedTasks() {
		t.tracked = false
	}
}

// applyTaskReport applies a worker's report of one attempt.
func (p *Pool) applyTaskReport(w *worker, tr platform.TaskReport, now time.Time) []Action {
	t, ok := w.tasks[tr.Attempt]
	if !ok {
		return p.handleOrphan(w, tr)
	}
	if !tr.State.Ended() {
		if t.phase == phaseSent {
			t.phase = phaseRunning
			p.scheduleEndReport(t, now)
			p.checkComplete(t.job, now)
		}
		if t.stopping || t.job.stopped() {
			// The stop was lost or arrived before the start, or a predecessor
			// recorded the cancellation and sent no stop.
			t.stopping = true
			return p.sendStop(t)
		}
		return nil
	}
	switch tr.State {
	case platform.TaskDone:
		return p.endAttempt(t, EndingDone, tr.Message, now)
	case platform.TaskFailed:
		return p.endAttempt(t, EndingFailed, tr.Message, now)
	case platform.TaskStopped:
		return p.endAttempt(t, EndingStopped, tr.Message, now)
	default:
		return p.endAttempt(t, EndingLost, "its lease lapsed", now)
	}
}

// handleOrphan handles an attempt that this owner does not have on the worker.
// Unless the attempt is adopted, it is stopped, and its capacity counts as used
// until it ends.
func (p *Pool) handleOrphan(w *worker, tr platform.TaskReport) []Action {
	if tr.State.Ended() {
		w.removeOrphan(tr.Attempt)
		return nil
	}
	if p.adopt(w, tr) {
		return nil
	}
	w.addOrphan(tr.Attempt, tr.Size)
	return []Action{StopTasks{Worker: w.host, Stops: []platform.Stop{{Attempt: tr.Attempt}}}}
}

// handleUnlisted decides about the attempts that a report does not list.
func (p *Pool) handleUnlisted(w *worker, listed map[platform.Attempt]bool, full bool, now time.Time) []Action {
	var out []Action
	for _, t := range w.sortedTasks() {
		if listed[t.currentAttempt()] || t.phase == phaseIntent {
			continue
		}
		switch {
		case t.phase == phaseSent && w.reportedClock.After(t.leaseUntil):
			// It did not arrive before the end of its lease, so it will never
			// start.
			e := EndingLost
			if t.tracked {
				e = EndingNotRun
			}
			out = append(out, p.endAttempt(t, e, "its worker does not know it", now)...)
		case t.phase == phaseRunning && full:
			out = append(out, p.endAttempt(t, EndingLost, "its worker has forgotten it", now)...)
		}
	}
	if full {
		for a := range w.orphans {
			if !listed[a] {
				w.removeOrphan(a)
			}
		}
	}
	return out
}

// scheduleNextReport sets when the next report of the worker is due.
func (p *Pool) scheduleNextReport(w *worker, now time.Time) {
	wait := p.cfg.IdleReportEvery
	if len(w.tasks)+len(w.orphans) > 0 {
		wait = p.cfg.ReportEvery
	}
	w.nextReportAt = now.Add(wait)
	for _, t := range w.sortedTasks() {
		switch {
		case t.preempted:
			w.nextReportAt = earlier(w.nextReportAt, now.Add(p.cfg.StopPollEvery))
		case t.phase == phaseSent || t.stopping:
			w.nextReportAt = earlier(w.nextReportAt, now.Add(retryReportAfter))
		case t.reportDueAt.After(now):
			w.nextReportAt = earlier(w.nextReportAt, t.reportDueAt)
		}
	}
}

// Unreachable handles a request for a report that failed. The worker may have
// received the request and applied its renewals nevertheless.
func (p *Pool) Unreachable(name string, now time.Time) {
	w, ok := p.workers[name]
	if !ok {
		return
	}
	w.reportPending = false
	p.markUnreachable(w, now)
	w.nextReportAt = now.Add(retryReportAfter)
}

// markUnreachable notes since when a worker is unreachable.
func (p *Pool) markUnreachable(w *worker, now time.Time) {
	if w.unreachableSince.IsZero() {
		w.unreachableSince = now
	}
}

// expireLeases ends the attempts of an unreachable worker whose leases have
// certainly lapsed.
func (p *Pool) expireLeases(w *worker, now time.Time) []Action {
	if w.unreachableSince.IsZero() {
		return nil
	}
	var out []Action
	for _, t := range w.sortedTasks() {
		if t.phase != phaseIntent && now.After(p.lapsesAt(t)) {
			out = append(out, p.endAttempt(t, EndingLost, "its worker is silent", now)...)
		}
	}
	return out
}

// endAttempt releases the capacity of an attempt that has ended, and decides
// what happens to its task.
func (p *Pool) endAttempt(t *task, e Ending, message string, now time.Time) []Action {
	p.updateHealth(t, e, now)
	t.worker.release(t)
	d := t.decide(e)
	if message == "" && (d == decisionFail || d == decisionPark) {
		// Without a reason the job would not count as stopped and would go on.
		message = "its attempt ended as " + string(e)
	}
	p.recordEnd(t, e, message)
	j := t.job
	var out []Action
	switch d {
	case decisionEnd:
		p.endTask(t)
		p.queueLeader(j)
	case decisionRequeue:
		t.tries--
		if e == EndingNotRun {
			out = p.retryMember(t, now, p.cfg.RetryBackoff)
			break
		}
		p.requeue(t, now, 0)
	case decisionPark:
		j.parkReason = message
		p.endTask(t)
		out = p.stopJob(j, now)
	case decisionFail:
		j.failReason = message
		p.endTask(t)
		out = p.stopJob(j, now)
	case decisionRetry:
		if e == EndingLost {
			out = p.retryMember(t, now, p.retryBackoff(t.tries))
			break
		}
		p.requeue(t, now, p.retryBackoff(t.tries))
		out = p.rollBack(j, now)
	}
	p.checkComplete(j, now)
	p.finishJob(j)
	return out
}

// mayRerun reports whether another attempt of a task may follow one whose outcome
// is unknown.
func mayRerun(s job.Spec) bool { return s.Replayable || s.Kind == job.KindService }

// defaultAttempts bounds the attempts of the tasks of a job that sets no bound.
const defaultAttempts = 3

// maxAttempts returns the bound on a task's attempts. Services without a bound
// are restarted until they are cancelled.
func maxAttempts(s job.Spec) int {
	switch {
	case s.MaxAttempts > 0:
		return s.MaxAttempts
	case s.Kind == job.KindService:
		return int(^uint(0) >> 1)
	}
	return defaultAttempts
}

func (p *Pool) retryBackoff(tries int) time.Duration {
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
	t.job.endedTasks++
}

// finishJob records the outcome of a job once none of its tasks can run.
func (p *Pool) finishJob(j *openJob) {
	if j.endedTasks < len(j.tasks) || p.jobs[j.spec.ID] != j {
		return
	}
	// At most one of the two reasons is set.
	message := j.failReason + j.parkReason
	p.pendingRecords = append(p.pendingRecords, Record{
		Kind: RecordJobEnded, Job: j.spec.ID, Spec: j.spec, State: j.state(), Message: message,
	})
	p.removeJob(j)
}
