package cell

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/job"
)

// worker is what the cell knows of one worker.
type worker struct {
	id           WorkerID
	registration Registration
	// listed is set while the worker stands in the list of workers.
	listed     bool
	unlistedAt time.Time
	// incarnation is the latest that the worker reported under this owner.
	incarnation Incarnation
	// reported is set once the worker has answered this owner.
	reported   bool
	lastReport time.Time
	// clock is the worker's clock as read at clockAt.
	clock   time.Duration
	clockAt time.Time
	// deadline is the latest lease deadline that was sent to the worker.
	deadline time.Duration

	runs     runSet
	reserved job.Size
	// preempted is the part of it that runs take which are stopped for others.
	preempted job.Size
	// orphaned is the room that runs take that this owner does not know.
	orphaned job.Size
	// endsSeen is the number of the last end that was taken in.
	endsSeen int64
	// pendingEnds holds the ends that may not be acknowledged yet, by number.
	pendingEnds []pendingEnd

	// incarnationUnsure is set after a call without an answer: the worker may have begun
	// a new life, whose ends are counted anew.
	incarnationUnsure bool
	// cordonedBy is the wave of maintenance for which the worker's machine goes
	// down, so that it gets no starts; nil is none.
	cordonedBy *waveState
	// pacedAt is when the pace of best-effort tasks was last changed.
	pacedAt time.Time

	health health

	// allowedSteps holds the open steps that are allowed on the worker.
	allowedSteps stepList
	// offerPending is set while the worker's room waits to be offered.
	offerPending bool
	// usableAtSweep is set if the worker could get starts at the last sweep.
	usableAtSweep bool
}

// pendingEnd is an end whose effect on a job is not durable yet.
type pendingEnd struct {
	number   int64
	job      *jobState
	revision uint64
}

// clockNow estimates the worker's clock from its last report.
func (w *worker) clockNow(now time.Time) time.Duration {
	return w.clock + now.Sub(w.clockAt)
}

// freeCapacity is the room that no run takes.
func (w *worker) freeCapacity() job.Size {
	return w.registration.Capacity.Sub(w.reserved).Sub(w.orphaned)
}

// addWorker makes a worker known.
func (c *Cell) addWorker(id WorkerID) *worker {
	w := &worker{id: id, runs: newRunSet()}
	c.workers[id] = w
	at, _ := slices.BinarySearchFunc(c.sortedWorkers, id, func(w *worker, id WorkerID) int { return cmp.Compare(w.id, id) })
	c.sortedWorkers = slices.Insert(c.sortedWorkers, at, w)
	return w
}

// Register takes in a line of the list of workers.
func (c *Cell) Register(now time.Time, s Registration) {
	w, known := c.workers[s.ID]
	if !known {
		w = c.addWorker(s.ID)
		c.log.Info("worker listed", workerField(w), zap.Stringer("Addr", s.Addr), zap.String("Service", s.Service))
	}
	if known && s.Leaving && !w.registration.Leaving {
		c.log.Info("worker is leaving", workerField(w), zap.Duration("TimeLeft", s.TimeLeft))
		defer c.drainWorker(now, w)
	}
	w.registration = s
	w.listed = true
	c.capacityFreed(w)
}

// Addr returns where a worker takes calls.
func (c *Cell) Addr(id WorkerID) (netip.AddrPort, bool) {
	w, known := c.workers[id]
	if !known || !w.registration.Addr.IsValid() {
		return netip.AddrPort{}, false
	}
	return w.registration.Addr, true
}

// Unlist notes that a worker has left the list of workers. What runs there
// keeps its lease, which the worker may still hold to.
func (c *Cell) Unlist(now time.Time, id WorkerID) {
	w, known := c.workers[id]
	if !known || !w.listed {
		return
	}
	w.listed = false
	w.unlistedAt = now
	c.log.Info("worker left the list", workerField(w), zap.Int("Runs", w.runs.len()))
}

// HoldRequest is what the next hold call to a worker says.
type HoldRequest struct {
	Worker WorkerID
	Addr   netip.AddrPort
	// Deadline is the lease on the worker's clock; 0 asks for its clock first.
	Deadline time.Duration
	// Acknowledged is the number of the last end whose effect is durable.
	Acknowledged int64
	// Wait is how long the worker may wait for an end.
	Wait time.Duration
	// EndsPending is set while ends of the last report are not durable yet. A
	// call now would be answered at once with the same ends.
	EndsPending bool
}

const (
	// holdWait is how long a hold waits for an end.
	holdWait = 1 * time.Second
	// sharedHoldWait is the wait at a worker where best-effort tasks run beside tasks
	// with a latency target, whose tails have to be watched.
	sharedHoldWait = 300 * time.Millisecond
)

// NextHold returns what the next hold call to a worker says. It grants the
// lease, so it is asked right before the call is sent. A worker that does not
// answer gets no longer lease, or the calls that fail would keep its tasks from
// being placed again. It returns false for a worker that needs no call any more.
func (c *Cell) NextHold(now time.Time, id WorkerID) (HoldRequest, bool) {
	w, known := c.workers[id]
	if !known {
		return HoldRequest{}, false
	}
	plan := HoldRequest{Worker: id, Addr: w.registration.Addr, Acknowledged: w.acknowledged(), Wait: holdWait}
	if w.incarnationUnsure {
		plan.Acknowledged = 0
	}
	if !w.reported {
		plan.Wait = 0
		return plan, true
	}
	if len(w.pendingEnds) > 0 {
		plan.Wait = 0
		plan.EndsPending = true
	}
	if w.hasMixedLoad() {
		plan.Wait = min(plan.Wait, sharedHoldWait)
	}
	plan.Deadline = w.deadline
	if now.Sub(w.lastReport) <= c.config.ContactTimeout {
		plan.Deadline = w.extendLease(now, c.config.Lease)
	}
	return plan, true
}

// HoldFailed notes that a hold call has no answer.
func (c *Cell) HoldFailed(id WorkerID) {
	if w, known := c.workers[id]; known {
		w.incarnationUnsure = true
	}
}

// extendLease extends the lease of a worker and returns its new deadline.
func (w *worker) extendLease(now time.Time, lease time.Duration) time.Duration {
	w.deadline = max(w.deadline, w.clockNow(now)+lease)
	return w.deadline
}

// acknowledged returns the number of the last end that may be forgotten.
func (w *worker) acknowledged() int64 {
	for len(w.pendingEnds) > 0 {
		first := w.pendingEnds[0]
		if first.job != nil && first.job.durable < first.revision {
			return first.number - 1
		}
		w.pendingEnds = w.pendingEnds[1:]
	}
	return w.endsSeen
}

// leaseExpired reports whether everything that ran on the worker has surely ended
// because its lease ran out.
func (c *Cell) leaseExpired(now time.Time, w *worker) bool {
	if !w.reported {
		return now.Sub(c.ownedSince) > c.inheritedWait()
	}
	left := w.deadline - w.clock
	return now.Sub(w.clockAt) > localDuration(left)+leaseSlack
}

// PreviousOwnerEnded notes that the process of the last owner has surely ended,
// so that it grants no lease any more.
func (c *Cell) PreviousOwnerEnded() { c.previousOwnerEnded = true }

// inheritedWait is how long after a takeover something may still run on a worker
// that has not answered this owner. An owner that froze or was cut off may go on
// granting leases until it learns that it was replaced.
func (c *Cell) inheritedWait() time.Duration {
	if c.previousOwnerEnded {
		return localDuration(c.config.Lease) + endedOwnerSlack
	}
	return localDuration(c.config.MaxLease) + replacedOwnerSlack
}

// localDuration is how long a span on a slow worker's clock lasts on ours.
func localDuration(d time.Duration) time.Duration {
	return time.Duration(float64(d) / minClockRate)
}

const (
	// leaseSlack covers the coarseness of the clocks compared.
	leaseSlack = 200 * time.Millisecond
	// endedOwnerSlack covers the calls that an ended owner had on their way. Their
	// deadlines are fixed, so they grant little more than its last one.
	endedOwnerSlack = 1 * time.Second
	// replacedOwnerSlack is how long a replaced owner may still call a worker
	// that this owner cannot reach.
	replacedOwnerSlack = 2 * time.Second
	// unlistedGrace is how long a worker that still answers is used after its
	// entry has lapsed: a store that was away may have dropped it.
	unlistedGrace = 3 * time.Second
)

// inContact reports whether a worker has answered this owner lately.
func (c *Cell) inContact(now time.Time, w *worker) bool {
	return w.reported && now.Sub(w.lastReport) <= c.config.ContactTimeout
}

// usable reports whether a worker may get new starts.
func (c *Cell) usable(now time.Time, w *worker) bool {
	listed := w.listed || now.Sub(w.unlistedAt) < unlistedGrace
	if !listed || w.registration.Leaving || !c.inContact(now, w) {
		return false
	}
	return w.cordonedBy == nil && !w.health.quarantined(now) && !c.mayGoDown(w.registration.Machine)
}

// removeGoneWorkers drops the workers that have left the list and run nothing.
func (c *Cell) removeGoneWorkers(now time.Time) {
	c.sortedWorkers = slices.DeleteFunc(c.sortedWorkers, func(w *worker) bool {
		gone := !w.listed && w.runs.len() == 0 && !c.earlyStarts.unsettled[w.id] && now.Sub(w.lastReport) > c.config.MaxLease
		if gone {
			delete(c.workers, w.id)
		}
		return gone
	})
}

// drainWorker stops the tasks on a leaving worker that lose nothing by a move.
func (c *Cell) drainWorker(now time.Time, w *worker) {
	for _, r := range w.runs.all() {
		step := r.task.step.spec
		if step.LongRunning || step.Checkpoints && !step.Gang {
			c.stop(now, r)
		}
	}
}
