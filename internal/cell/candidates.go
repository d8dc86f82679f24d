package cell

import (
	"math"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
)

const (
	// initialAllowedShare is the share of the workers that is assumed to be
	// allowed until a queue's own answers show it.
	initialAllowedShare = 0.4
	// shareWeight is the weight of one answer in the moving average of the
	// share.
	shareWeight = 0.1
	// capacityMargin is the ratio of the capacity asked for to the capacity
	// that the tasks need.
	capacityMargin = 1.5
	// spareCapacityMargin is the same ratio for workers that are occupied, of
	// which only some will have free capacity while the answer is valid.
	spareCapacityMargin = 4
)

// candidates collects the workers that a question names.
type candidates struct {
	step *stepState
	ids  []WorkerID
	// wanted is the number of further tasks to find capacity for, and share is
	// the share of the workers that is usually allowed.
	wanted float64
	share  float64
	// idleOnly is set if only workers that run nothing help.
	idleOnly bool
}

// enough reports whether the question names enough workers.
func (n *candidates) enough() bool { return n.wanted <= 0 || len(n.ids) >= maxWorkersAsked }

// add names a worker if it has capacity for the step.
func (n *candidates) add(w *worker) {
	tasks := n.step.capacityOn(w)
	if tasks == 0 || n.enough() {
		return
	}
	n.ids = append(n.ids, w.id)
	n.wanted -= n.share * float64(tasks)
}

// workersToAsk returns the workers to ask about: those with capacity for the
// waiting tasks, as many as should provide enough of it. Workers that are known
// to be allowed and only need a new ticket come first. The others take turns:
// last is the last of them, after which the next question begins.
func (c *Cell) workersToAsk(now time.Time, s *stepState, q *manifest.Queue, usable *usableWorkers) (ids []WorkerID, last WorkerID) {
	tasks, idleOnly := c.adviceDemand(now, s, q)
	if tasks == 0 {
		return nil, ""
	}
	out := &candidates{step: s, wanted: float64(tasks) * capacityMargin, share: c.allowedShare(q), idleOnly: idleOnly}
	c.addRenewals(now, out, q)
	last = c.addUnknown(now, out, q, usable)
	if len(out.ids) > 0 && !out.enough() && !idleOnly {
		c.addOccupied(now, out, float64(tasks)*spareCapacityMargin, q, usable)
	}
	return out.ids[:min(len(out.ids), maxWorkersAsked)], last
}

// addUnknown names workers with free capacity of which it is not known whether they
// are allowed, and returns the last one. It begins after those that the last open
// question named, so that the open questions do not compete for the same capacity.
func (c *Cell) addUnknown(now time.Time, n *candidates, q *manifest.Queue, usable *usableWorkers) (last WorkerID) {
	s, need := n.step, n.step.spec.Reserved()
	workers := usable.recent(q.Service)
	begin := c.limiterFor(s).begin(q.Service, workers)
	for i := range workers {
		if n.enough() {
			break
		}
		w := workers[(begin+i)%len(workers)]
		if !need.Fits(w.freeCapacity()) || s.advice.isKnown(w.id) || !s.fits(w) || n.idleOnly && !w.idle() || !c.usableFor(now, w, q) {
			continue
		}
		n.add(w)
		last = w.id
	}
	return last
}

// usableFor reports whether a worker of the recent ones may get new starts of a queue. It
// may have registered for another service since.
func (c *Cell) usableFor(now time.Time, w *worker, q *manifest.Queue) bool {
	return w.registration.Service == q.Service && c.usable(now, w)
}

// addOccupied extends a question by workers that have no free capacity yet, so
// that the step can use what becomes free while the answer is valid. Each
// question takes a fixed time, however few workers it names; the added workers
// take at most as long again.
func (c *Cell) addOccupied(now time.Time, n *candidates, wanted float64, q *manifest.Queue, usable *usableWorkers) {
	limit := maxWorkersAsked
	if q.Advice.PerWorker > 0 {
		limit = min(limit, int(q.Advice.Fixed/q.Advice.PerWorker))
	}
	s := n.step
	enough := func() bool { return wanted <= 0 || len(n.ids) >= limit }
	// The workers that are named already have capacity for the step.
	add := func(w *worker, share float64) {
		n.ids = append(n.ids, w.id)
		wanted -= share * float64(s.capacityIn(w, w.registration.Capacity))
	}
	for _, id := range s.advice.allowedIDs {
		if enough() {
			return
		}
		w, known := c.workers[id]
		if known && w.registration.Service == q.Service && s.capacityOn(w) == 0 && s.fits(w) && !s.advice.hasTicket(now, w) && c.usable(now, w) {
			add(w, 1)
		}
	}
	for _, w := range usable.recent(q.Service) {
		if enough() {
			return
		}
		if s.capacityOn(w) == 0 && !s.advice.isKnown(w.id) && s.fits(w) && c.usableFor(now, w, q) {
			add(w, n.share)
		}
	}
}

// addRenewals names the allowed workers whose ticket has expired, as many as are
// needed. All allowed workers count towards the capacity that is wanted.
func (c *Cell) addRenewals(now time.Time, n *candidates, q *manifest.Queue) {
	s := n.step
	for _, id := range s.advice.allowedIDs {
		w, known := c.workers[id]
		if !known || w.registration.Service != q.Service || !s.fits(w) || !c.usable(now, w) || n.idleOnly && !w.idle() {
			continue
		}
		tasks := s.capacityOn(w)
		if tasks == 0 {
			continue
		}
		if !s.advice.hasTicket(now, w) {
			n.ids = append(n.ids, id)
		}
		n.wanted -= float64(tasks)
		if n.wanted <= 0 {
			break
		}
	}
}

// isKnown reports whether an answer has allowed or denied a worker.
func (a *adviceState) isKnown(id WorkerID) bool {
	if a.denied[id] {
		return true
	}
	_, allowed := a.allowed[id]
	return allowed
}

// capacityOn returns how many more tasks of a step fit on a worker now.
func (s *stepState) capacityOn(w *worker) int64 { return s.capacityIn(w, w.freeCapacity()) }

// capacityIn returns how many more tasks of a step a worker may take within the
// given free capacity.
func (s *stepState) capacityIn(w *worker, free job.Size) int64 {
	tasks := fitCount(free, s.spec.Reserved())
	if s.spec.MaxPerWorker > 0 {
		tasks = min(tasks, int64(s.spec.MaxPerWorker-w.tasksOf(s.id)))
	}
	return max(tasks, 0)
}

// fitCount returns how many tasks of size need fit into the given free
// capacity. None fit while it is negative in a resource, needed or not.
func fitCount(free, need job.Size) int64 {
	if !need.Fits(free) {
		return 0
	}
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
	return n
}
