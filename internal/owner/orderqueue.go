package owner

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/cell"
)

const (
	// minOrdersPerWorker and maxOrdersPerWorker bound the limit of orders in flight to
	// one worker that answers. A silent worker gets one at a time.
	minOrdersPerWorker = 2
	maxOrdersPerWorker = 16
	// maxOrdersToSilent limits the orders in flight to silent workers.
	maxOrdersToSilent = 16
	// maxOverdueOrders limits the orders in flight that are overdue and do not count
	// against the limit for workers that answer.
	maxOverdueOrders = 64
)

// order is a stop or a change of pace.
type order struct {
	kind   callKind
	worker cell.WorkerID
	queued time.Time
	// sent is when the order was sent, by the call clock.
	sent time.Duration
	// overdue is set while the order counts as overdue.
	overdue bool
	call    func(ctx context.Context) error
}

// workerQueue holds the orders to one worker, which are sent in order.
type workerQueue struct {
	waiting  []*order
	inFlight []*order
	// limit limits the orders in flight. It rises with each answer.
	limit int
	// silent is set while the worker has not answered its last order or hold call.
	silent bool
	// inTurns is set while the queue is in the turns of its group.
	inTurns bool
}

// ready reports whether the next order may be sent as far as its worker is concerned.
func (l *workerQueue) ready() bool {
	return len(l.waiting) > 0 && len(l.inFlight) < l.limit
}

// orderGroup holds the orders to the workers that answer, or to those that are silent.
type orderGroup struct {
	// turns holds the queues that are ready, in the order of their turns.
	turns   []*workerQueue
	waiting int
	// inFlight does not count overdue orders.
	inFlight int
}

// orderQueue limits the orders in flight, that is stops and changes of pace, and queues
// the others by worker. Starts are queued in the cell. The workers take turns, and
// orders to silent workers have a limit of their own, since each of them may be in
// flight for the whole timeout.
type orderQueue struct {
	metrics *ownerMetrics

	mu sync.Mutex
	// queues holds the queues of silent workers, and those with orders.
	queues    map[cell.WorkerID]*workerQueue
	answering orderGroup
	silent    orderGroup
	// overdue counts the overdue orders of workers that are not silent yet.
	overdue int
	// limiter limits the orders in flight to workers that answer.
	limiter limiter
	// peak is the largest number of orders in flight to workers that answer since the
	// last tick, and answers the number of answers.
	peak, answers int
	// longest is the longest wait since stats was last called.
	longest time.Duration
}

func newOrderQueue(metrics *ownerMetrics) *orderQueue {
	return &orderQueue{metrics: metrics, queues: make(map[cell.WorkerID]*workerQueue), limiter: newOrderLimiter()}
}

// group returns the group of a queue.
func (q *orderQueue) group(l *workerQueue) *orderGroup {
	if l.silent {
		return &q.silent
	}
	return &q.answering
}

// queueOf returns the queue of a worker, which may be new.
func (q *orderQueue) queueOf(id cell.WorkerID) *workerQueue {
	l, ok := q.queues[id]
	if !ok {
		l = &workerQueue{limit: minOrdersPerWorker}
		q.queues[id] = l
	}
	return l
}

// enterTurns gives a queue its turn if it has become ready.
func (q *orderQueue) enterTurns(l *workerQueue) {
	g := q.group(l)
	if l.ready() && !l.inTurns {
		l.inTurns = true
		g.turns = append(g.turns, l)
	}
}

// dropIdle removes the queue of a worker that answers and has no orders.
func (q *orderQueue) dropIdle(id cell.WorkerID, l *workerQueue) {
	if !l.silent && len(l.waiting) == 0 && len(l.inFlight) == 0 {
		delete(q.queues, id)
	}
}

// add queues an order.
func (q *orderQueue) add(n *order) {
	q.mu.Lock()
	defer q.mu.Unlock()
	l := q.queueOf(n.worker)
	l.waiting = append(l.waiting, n)
	q.group(l).waiting++
	q.enterTurns(l)
}

// next removes and returns an order that may be sent, or returns nil.
func (q *orderQueue) next(now time.Time, elapsed time.Duration) *order {
	q.mu.Lock()
	defer q.mu.Unlock()
	g := &q.answering
	if len(g.turns) == 0 || g.inFlight >= q.limiter.limit {
		g = &q.silent
		if len(g.turns) == 0 || g.inFlight >= maxOrdersToSilent {
			return nil
		}
	}
	l := g.turns[0]
	g.turns[0] = nil
	g.turns = g.turns[1:]
	l.inTurns = false
	n := l.waiting[0]
	l.waiting[0] = nil
	l.waiting = l.waiting[1:]
	n.sent = elapsed
	l.inFlight = append(l.inFlight, n)
	g.waiting--
	g.inFlight++
	q.peak = max(q.peak, q.answering.inFlight)
	q.enterTurns(l)
	waited := now.Sub(n.queued)
	q.longest = max(q.longest, waited)
	q.metrics.observeOrderWait(n.kind, waited)
	return n
}

// done records that the call of an order has returned.
func (q *orderQueue) done(n *order) {
	q.mu.Lock()
	defer q.mu.Unlock()
	l := q.queues[n.worker]
	l.inFlight = slices.DeleteFunc(l.inFlight, func(other *order) bool { return other == n })
	q.noteOverdue(l, n, false)
	q.group(l).inFlight--
	q.enterTurns(l)
	q.dropIdle(n.worker, l)
}

// answered records that a worker has answered an order.
func (q *orderQueue) answered(id cell.WorkerID) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.answers++
	l := q.queues[id]
	q.regroup(id, l, false)
	l.limit = min(l.limit+1, maxOrdersPerWorker)
	q.enterTurns(l)
}

// setSilent records whether a worker has answered its last order or hold call.
func (q *orderQueue) setSilent(id cell.WorkerID, silent bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, known := q.queues[id]; known || silent {
		q.regroup(id, q.queueOf(id), silent)
	}
}

// regroup moves a queue to the group of workers that are silent, or that answer.
func (q *orderQueue) regroup(id cell.WorkerID, l *workerQueue, silent bool) {
	if l.silent == silent {
		return
	}
	l.limit = 1
	if !silent {
		l.limit = minOrdersPerWorker
	}
	for _, n := range l.inFlight {
		q.noteOverdue(l, n, false)
	}
	from := q.group(l)
	l.silent = silent
	to := q.group(l)
	if l.inTurns {
		l.inTurns = false
		from.turns = slices.DeleteFunc(from.turns, func(other *workerQueue) bool { return other == l })
	}
	from.waiting -= len(l.waiting)
	from.inFlight -= len(l.inFlight)
	to.waiting += len(l.waiting)
	to.inFlight += len(l.inFlight)
	q.enterTurns(l)
	q.dropIdle(id, l)
}

// noteOverdue records whether an order in flight is overdue.
func (q *orderQueue) noteOverdue(l *workerQueue, n *order, overdue bool) {
	if n.overdue == overdue {
		return
	}
	n.overdue = overdue
	change := 1
	if !overdue {
		change = -1
	}
	q.overdue += change
	q.group(l).inFlight -= change
}

// tick adapts the limit to the load of this host and notes which orders are overdue.
func (q *orderQueue) tick(load hostLoad, elapsed time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limiter.observe(load, q.peak, q.answers)
	q.peak, q.answers = q.answering.inFlight, 0
	for _, l := range q.queues {
		if l.silent {
			continue
		}
		for _, n := range l.inFlight {
			if elapsed-n.sent >= answerOverdue && q.overdue < maxOverdueOrders {
				q.noteOverdue(l, n, true)
			}
		}
	}
}

// retain takes silent workers that are not known any longer to answer, so that their
// queues do not remain.
func (q *orderQueue) retain(known func(id cell.WorkerID) bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for id, l := range q.queues {
		if l.silent && !known(id) {
			q.regroup(id, l, false)
		}
	}
}

// stats returns the number of orders that wait, and the longest wait since stats was
// last called.
func (q *orderQueue) stats() (waiting int, longest time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	longest, q.longest = q.longest, 0
	return q.answering.waiting + q.silent.waiting, longest
}

// groupStats tells how many orders to a group of workers wait, are in flight and are
// overdue, and for how long the oldest has waited.
type groupStats struct {
	waiting  int
	inFlight int
	overdue  int
	oldest   time.Duration
}

// groups returns the orders to workers that answer, and to those that are silent.
func (q *orderQueue) groups(now time.Time) (answering, silent groupStats) {
	q.mu.Lock()
	defer q.mu.Unlock()
	answering = groupStats{waiting: q.answering.waiting, inFlight: q.answering.inFlight, overdue: q.overdue}
	silent = groupStats{waiting: q.silent.waiting, inFlight: q.silent.inFlight}
	for _, l := range q.queues {
		if len(l.waiting) == 0 {
			continue
		}
		g := &answering
		if l.silent {
			g = &silent
		}
		g.oldest = max(g.oldest, now.Sub(l.waiting[0].queued))
	}
	return answering, silent
}

func (g *groupStats) fields() []zap.Field {
	return []zap.Field{
		zap.Int("OrdersWaiting", g.waiting), zap.Int("OrdersOut", g.inFlight), zap.Int("Overdue", g.overdue),
		zap.Duration("OldestOrder", g.oldest),
	}
}
