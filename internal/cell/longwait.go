package cell

import (
	"time"

	"go.uber.org/zap"
)

const (
	// longWait is how long a long-running task has no working run before it is
	// logged, and longWaitInterval is how often the tasks are checked.
	longWait         = 4 * time.Second
	longWaitInterval = 1 * time.Second
	// maxLongWaitLines limits the lines of one check. The next check logs
	// further tasks.
	maxLongWaitLines = 20
)

// waitReason is what a long-running task without a working run waits for.
type waitReason string

const (
	// waitWorker tasks have a run on a worker that does not answer.
	waitWorker waitReason = "Worker"
	// waitStart tasks have a run that no worker is known to have started.
	waitStart waitReason = "Start"
	// waitAdvice tasks wait for the answer to an open question.
	waitAdvice waitReason = "Advice"
	// waitCap tasks do not fit under the cap of their account.
	waitCap waitReason = "Cap"
	// waitCapacity tasks have no worker that is free and known to be allowed.
	waitCapacity waitReason = "Capacity"
)

// loggedWait is the last wait of a task that was logged.
type loggedWait struct {
	run    int
	reason waitReason
}

// logLongWaits logs the long-running tasks that have had no working run for
// some time, once for each run and reason.
func (c *Cell) logLongWaits(now time.Time) {
	if now.Sub(c.longWaitsCheckedAt) < longWaitInterval {
		return
	}
	c.longWaitsCheckedAt = now
	lines := 0
	for _, id := range sortedKeys(c.jobs) {
		j := c.jobs[id]
		if j.state.Final() {
			continue
		}
		for _, steps := range j.occurrences {
			for _, s := range steps {
				lines += c.logLongWaitsOf(now, s, maxLongWaitLines-lines)
			}
		}
	}
}

// logLongWaitsOf logs the tasks of one step and returns the number of lines.
func (c *Cell) logLongWaitsOf(now time.Time, s *stepState, limit int) int {
	if !s.spec.LongRunning || !s.ready {
		return 0
	}
	lines := 0
	for _, t := range s.tasks {
		if lines >= limit {
			break
		}
		reason, since := c.waitOf(now, t)
		wait := loggedWait{t.lastRun, reason}
		if reason == "" || now.Sub(since) < longWait || t.loggedWait == wait {
			continue
		}
		t.loggedWait = wait
		c.logLongWait(now, t, reason, now.Sub(since))
		lines++
	}
	return lines
}

// waitOf returns what a long-running task waits for and since when, or "" if
// its run is on a worker that answers.
func (c *Cell) waitOf(now time.Time, t *task) (waitReason, time.Time) {
	r := t.current
	switch {
	case r != nil && !c.inContact(now, r.worker):
		return waitWorker, c.silentSince(r.worker)
	case r != nil && r.phase != runStarted:
		return waitStart, r.plannedAt
	case r != nil:
		return "", time.Time{}
	case t.step.blockedByCap():
		return waitCap, t.waitingSince
	case !t.step.advice.askedAt.IsZero():
		return waitAdvice, t.waitingSince
	}
	return waitCapacity, t.waitingSince
}

// logLongWait logs the inputs of the decision that the task still waits for.
func (c *Cell) logLongWait(now time.Time, t *task, reason waitReason, waited time.Duration) {
	if r := t.current; r != nil {
		c.log.Info("long-running task is not at work", append(runFields(r), zap.String("For", string(reason)),
			zap.Duration("Waited", waited), zap.Duration("LeaseLeft", c.leaseEnd(r.worker).Sub(now)))...)
		return
	}
	s := t.step
	tickets, free := c.countAllowed(now, s)
	question := time.Duration(0)
	if reason == waitAdvice {
		question = now.Sub(s.advice.askedAt)
	}
	c.log.Info("long-running task is not at work", zap.String("Job", string(t.id.Job)), zap.String("Task", t.id.String()),
		zap.Int("Run", t.lastRun), zap.String("For", string(reason)), zap.Duration("Waited", waited),
		zap.Int("Allowed", len(s.advice.allowedIDs)), zap.Int("Tickets", tickets), zap.Int("Free", free),
		zap.Duration("QuestionOpen", question))
}

// countAllowed returns for how many usable workers a step has a ticket, and on
// how many of the usable workers that it is allowed on one of its tasks fits.
func (c *Cell) countAllowed(now time.Time, s *stepState) (tickets, free int) {
	for _, id := range s.advice.allowedIDs {
		w, known := c.workers[id]
		if !known || !c.usable(now, w) {
			continue
		}
		if s.advice.hasTicket(now, w) {
			tickets++
		}
		if s.fits(w) && s.capacityOn(w) > 0 {
			free++
		}
	}
	return tickets, free
}
