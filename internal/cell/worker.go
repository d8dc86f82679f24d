package cell

import (
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// worker is the state of one worker.
type worker struct {
	id           WorkerID
	registration Registration
	// listed is set while the worker is in the list of workers.
	listed     bool
	unlistedAt time.Time
	// registeredAt is when this owner first saw the registration.
	registeredAt time.Time
	// maintenanceBefore is set if the maintenance of the machine had been ordered by
	// registeredAt.
	maintenanceBefore bool
	// renewedAfter is the latest time known after which the registered incarnation has
	// renewed its entry, so that it existed then; zero if none is known.
	renewedAfter time.Time
	// laterOnMachine is set while a worker that follows this one is known on the
	// machine.
	laterOnMachine bool
	// maintenanceBeforeLater is set if the maintenance of the machine had been ordered
	// before the later worker was registered. A later order ends the later worker.
	maintenanceBeforeLater bool
	// incarnation is the latest incarnation that the worker reported to this
	// owner.
	incarnation Incarnation
	// reported is set once the worker has answered this owner.
	reported   bool
	lastReport time.Time
	// failedHolds counts the hold calls without an answer since the last report. The
	// worker may have listed ends in answers that were lost.
	failedHolds int
	// expired is set once the lease was found to have expired, until the worker answers.
	expired bool
	// clock is the worker's clock as of clockAt.
	clock   time.Duration
	clockAt time.Time
	// clockAge is how old, at most, the reading of the clock was then.
	clockAge time.Duration
	// deadline is the latest lease deadline that was sent to the worker.
	deadline time.Duration
	// lateDeadline is the lease that a late call to an earlier incarnation may have
	// granted to this one; 0 if there was none.
	lateDeadline time.Duration

	runs     runSet
	reserved job.Size
	// preempted is the part of the reserved capacity held by runs that are
	// being preempted.
	preempted job.Size
	// preemptible is the part held by runs that can be preempted, as found in the round of
	// placement preemptibleIn; 0 if it is not known.
	preemptible   job.Size
	preemptibleIn uint64
	// isolated is the run of a suspect for which the worker gets no other
	// starts; nil if there is none.
	isolated *run
	// machineCrashedAt is when a worker on the same machine was last found to
	// have crashed.
	machineCrashedAt time.Time
	// preemptions holds what these runs are preempted for.
	preemptions []preemption
	// unknownReserved is the capacity held by the unknown runs of known jobs.
	// Unknown runs are those that the worker reports and that this owner does
	// not track.
	unknownReserved job.Size
	// unsizedRuns counts the unknown runs whose job this owner does not know.
	// Their size is unknown, so they are assumed to occupy the whole worker,
	// whatever its capacity is at the time.
	unsizedRuns int
	// unknownUse has what the unknown runs of known jobs hold of their accounts, and
	// unsizedTasks the tasks of unsizedRuns.
	unknownUse   unknownUse
	unsizedTasks []workload.TaskID
	// unknownRuns holds the unknown runs that the last report listed and that a
	// successor may have started.
	unknownRuns map[workload.TaskID]unknownRun
	// earlyStartsUntil is when, on the worker's clock, the last early start of a
	// predecessor has expired.
	earlyStartsUntil time.Duration
	// endsSeen is the number of the last end that was handled.
	endsSeen int64
	// pendingEnds holds the ends that may not be acknowledged yet, in order of
	// number.
	pendingEnds []pendingEnd

	// incarnationUnsure is set after a call without an answer: the worker may
	// have begun a new incarnation, whose clock and count of ends start again.
	incarnationUnsure bool
	// startOverdue is set while the worker has not answered a start in time, nor any
	// call since.
	startOverdue bool
	// cordonedBy is the maintenance wave for which the worker's machine goes
	// down, so that the worker gets no starts; nil if there is none.
	cordonedBy *waveState
	// pacedAt is when the pace of best-effort tasks was last changed.
	pacedAt time.Time
	// pacesRepeated is set once the paces have been sent again after a takeover.
	pacesRepeated bool

	health health
	// window is the time over which interference is observed.
	window observationWindow

	// allowedSteps holds the open steps that are allowed on the worker.
	allowedSteps stepList
	// startFailedAt is when the last start had no answer or could not be sent; zero if
	// the worker answered the last one.
	startFailedAt time.Time
	// offerPending is set while the worker's free capacity waits to be offered.
	offerPending bool
	// usableAtTick is set if the worker was usable at the last tick or offer, and
	// has not been silent since.
	usableAtTick bool
}

// clockNow estimates the worker's clock from its last report.
func (w *worker) clockNow(now time.Time) time.Duration {
	return w.clock + now.Sub(w.clockAt)
}

// freeCapacity returns the capacity that further runs may take. A worker that is
// kept for a suspect has none.
func (w *worker) freeCapacity() job.Size {
	if w.isolated != nil {
		return job.Size{}
	}
	return w.unreserved()
}

// unreserved returns the capacity that no run holds. It is negative if the
// capacity has shrunk below what runs hold.
func (w *worker) unreserved() job.Size {
	free := w.registration.Capacity.Sub(w.reserved).Sub(w.unknownReserved)
	if w.unsizedRuns > 0 {
		free = free.Sub(w.registration.Capacity)
	}
	return free
}

// addWorker adds a worker to the cell.
func (c *Cell) addWorker(id WorkerID) *worker {
	w := &worker{id: id, runs: newRunSet(), unknownRuns: make(map[workload.TaskID]unknownRun)}
	c.workers[id] = w
	at, _ := findWorker(c.sortedWorkers, id)
	c.sortedWorkers = slices.Insert(c.sortedWorkers, at, w)
	return w
}

// Register adds or updates a worker from its entry in the list of workers.
func (c *Cell) Register(now time.Time, r Registration) {
	w, known := c.workers[r.ID]
	if !known {
		w = c.addWorker(r.ID)
		c.markAwaitingIsolation()
		c.log.Info("worker registered", workerField(w), zap.Stringer("Addr", r.Addr), zap.String("Service", r.Service),
			zap.String("Machine", r.Machine), zap.Int64("Incarnation", int64(r.Incarnation)))
	}
	if known && r.Incarnation != w.registration.Incarnation {
		c.log.Info("worker registered a new incarnation", workerField(w), zap.Strings("Labels", r.Labels), zap.String("Service", r.Service),
			zap.Int64("Incarnation", int64(r.Incarnation)), zap.Int64("Reported", int64(w.incarnation)))
	}
	if known && r.Leaving && !w.registration.Leaving {
		c.log.Info("worker is leaving", workerField(w), zap.Duration("TimeLeft", r.TimeLeft))
		for _, run := range w.runs.list {
			c.recordChanged(run.task.step.job) // no crash if it is gone later
		}
		defer c.drainWorker(now, w)
	}
	if was := w.registration.Capacity; !was.IsZero() && r.Capacity != was {
		c.logCapacityChange(w, r.Capacity)
	}
	w.noteRenewal(r)
	c.setRegistration(w, r)
	if w.registeredAt.IsZero() {
		w.registeredAt, w.maintenanceBefore = now, c.maintenanceOrdered(r.Machine)
	}
	w.listed = true
	c.noteLaterWorkers(r.Machine)
	c.capacityFreed(w)
	c.resolveLostRuns(now, w, sighting{
		incarnation: r.Incarnation, answered: w.reported && w.registered(), notCrashed: r.Leaving, renewedAfter: w.renewedAfter,
	})
}

// Addr returns the address at which a worker takes calls.
func (c *Cell) Addr(id WorkerID) (netip.AddrPort, bool) {
	w, known := c.workers[id]
	if !known || !w.registration.Addr.IsValid() {
		return netip.AddrPort{}, false
	}
	return w.registration.Addr, true
}

// TakeNewAddrs returns the workers whose address has become known or has changed since
// the last call.
func (c *Cell) TakeNewAddrs() []WorkerID {
	out := c.newAddrs
	c.newAddrs = nil
	return out
}

// Unlist records that a worker has left the list of workers. Its runs keep
// their lease, since the worker may still be running them.
func (c *Cell) Unlist(now time.Time, id WorkerID) {
	w, known := c.workers[id]
	if !known || !w.listed {
		return
	}
	w.listed = false
	w.unlistedAt = now
	c.log.Info("worker is no longer registered", workerField(w), zap.Int("Runs", w.runs.len()))
}

// RejectEntry records that a worker's entry in the list of workers is malformed.
// The worker gets no starts until a valid entry follows, since its capacity is
// unknown. Its runs keep their lease.
func (c *Cell) RejectEntry(now time.Time, id WorkerID) {
	c.Unlist(now, id)
	if w, known := c.workers[id]; known {
		w.unlistedAt = time.Time{} // no unlistedGrace
	}
}

// removeGoneWorkers removes the workers that have left the list and run
// nothing.
func (c *Cell) removeGoneWorkers(now time.Time) {
	c.sortedWorkers = slices.DeleteFunc(c.sortedWorkers, func(w *worker) bool {
		gone := !w.listed && w.runs.len() == 0 && !c.earlyStarts.awaited[w.id] && now.Sub(w.lastReport) > c.config.MaxLease
		if gone {
			c.removeFromMachine(w)
			c.forgetUnknownUse(w)
			delete(c.workers, w.id)
		}
		return gone
	})
}

// drainWorker stops the runs on a leaving worker that lose little when they are
// rescheduled.
func (c *Cell) drainWorker(now time.Time, w *worker) {
	for _, r := range w.runs.all() {
		step := r.task.step.spec
		if step.LongRunning || step.Checkpoints && !step.Gang {
			c.stop(now, r)
		}
	}
}
