package cell

import (
	"slices"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// place assigns waiting tasks to workers, in the rank order of their steps. It
// evaluates the steps that may have become placeable, and leaves those beyond
// maxEvaluations to the next decision.
func (c *Cell) place(now time.Time) {
	c.refreshRanks(now)
	c.fireTimers(now)
	mayPlace := c.placeableClasses(now)
	for _, l := range c.questionLimiters() {
		for _, s := range l.waiting.first(min(l.available(), maxEvaluations), &mayPlace) {
			c.evalQueue.pending.add(s)
		}
	}
	c.evalQueue.round++
	c.usableNow.begin(now)
	c.offerFreedWorkers(now)
	c.offerFreedAccounts()
	for evaluated := 0; evaluated < maxEvaluations; {
		s := c.nextStep(now)
		if s == nil {
			break
		}
		if c.holdBack(s) {
			continue // steps before it have used the room under the cap
		}
		evaluated++
		c.stepsEvaluated++
		s.evaluatedIn = c.evalQueue.round
		c.placeStep(now, s, &c.usableNow)
	}
	c.placementPending = c.placementPending || c.hasNextStep()
}

// nextStep takes the next step to evaluate out of the queue, or returns nil. If none
// may be placed, it offers the freed workers first, which may add steps. A step for
// which the dispatch queue is full stays in the queue; a step of an earlier startClass
// may rank after it, since a long-running step waits in its queue's class at first.
func (c *Cell) nextStep(now time.Time) *stepState {
	mayPlace := c.placeableClasses(now)
	if s := c.evalQueue.pending.popFirst(&mayPlace); s != nil {
		return s
	}
	c.offerFreedWorkers(now)
	c.offerFreedAccounts()
	if s := c.evalQueue.pending.popFirst(&mayPlace); s != nil {
		return s
	}
	for _, l := range c.questionLimiters() {
		if !l.ready() {
			continue
		}
		if s := l.waiting.popFirst(&mayPlace); s != nil {
			return s
		}
	}
	return nil
}

// placeableClasses returns the classes for which the dispatch queue is not full.
func (c *Cell) placeableClasses(now time.Time) classSet {
	var out classSet
	for class := range startClasses {
		out[class] = !c.dispatch.full(now, class)
	}
	return out
}

// hasNextStep reports whether there is a step to evaluate.
func (c *Cell) hasNextStep() bool {
	return c.evalQueue.pending.len() > 0 || len(c.evalQueue.freedWorkers) > 0 || len(c.evalQueue.freedAccounts) > 0 || c.urgentQuestions.ready() || c.longQuestions.ready()
}

// placeStep places as many tasks of a step as possible.
func (c *Cell) placeStep(now time.Time, s *stepState, usable *usableWorkers) {
	c.urgentQuestions.waiting.remove(s)
	c.longQuestions.waiting.remove(s)
	c.evalQueue.unplaceable.remove(s)
	c.stopWaitingForCap(s)
	if c.awaitsOthers(now, s) {
		return
	}
	if c.failIfExhausted(now, s) {
		// Begin a new round, so that offers do not skip the steps evaluated before:
		// they may use the capacity that the job held.
		c.evalQueue.round++
		return
	}
	q := c.queueOf(s.job)
	eligible := c.eligible(now, s, q, usable)
	if s.spec.Gang {
		if s.waiting == len(s.tasks) {
			c.placeGang(now, s, eligible)
		}
	} else {
		c.placeTasks(now, s, eligible)
	}
	switch {
	case s.waiting == 0:
	case c.dispatch.full(now, s.class):
		c.markStep(s)
	case s.blockedByCap():
		c.questionOpen(now, s, q) // closes it if it has timed out
		c.waitForCap(s)
	default:
		asking := c.requestWorkers(now, s, q, usable)
		c.preempt(now, s, eligible, asking)
	}
}

// requestWorkers asks for advice about more workers for a step, or records what
// it waits for. It reports whether an answer is expected.
func (c *Cell) requestWorkers(now time.Time, s *stepState, q *manifest.Queue, usable *usableWorkers) bool {
	switch {
	case !q.Advice.Needed():
		c.evalQueue.unplaceable.add(s)
	case c.questionOpen(now, s, q):
		return true
	case now.Before(s.advice.notBefore):
	case c.limiterFor(s).available() <= 0:
		c.limiterFor(s).waiting.add(s)
		return true
	case c.ask(now, s, q, usable):
		return true
	default:
		c.evalQueue.unplaceable.add(s)
	}
	return false
}

// eligible returns the workers that a step may be started on now, whether they
// have free capacity or not. A step that needs advice has few allowed workers,
// and only these are examined.
func (c *Cell) eligible(now time.Time, s *stepState, q *manifest.Queue, usable *usableWorkers) []*worker {
	out := usable.buffer[:0]
	if q.Advice.Needed() {
		for _, id := range s.advice.allowedIDs {
			w, known := c.workers[id]
			if known && w.registration.Service == q.Service && s.advice.hasTicket(now, w) && s.fits(w) && c.usable(now, w) {
				out = append(out, w)
			}
		}
	} else {
		for _, w := range usable.of(q.Service) {
			if s.fits(w) {
				out = append(out, w)
			}
		}
	}
	usable.buffer = out
	return out
}

// fits reports whether a worker's size and labels suit a step.
func (s *stepState) fits(w *worker) bool {
	if s.spec.Label != "" && !w.registration.HasLabel(s.spec.Label) {
		return false
	}
	return s.spec.Size.Fits(w.registration.Capacity) || s.spec.BestEffort && s.spec.Reserved().Fits(w.registration.Capacity)
}

// avoidDuration is how long a task avoids the worker on which it failed.
const avoidDuration = 1 * time.Second

// placeTasks places the tasks of a step one by one.
func (c *Cell) placeTasks(now time.Time, s *stepState, eligible []*worker) {
	placed := false
	for _, t := range s.tasks {
		if t.phase != phaseWaiting || c.earlyStarts.unrecorded[t.id] != nil {
			continue
		}
		if c.dispatch.full(now, s.class) || s.blockedByCap() {
			break
		}
		w := c.workerFor(now, t, eligible)
		if w == nil && t.avoidWorker == "" && !t.suspect() {
			break
		}
		if w == nil {
			continue
		}
		if s.waiting == len(s.tasks) {
			s.rack = w.registration.Rack()
		}
		c.planRun(now, t, w, t.lastRun+1)
		placed = true
	}
	if placed && s.waiting == 0 {
		c.closeStep(s)
	}
}

// workerFor returns the best worker for a task, or nil.
func (c *Cell) workerFor(now time.Time, t *task, eligible []*worker) *worker {
	if t.suspect() {
		return c.workerForSuspect(now, t, eligible)
	}
	w := c.choose(now, t.step, eligible, t.avoidWorker)
	if w == nil && t.avoidWorker != "" && now.Sub(t.waitingSince) > avoidDuration {
		w = c.choose(now, t.step, eligible, "")
	}
	return w
}

// placeGang places all tasks of a gang or none.
func (c *Cell) placeGang(now time.Time, s *stepState, eligible []*worker) {
	if s.blockedByCap() {
		return
	}
	number := 0
	s.rack = ""
	for _, t := range s.tasks {
		number = max(number, t.lastRun)
	}
	chosen := make([]*worker, 0, len(s.tasks))
	if s.spec.MaxPerWorker > 0 {
		eligible = slices.Clone(eligible)
	}
	for range s.tasks {
		w := c.choose(now, s, eligible, "")
		if w == nil {
			break
		}
		chosen = append(chosen, w)
		s.rack = chosen[0].registration.Rack()
		// The reservation is temporary, so that the next choice takes it into
		// account.
		w.reserved = w.reserved.Add(s.spec.Reserved())
		if s.spec.MaxPerWorker > 0 && w.tasksOf(s.id)+count(chosen, w) >= s.spec.MaxPerWorker {
			eligible = slices.DeleteFunc(eligible, func(o *worker) bool { return o == w })
		}
	}
	for _, w := range chosen {
		w.reserved = w.reserved.Sub(s.spec.Reserved())
	}
	if len(chosen) < len(s.tasks) {
		return
	}
	checkpoint := ""
	for _, t := range s.tasks {
		checkpoint = max(checkpoint, t.checkpoint)
	}
	for i, t := range s.tasks {
		t.checkpoint = checkpoint
		c.planRun(now, t, chosen[i], number+1)
	}
	c.closeStep(s)
}

// count returns how often a worker is among others.
func count(workers []*worker, w *worker) int {
	n := 0
	for _, o := range workers {
		if o == w {
			n++
		}
	}
	return n
}

// choose returns the best worker for one more task of a step, or nil.
func (c *Cell) choose(now time.Time, s *stepState, eligible []*worker, exclude WorkerID) *worker {
	if s.blockedByCap() {
		return nil
	}
	var best *worker
	var bestScore float64
	for _, w := range eligible {
		if w.id == exclude || !s.hasRoom(w) {
			continue
		}
		if score := c.config.Policy.scoreAt(now, s, w); best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	return c.avoidInterference(now, s, best, eligible, exclude)
}

// hasRoom reports whether one more task of a step may be placed on a worker.
func (s *stepState) hasRoom(w *worker) bool {
	if w.isolated != nil || !s.spec.Reserved().Fits(w.freeCapacity()) {
		return false
	}
	return s.spec.MaxPerWorker == 0 || w.tasksOf(s.id) < s.spec.MaxPerWorker
}

// tasksOf returns how many tasks of a step are on the worker.
func (w *worker) tasksOf(step workload.StepID) int {
	n := 0
	for _, r := range w.runs.list {
		if r.task.id.StepID == step {
			n++
		}
	}
	return n
}

// planRun reserves capacity for a run. Its start is sent once the record is
// durable, or before that if it may start early.
func (c *Cell) planRun(now time.Time, t *task, w *worker, number int) {
	s := t.step
	r := &run{task: t, number: number, worker: w, incarnation: w.incarnation, phase: runPlanned, progressAt: now, pace: fullPace}
	if granted, ok := s.advice.allowed[w.id]; ok {
		r.ticket = granted.value
	}
	r.plannedAt = now
	c.observe(StagePlace, s.job, now.Sub(t.waitingSince))
	t.lastRun = number
	t.phase = phaseActive
	t.setCurrent(r)
	s.waiting--
	s.preemptedFor = min(s.preemptedFor, s.waiting)
	w.runs.add(r)
	w.reserved = w.reserved.Add(s.spec.Reserved())
	chargePlanned(r)
	c.recordChanged(s.job)
	r.revision = s.job.revision
	s.job.planned = append(s.job.planned, r)
	r.class = s.class
	r.early = c.mayStartEarly(r)
	c.isolate(r)
	t.numberRevision = r.revision
	if r.early {
		c.enqueueStart(now, r)
	}
}
