package owner

import (
	"context"
	"sync"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

const (
	// orderTimeout is the timeout of a start, a stop or a change of pace.
	orderTimeout = 350 * time.Millisecond
	// maxOrdersInFlight limits the stops and changes of pace without a response.
	// Further calls would wait for this host's processor and appear to be sent to
	// workers that do not respond.
	maxOrdersInFlight = 32
)

// runKey identifies a run on a worker.
type runKey struct {
	worker cell.WorkerID
	task   workload.TaskID
	run    int
}

// orderQueue limits the orders in flight, that is stops and changes of pace, and
// counts those that wait. Starts are queued in the cell.
type orderQueue struct {
	metrics *ownerMetrics
	// slots holds an element for each order in flight.
	slots chan struct{}

	mu      sync.Mutex
	waiting int
	// longest is the longest wait since stats was last called.
	longest time.Duration
}

func newOrderQueue(metrics *ownerMetrics) *orderQueue {
	return &orderQueue{metrics: metrics, slots: make(chan struct{}, maxOrdersInFlight)}
}

// enqueued records that an order begins to wait.
func (q *orderQueue) enqueued() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting++
}

// dequeued records that an order is sent after a wait.
func (q *orderQueue) dequeued(kind callKind, waited time.Duration) {
	q.metrics.observeOrderWait(kind, waited)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting--
	q.longest = max(q.longest, waited)
}

// stats returns the number of orders that wait, and the longest wait since stats was
// last called.
func (q *orderQueue) stats() (waiting int, longest time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	longest, q.longest = q.longest, 0
	return q.waiting, longest
}

// limitStarts tells the cell how many more starts may be sent now.
func (o *Owner) limitStarts() { o.cell.LimitStarts(o.startLimiter.limit - o.startsInFlight) }

// order makes a call to a worker in a goroutine of its own, once there is a slot.
func (o *Owner) order(kind callKind, call func(ctx context.Context)) {
	queued := o.timers.Now()
	o.orders.enqueued()
	o.calls.Go(func() {
		select {
		case o.orders.slots <- struct{}{}:
		case <-o.ctx.Done():
			return
		}
		defer func() { <-o.orders.slots }()
		o.orders.dequeued(kind, o.timers.Now().Sub(queued))
		ctx, end := o.beginCall(kind, orderTimeout)
		defer end()
		call(ctx)
	})
}
