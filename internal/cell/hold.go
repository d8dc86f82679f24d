package cell

import (
	"net/netip"
	"time"
)

// HoldRequest is the content of the next hold call to a worker.
type HoldRequest struct {
	Worker WorkerID
	Addr   netip.AddrPort
	// Incarnation is the process whose clock and numbers of ends the call uses. To
	// another one, it is sent without them; 0 if it has neither, or if it follows a report
	// within restartTime.
	Incarnation Incarnation
	// Deadline is the lease deadline on the worker's clock; with 0 the call
	// only reads the clock.
	Deadline time.Duration
	// Acknowledged is the number of the last end whose effect is durable.
	Acknowledged int64
	// Wait is how long the worker may wait for an end.
	Wait time.Duration
	// EndsPending is set while ends of the last report are not durable yet. A
	// call now would be answered at once with the same ends.
	EndsPending bool
}

// ReadOnly returns a hold call that acknowledges no end and grants no lease, for a
// worker that may have restarted: the numbers of ends and the clock may be those of an
// earlier incarnation.
func (h HoldRequest) ReadOnly() HoldRequest { return HoldRequest{Worker: h.Worker, Addr: h.Addr} }

const (
	// holdWait is how long a hold call waits for an end.
	holdWait = 1 * time.Second
	// sharedHoldWait is the wait at a worker where best-effort tasks run beside
	// tasks with a latency target, whose tail latencies have to be monitored.
	sharedHoldWait = 300 * time.Millisecond
	// unknownRunHoldWait is the wait while a commit decides whether a run is to be
	// stopped, which happens with the next report.
	unknownRunHoldWait = 300 * time.Millisecond
	// leaseReserve divides the lease to give the part that is left for the next renewal
	// when the wait of a hold call is over. A report that was late, since this owner was
	// busy, shortens the lease that it renews, and so the wait.
	leaseReserve = 4
	// restartTime is less than a worker takes to be back after its process has ended. A
	// hold call that follows a report sooner reaches the incarnation that has reported, or
	// none, so that it need not cost a further call over a new connection.
	restartTime = 100 * time.Millisecond
)

// NextHold returns the next hold call to a worker, and false if the worker
// needs no more calls. It grants the lease, so it is called right before the
// call is sent. The lease of a worker that does not answer is not extended;
// otherwise the failing calls would keep its tasks from being placed again.
func (c *Cell) NextHold(now time.Time, id WorkerID) (HoldRequest, bool) {
	w, known := c.workers[id]
	if !known {
		return HoldRequest{}, false
	}
	hold := HoldRequest{Worker: id, Addr: w.registration.Addr, Acknowledged: c.acknowledged(w), Wait: holdWait}
	if w.incarnationUnsure {
		hold.Acknowledged = 0
	}
	// A deadline by the clock of an earlier incarnation could grant a new one the
	// longest lease.
	if !w.reported || w.incarnationUnsure {
		hold.Wait = 0
		return hold, true
	}
	if now.Sub(w.lastReport)+c.delay >= restartTime {
		hold.Incarnation = w.incarnation
	}
	if len(w.pendingEnds) > 0 {
		hold.Wait = 0
		hold.EndsPending = true
	}
	if w.hasMixedLoad() {
		hold.Wait = min(hold.Wait, sharedHoldWait)
	}
	if len(w.unknownRuns) > 0 {
		hold.Wait = min(hold.Wait, unknownRunHoldWait)
	}
	if c.earlyStarts.awaited[id] {
		hold.Wait = min(hold.Wait, max(w.earlyStartsUntil-w.clockNow(now), 0))
	}
	hold.Deadline = w.deadline
	if !c.silent(now, w) && !c.unconfirmed {
		hold.Deadline = w.extendLease(now, c.config.Lease)
		hold.Wait = min(hold.Wait, max(w.leaseLeft(now)-c.config.Lease/leaseReserve, 0))
	}
	return hold, true
}

// HoldFailed records that a hold call was not answered.
func (c *Cell) HoldFailed(id WorkerID) {
	if w, known := c.workers[id]; known {
		w.incarnationUnsure = true
		w.failedHolds++
	}
}

// pendingEnd is an end that may not be acknowledged yet: its effect on a job is
// not durable, or its job is unknown.
type pendingEnd struct {
	number   int64
	job      *jobState
	revision uint64
	// commit is the first commit that begins after the end of an unknown job
	// was reported.
	commit uint64
	// completed is the task that the end of an unknown run completes; nil for all other
	// ends.
	completed *task
	run       int
	// settled is set once that task is settled, as of revision.
	settled bool
}

// acknowledged returns the number of the last end that the worker may forget.
// An owner that was replaced without knowing it makes nothing durable any more,
// so it acknowledges no end that its successor needs.
func (c *Cell) acknowledged(w *worker) int64 {
	for len(w.pendingEnds) > 0 {
		first := &w.pendingEnds[0]
		if t := first.completed; t != nil && !first.settled {
			if !c.settled(t) {
				return first.number - 1
			}
			first.settled, first.revision = true, t.step.job.revision
		}
		if c.commitsDone < first.commit || first.job != nil && first.job.durable < first.revision {
			return first.number - 1
		}
		c.logAcknowledged(w, *first)
		w.pendingEnds = w.pendingEnds[1:]
	}
	return w.endsSeen
}
