package owner

import (
	"context"
	"sync"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

const (
	// orderTimeout bounds a start, a stop or a change of pace.
	orderTimeout = 350 * time.Millisecond
	// maxStartsInFlight bounds the starts that are on their way, and ordersAtOnce the
	// stops and changes of pace. More of them would wait for this host's
	// processor, and look like workers that do not answer.
	maxStartsInFlight = 64
	maxOrdersInFlight = 32
)

// The kinds of these calls, as the metrics name them.
const (
	orderStop = "stop"
	orderPace = "pace"
)

// runKey names a run at a worker.
type runKey struct {
	worker cell.WorkerID
	task   workload.TaskID
	run    int
}

// orderQueue is the line of stops and changes of pace. Some are on their way, the
// others wait. Starts wait in the cell.
type orderQueue struct {
	metrics *ownerMetrics
	// slots has a place for each call on its way.
	slots chan struct{}

	mu      sync.Mutex
	waiting int
	// longest is the longest wait since it was last shown.
	longest time.Duration
}

func newOrderQueue(metrics *ownerMetrics) *orderQueue {
	return &orderQueue{metrics: metrics, slots: make(chan struct{}, maxOrdersInFlight)}
}

// enqueued notes that a call waits.
func (q *orderQueue) enqueued() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting++
}

// dequeued notes that a call waits no more.
func (q *orderQueue) dequeued(kind string, waited time.Duration) {
	q.metrics.observeOrderWait(kind, waited)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting--
	q.longest = max(q.longest, waited)
}

// stats returns how many calls wait and the longest wait since the last call.
func (q *orderQueue) stats() (waiting int, longest time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	longest, q.longest = q.longest, 0
	return q.waiting, longest
}

// limitStarts tells the cell how many starts may be sent now.
func (o *Owner) limitStarts() { o.cell.LimitStarts(maxStartsInFlight - o.startsInFlight) }

// order makes a call to a worker beside the duty, when its turn has come.
func (o *Owner) order(kind string, call func(ctx context.Context)) {
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
		ctx, cancel := context.WithTimeout(o.ctx, orderTimeout)
		defer cancel()
		call(ctx)
	})
}
