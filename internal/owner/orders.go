package owner

import (
	"context"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

const (
	// orderTimeout is the timeout of a start, a stop or a change of pace.
	orderTimeout = 350 * time.Millisecond
	// answerOverdue is how long a call may take before it is overdue: its worker may
	// be silent, so that it does not count against the limit of other calls.
	answerOverdue = 150 * time.Millisecond
)

// runKey identifies a run on a worker.
type runKey struct {
	worker cell.WorkerID
	task   workload.TaskID
	run    int
}

// limitStarts tells the cell how many more starts may be sent now, and which workers have
// an overdue one. It returns the number.
func (o *Owner) limitStarts() int {
	for _, id := range o.starts.findOverdue(o.callClock.elapsed()) {
		o.cell.StartOverdue(id)
	}
	limit := min(o.startLimiter.limit-o.starts.counted(), maxStartsPerDecision)
	o.cell.LimitStarts(limit)
	return limit
}

// order makes a call to a worker in a goroutine of its own, once the limits of orders
// in flight allow it. The error of the call tells whether the worker has answered.
func (o *Owner) order(kind callKind, to cell.WorkerID, call func(ctx context.Context) error) {
	o.orders.add(&order{kind: kind, worker: to, queued: o.timers.Now(), call: call})
	o.sendOrders()
}

// sendOrders sends the queued orders that may be sent now.
func (o *Owner) sendOrders() {
	for o.ctx.Err() == nil {
		next := o.orders.next(o.timers.Now(), o.callClock.elapsed())
		if next == nil {
			return
		}
		o.calls.Go(func() { o.sendOrder(next) })
	}
}

func (o *Owner) sendOrder(n *order) {
	ctx, end := o.beginCall(n.kind, orderTimeout)
	err := n.call(ctx)
	end()
	switch {
	case err == nil:
		o.orders.answered(n.worker)
	case o.ctx.Err() != nil, fault.Is(err, KindReplaced):
		// The order was not sent, so nothing is known of the worker.
	default:
		o.orders.setSilent(n.worker, true)
	}
	o.orders.done(n)
	o.sendOrders()
}

// setSilent records whether a worker has answered its last hold call.
func (o *Owner) setSilent(id cell.WorkerID, silent bool) {
	o.orders.setSilent(id, silent)
	if !silent {
		o.sendOrders()
	}
}

// tickLimits adapts the limits of calls in flight to the load of this host, and makes
// room for other orders if some are overdue.
func (o *Owner) tickLimits(delay time.Duration) {
	localDelay := o.callClock.localDelay()
	delay = max(delay, localDelay-o.tickedDelay)
	o.tickedDelay = localDelay
	load := o.starts.tick(delay, &o.startLimiter)
	o.orders.tick(load, o.callClock.elapsed())
	o.sendOrders()
}

// forgetWorkers drops what is kept of workers that are not known any longer.
func (o *Owner) forgetWorkers() {
	known := func(id cell.WorkerID) bool {
		_, ok := o.cell.Addr(id)
		return ok
	}
	o.orders.retain(known)
	o.starts.latency.retain(known)
}
