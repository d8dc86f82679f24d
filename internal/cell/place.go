package cell

import (
	"cmp"
	"slices"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// place gives waiting tasks to workers, the most pressing steps first.
func (c *Cell) place(now time.Time) {
	if len(c.open) == 0 {
		return
	}
	fit := c.usableByService(now)
	for _, s := range c.byRank(now) {
		c.placeStep(now, s, fit)
	}
}

// usableByService returns the workers that may get starts, in a fixed order.
func (c *Cell) usableByService(now time.Time) map[string][]*worker {
	out := make(map[string][]*worker)
	for _, w := range c.ordered {
		if c.usable(now, w) {
			out[w.sighting.Service] = append(out[w.sighting.Service], w)
		}
	}
	return out
}

// byRank returns the open steps in the order in which they get room.
func (c *Cell) byRank(now time.Time) []*stepState {
	type ranked struct {
		step *stepState
		rank rank
	}
	steps := make([]ranked, 0, len(c.open))
	for _, s := range c.open {
		steps = append(steps, ranked{s, c.rank(now, s)})
	}
	slices.SortFunc(steps, func(a, b ranked) int {
		if n := a.rank.compare(b.rank); n != 0 {
			return n
		}
		x, y := a.step.id, b.step.id
		return cmp.Or(cmp.Compare(x.Job, y.Job), cmp.Compare(x.Occurrence, y.Occurrence), cmp.Compare(x.Step, y.Step))
	})
	out := make([]*stepState, len(steps))
	for i := range steps {
		out[i] = steps[i].step
	}
	return out
}

// placeStep places what it can of one step.
func (c *Cell) placeStep(now time.Time, s *stepState, usable map[string][]*worker) {
	if c.settling() && !s.spec.Gang && !s.spec.LongRunning {
		return
	}
	q := c.queueOf(s.job)
	fitting := s.fitting(usable[q.Service])
	if s.spec.Gang {
		if s.waiting == len(s.tasks) {
			c.placeGang(now, s, q, fitting)
		}
	} else {
		c.placeTasks(now, s, q, fitting)
	}
	if s.waiting > 0 && q.Advice.Needed() {
		c.ask(now, s, q, fitting)
	}
	if s.waiting > 0 {
		c.preempt(now, s, q, fitting)
	}
}

// fitting returns the workers whose size and labels suit a step.
func (s *stepState) fitting(workers []*worker) []*worker {
	out := make([]*worker, 0, len(workers))
	for _, w := range workers {
		if s.spec.Label != "" && !w.sighting.HasLabel(s.spec.Label) {
			continue
		}
		if s.spec.Size.Fits(w.sighting.Room) || s.spec.Filler && s.spec.Reserved().Fits(w.sighting.Room) {
			out = append(out, w)
		}
	}
	return out
}

// avoidFor is how long a task waits for another worker than the one on which it
// failed.
const avoidFor = 1 * time.Second

// placeTasks places the tasks of a step one by one.
func (c *Cell) placeTasks(now time.Time, s *stepState, q *manifest.Queue, fitting []*worker) {
	placed := false
	for _, t := range s.tasks {
		if t.phase != phaseWaiting || c.ahead.strays[t.id] != nil {
			continue
		}
		w := c.choose(now, s, q, fitting, t.failedOn)
		if w == nil && t.failedOn != "" && now.Sub(t.waitingSince) > avoidFor {
			w = c.choose(now, s, q, fitting, "")
		}
		if w == nil && t.failedOn == "" {
			break
		}
		if w == nil {
			continue
		}
		if s.waiting == len(s.tasks) {
			s.rack = w.sighting.Rack()
		}
		c.plan(now, t, w, t.lastRun+1)
		placed = true
	}
	if placed && s.waiting == 0 {
		delete(c.open, s.id)
	}
}

// placeGang places all tasks of a gang or none.
func (c *Cell) placeGang(now time.Time, s *stepState, q *manifest.Queue, fitting []*worker) {
	number := 0
	s.rack = ""
	for _, t := range s.tasks {
		number = max(number, t.lastRun)
	}
	chosen := make([]*worker, 0, len(s.tasks))
	for range s.tasks {
		w := c.choose(now, s, q, fitting, "")
		if w == nil {
			break
		}
		chosen = append(chosen, w)
		s.rack = chosen[0].sighting.Rack()
		// Taken for the moment, so that the next choice sees it.
		w.taken = w.taken.Add(s.spec.Reserved())
	}
	for _, w := range chosen {
		w.taken = w.taken.Sub(s.spec.Reserved())
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
		c.plan(now, t, chosen[i], number+1)
	}
	delete(c.open, s.id)
}

// choose returns the best worker for one more task of a step, or nil.
func (c *Cell) choose(now time.Time, s *stepState, q *manifest.Queue, fitting []*worker, not WorkerID) *worker {
	var best *worker
	var bestScore float64
	need := s.spec.Reserved()
	for _, w := range fitting {
		if w.id == not || !need.Fits(w.free()) {
			continue
		}
		if q.Advice.Needed() && !s.advice.valid(now, w) {
			continue
		}
		if s.spec.MaxPerWorker > 0 && w.countOf(s.id) >= s.spec.MaxPerWorker {
			continue
		}
		if score := c.config.Policy.scoreAt(now, s, w); best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// countOf returns how many tasks of a step are on the worker.
func (w *worker) countOf(step workload.StepID) int {
	n := 0
	for _, r := range w.runs.list {
		if r.task.id.StepID == step {
			n++
		}
	}
	return n
}

// plan reserves room for a run. Its start is sent once the record is durable.
func (c *Cell) plan(now time.Time, t *task, w *worker, number int) {
	s := t.step
	r := &run{task: t, number: number, worker: w, phase: runPlanned, movedAt: now, pace: fullPace}
	if tick, ok := s.advice.allowed[w.id]; ok {
		r.ticket = tick.value
	}
	r.plannedAt = now
	c.observe(StagePlace, s.job, now.Sub(t.waitingSince))
	t.lastRun = number
	t.phase = phaseActive
	t.current = r
	s.waiting--
	s.coming = min(s.coming, s.waiting)
	w.runs.add(r)
	w.taken = w.taken.Add(s.spec.Reserved())
	c.changed(s.job)
	r.revision = s.job.revision
	s.job.planned = append(s.job.planned, r)
	ahead := c.mayGoAhead(r)
	t.numberRevision = r.revision
	if ahead {
		c.sendStart(now, r)
	}
}
