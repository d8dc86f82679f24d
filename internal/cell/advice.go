package cell

import (
	"math"
	"slices"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
)

// adviceState is what the advice service has said about a step. Which workers
// are allowed never changes; only their tickets run out.
type adviceState struct {
	allowed map[WorkerID]ticket
	// order holds the allowed workers by their IDs.
	order  []WorkerID
	denied map[WorkerID]bool
	// askedAt is when the open question was asked; zero without one.
	askedAt time.Time
	// named is how many workers the open question names, and among which
	// questions it counts.
	named int
	among *asking
	// notBefore is when the step may ask again after questions that failed, and
	// pause how long it waits for that after the next one.
	notBefore time.Time
	pause     time.Duration
}

type ticket struct {
	value       string
	until       time.Time
	incarnation Incarnation
}

const (
	// maxAsked is the largest number of workers in one question.
	maxAsked = 100
	// ticketMargin is how long before its end a ticket is no longer used, for
	// a start takes a while to arrive.
	ticketMargin = 150 * time.Millisecond
	// firstAskPause and maxAskPause bound the wait after a question that failed.
	firstAskPause = 50 * time.Millisecond
	maxAskPause   = 400 * time.Millisecond
	// adviceTimeout is the wait for an answer beyond the question's cost.
	adviceTimeout = 4 * time.Second
)

// valid reports whether the step has a ticket for the worker.
func (a *adviceState) valid(now time.Time, w *worker) bool {
	t, ok := a.allowed[w.id]
	return ok && t.incarnation == w.incarnation && now.Add(ticketMargin).Before(t.until)
}

// Advised takes in the answer to a question.
func (c *Cell) Advised(now time.Time, answer Advice) {
	j, known := c.jobs[answer.Step.Job]
	if !known || answer.Step.Occurrence >= len(j.occurrences) {
		return
	}
	s := j.occurrences[answer.Step.Occurrence][answer.Step.Step]
	c.settleQuestion(s)
	c.reconsider = true
	if answer.Failed {
		c.askLater(now, s)
		return
	}
	s.advice.pause = 0
	c.mark(s)
	valid := answer.Valid
	if valid == 0 {
		valid = c.queueOf(j).Advice.ValidFor
	}
	c.learnShare(c.queueOf(j), answer)
	s.advice.learn(now, c, answer, valid)
	if s.open {
		for _, l := range c.wantedLists(s) {
			l.add(s)
		}
	}
}

func (a *adviceState) learn(now time.Time, c *Cell, answer Advice, valid time.Duration) {
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
			at, _ := slices.BinarySearch(a.order, t.Worker)
			a.order = slices.Insert(a.order, at, t.Worker)
		}
		a.allowed[t.Worker] = ticket{value: t.Value, until: now.Add(valid), incarnation: w.incarnation}
	}
}

// forget drops a ticket that the worker did not accept.
func (a *adviceState) forget(id WorkerID) {
	if t, ok := a.allowed[id]; ok {
		t.until = time.Time{}
		a.allowed[id] = t
	}
}

// askLater has a step ask again after a pause, which grows with each failure.
func (c *Cell) askLater(now time.Time, s *stepState) {
	s.advice.pause = min(max(2*s.advice.pause, firstAskPause), maxAskPause)
	s.advice.notBefore = now.Add(s.advice.pause)
	c.setAlarm(now, s, s.advice.notBefore)
}

// questionOpen reports whether an answer about a step is still waited for.
func (c *Cell) questionOpen(now time.Time, s *stepState, q *manifest.Queue) bool {
	if s.advice.askedAt.IsZero() {
		return false
	}
	if now.Before(s.advice.answerBy(q)) {
		return true
	}
	c.log.Warn("no answer to a question for advice", zap.String("Job", string(s.id.Job)), zap.Stringer("Step", s.id))
	c.settleQuestion(s)
	return false
}

// answerBy is when the open question is given up.
func (a *adviceState) answerBy(q *manifest.Queue) time.Time {
	return a.askedAt.Add(q.Advice.Cost(maxAsked) + adviceTimeout)
}

// ask asks for advice on a step if more of it would help to place tasks now, and
// reports whether it did.
func (c *Cell) ask(now time.Time, s *stepState, q *manifest.Queue, usable *usableWorkers) bool {
	workers := c.worthAsking(now, s, q, usable)
	if len(workers) == 0 {
		return false
	}
	s.advice.askedAt = now
	s.advice.named, s.advice.among = len(workers), c.askingFor(q)
	s.advice.among.asked(len(workers))
	c.setAlarm(now, s, s.advice.answerBy(q))
	c.act(AskAdvice{Step: s.id, Workers: workers, Urgent: q.Priority == 0, Cost: q.Advice.Cost(len(workers))})
	return true
}

// settleQuestion notes that the open question of a step is answered or given
// up.
func (c *Cell) settleQuestion(s *stepState) {
	s.advice.askedAt = time.Time{}
	if s.advice.among == nil {
		return
	}
	s.advice.among.settled(s.advice.named)
	s.advice.among = nil
	c.reconsider = true
}

const (
	// usualShare is the part of the workers that is allowed, before a queue's
	// own answers have shown it.
	usualShare = 0.4
	// shareWeight is the weight of one answer in the learned share.
	shareWeight = 0.1
	// spareRoom is how much more room is asked for than the tasks need.
	spareRoom = 1.5
)

// candidates gathers the workers that a question names.
type candidates struct {
	step *stepState
	ids  []WorkerID
	// wanted is for how many more tasks there should be room, and share the part of
	// the workers that is usually allowed.
	wanted float64
	share  float64
}

// enough reports whether no more workers are to be named.
func (l *candidates) enough() bool { return l.wanted <= 0 || len(l.ids) >= maxAsked }

// add names a worker if it has room.
func (l *candidates) add(w *worker) {
	room := l.step.roomOn(w)
	if room == 0 || l.enough() {
		return
	}
	l.ids = append(l.ids, w.id)
	l.wanted -= l.share * float64(room)
}

// worthAsking returns the workers to ask about: those with room for the tasks
// that wait, as many as should give enough of it. Workers that are known to be
// allowed and need only a fresh ticket come first. Of the others, as many are left
// to the open questions as these name, unless there are no more.
func (c *Cell) worthAsking(now time.Time, s *stepState, q *manifest.Queue, usable *usableWorkers) []WorkerID {
	known, wanted := c.worthRenewing(now, s, q)
	out := &candidates{step: s, ids: known, wanted: wanted, share: c.allowedShare(q)}
	leave := c.askingFor(q).named
	var left []*worker
	need := s.spec.Reserved()
	for _, w := range usable.of(q.Service) {
		if out.enough() {
			break
		}
		if !need.Fits(w.free()) || s.advice.knows(w.id) || !s.fits(w) {
			continue
		}
		if len(left) < leave {
			left = append(left, w)
			continue
		}
		out.add(w)
	}
	for i := range left {
		// Not always the first ones, which all others would name as well.
		out.add(left[(leave+i)%len(left)])
	}
	return out.ids[:min(len(out.ids), maxAsked)]
}

// worthRenewing returns the allowed workers whose ticket has run out, as many as are
// needed, and how much room is wanted beyond that of all allowed workers.
func (c *Cell) worthRenewing(now time.Time, s *stepState, q *manifest.Queue) (asked []WorkerID, wanted float64) {
	wanted = float64(s.waiting) * spareRoom
	for _, id := range s.advice.order {
		w, known := c.workers[id]
		if !known || w.registration.Service != q.Service || !s.fits(w) || !c.usable(now, w) {
			continue
		}
		room := s.roomOn(w)
		if room == 0 {
			continue
		}
		if !s.advice.valid(now, w) {
			asked = append(asked, id)
		}
		wanted -= float64(room)
		if wanted <= 0 {
			break
		}
	}
	return asked, wanted
}

// knows reports whether an answer has said of a worker that it is allowed or not.
func (a *adviceState) knows(id WorkerID) bool {
	if a.denied[id] {
		return true
	}
	_, allowed := a.allowed[id]
	return allowed
}

// roomOn returns how many more tasks of a step a worker may take now.
func (s *stepState) roomOn(w *worker) int64 { return s.roomIn(w, w.free()) }

// roomIn returns how many more tasks of a step a worker may take in some free room.
func (s *stepState) roomIn(w *worker, free job.Size) int64 {
	room := timesIn(free, s.spec.Reserved())
	if s.spec.MaxPerWorker > 0 {
		room = min(room, int64(s.spec.MaxPerWorker-w.countOf(s.id)))
	}
	return max(room, 0)
}

// timesIn returns how many tasks of a size fit into some free room.
func timesIn(free, need job.Size) int64 {
	n := int64(math.MaxInt32)
	if need.MilliCores > 0 {
		n = min(n, free.MilliCores/need.MilliCores)
	}
	if need.MemoryMB > 0 {
		n = min(n, free.MemoryMB/need.MemoryMB)
	}
	if need.Accelerators > 0 {
		n = min(n, free.Accelerators/need.Accelerators)
	}
	return max(n, 0)
}

// allowedShare is the part of the workers that a queue's answers allow.
func (c *Cell) allowedShare(q *manifest.Queue) float64 {
	if share, ok := c.shares[q.Name]; ok {
		return share
	}
	return usualShare
}

func (c *Cell) learnShare(q *manifest.Queue, answer Advice) {
	if len(answer.Asked) == 0 {
		return
	}
	seen := float64(len(answer.Allowed)) / float64(len(answer.Asked))
	c.shares[q.Name] = max((1-shareWeight)*c.allowedShare(q)+shareWeight*seen, leastShare)
}

// leastShare keeps a run of refusals from asking about every worker at once.
const leastShare = 0.1
