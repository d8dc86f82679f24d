package cell

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/manifest"
)

// adviceState is what the advice service has answered about a step. Which
// workers are allowed never changes; only their tickets expire.
type adviceState struct {
	allowed map[WorkerID]ticket
	// allowedIDs holds the IDs of the allowed workers, sorted.
	allowedIDs []WorkerID
	denied     map[WorkerID]bool
	// askedAt is when the open question was asked; zero if there is none.
	askedAt time.Time
	// limiter is the limiter that counts the open question.
	limiter *questionLimiter
	// notBefore is the earliest time at which the step may ask again after a
	// failed question, and backoff is the current delay.
	notBefore time.Time
	backoff   time.Duration
}

type ticket struct {
	value       string
	until       time.Time
	incarnation Incarnation
}

const (
	// maxWorkersAsked is the maximum number of workers in one question.
	maxWorkersAsked = 100
	// ticketMargin is how long before its expiry a ticket is no longer used,
	// since a start takes some time to arrive.
	ticketMargin = 150 * time.Millisecond
	// minAdviceBackoff and maxAdviceBackoff bound the delay after a failed
	// question.
	minAdviceBackoff = 50 * time.Millisecond
	maxAdviceBackoff = 400 * time.Millisecond
	// adviceTimeout is how long to wait for an answer, in addition to the
	// question's cost.
	adviceTimeout = 4 * time.Second
)

// hasTicket reports whether the step has a valid ticket for the worker.
func (a *adviceState) hasTicket(now time.Time, w *worker) bool {
	t, ok := a.allowed[w.id]
	return ok && t.incarnation == w.incarnation && now.Add(ticketMargin).Before(t.until)
}

// Advised handles the answer to a question.
func (c *Cell) Advised(now time.Time, answer Advice) {
	j, known := c.jobs[answer.Step.Job]
	if !known || answer.Step.Occurrence >= len(j.occurrences) {
		return
	}
	s := j.occurrences[answer.Step.Occurrence][answer.Step.Step]
	c.closeQuestion(s)
	c.placementPending = true
	if answer.Failed {
		c.backOffAdvice(now, s)
		return
	}
	s.advice.backoff = 0
	c.markStep(s)
	valid := answer.Valid
	if valid == 0 {
		valid = c.queueOf(j).Advice.ValidFor
	}
	c.learnShare(c.queueOf(j), answer)
	s.advice.apply(now, c, answer, valid)
	if s.open {
		for _, l := range c.allowedStepLists(s) {
			l.add(s)
		}
	}
}

func (a *adviceState) apply(now time.Time, c *Cell, answer Advice, valid time.Duration) {
	if a.allowed == nil {
		a.allowed = make(map[WorkerID]ticket, len(answer.Allowed))
		a.denied = make(map[WorkerID]bool)
	}
	for _, id := range answer.Asked {
		if _, ok := a.allowed[id]; !ok {
			a.denied[id] = true
		}
	}
	for _, t := range answer.Allowed {
		delete(a.denied, t.Worker)
		w, known := c.workers[t.Worker]
		if !known {
			continue
		}
		if _, known := a.allowed[t.Worker]; !known {
			at, _ := slices.BinarySearch(a.allowedIDs, t.Worker)
			a.allowedIDs = slices.Insert(a.allowedIDs, at, t.Worker)
		}
		a.allowed[t.Worker] = ticket{value: t.Value, until: now.Add(valid), incarnation: w.incarnation}
	}
}

// invalidateTicket expires a ticket that the worker rejected.
func (a *adviceState) invalidateTicket(id WorkerID) {
	if t, ok := a.allowed[id]; ok {
		t.until = time.Time{}
		a.allowed[id] = t
	}
}

// backOffAdvice delays the next question of a step. The delay doubles with each
// consecutive failure.
func (c *Cell) backOffAdvice(now time.Time, s *stepState) {
	s.advice.backoff = min(max(2*s.advice.backoff, minAdviceBackoff), maxAdviceBackoff)
	s.advice.notBefore = now.Add(s.advice.backoff)
	c.setTimer(now, s, s.advice.notBefore)
}

// questionOpen reports whether an answer about a step is pending. A question
// that has timed out is closed.
func (c *Cell) questionOpen(now time.Time, s *stepState, q *manifest.Queue) bool {
	if s.advice.askedAt.IsZero() {
		return false
	}
	if now.Before(s.advice.answerDeadline(q)) {
		return true
	}
	c.log.Warn("question for advice timed out", zap.String("Job", string(s.id.Job)), zap.Stringer("Step", s.id))
	c.closeQuestion(s)
	return false
}

// answerDeadline is when the open question times out.
func (a *adviceState) answerDeadline(q *manifest.Queue) time.Time {
	return a.askedAt.Add(q.Advice.Cost(maxWorkersAsked) + adviceTimeout)
}

// ask asks for advice on a step if further advice would help to place its tasks
// now, and reports whether it asked.
func (c *Cell) ask(now time.Time, s *stepState, q *manifest.Queue, usable *usableWorkers) bool {
	workers, last := c.workersToAsk(now, s, q, usable)
	if len(workers) == 0 {
		return false
	}
	s.advice.askedAt = now
	s.advice.limiter = c.limiterFor(s)
	s.advice.limiter.acquire(q.Service, last)
	c.setTimer(now, s, s.advice.answerDeadline(q))
	c.emit(AskAdvice{Step: s.id, Workers: workers, Urgent: c.asksUrgently(s), Cost: q.Advice.Cost(len(workers))})
	return true
}

// closeQuestion closes the open question of a step, which was answered or timed
// out.
func (c *Cell) closeQuestion(s *stepState) {
	s.advice.askedAt = time.Time{}
	if s.advice.limiter == nil {
		return
	}
	s.advice.limiter.release()
	s.advice.limiter = nil
	c.placementPending = true
}

// allowedShare returns the share of the workers that a queue's answers usually
// allow.
func (c *Cell) allowedShare(q *manifest.Queue) float64 {
	if share, ok := c.allowedShares[q.Name]; ok {
		return share
	}
	return initialAllowedShare
}

func (c *Cell) learnShare(q *manifest.Queue, answer Advice) {
	if len(answer.Asked) == 0 {
		return
	}
	seen := float64(len(answer.Allowed)) / float64(len(answer.Asked))
	c.allowedShares[q.Name] = max((1-shareWeight)*c.allowedShare(q)+shareWeight*seen, minAllowedShare)
}

// minAllowedShare keeps a series of refusals from making one question name
// every worker.
const minAllowedShare = 0.1
