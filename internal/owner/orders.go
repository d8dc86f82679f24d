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
	// startsAtOnce bounds the starts that are on their way, and ordersAtOnce the
	// stops and changes of pace. More of them would wait for this host's
	// processor, and look like workers that do not answer.
	startsAtOnce = 64
	ordersAtOnce = 32
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

// orderLine is the line of stops and changes of pace. Some are on their way, the
// others wait. Starts wait in the cell.
type orderLine struct {
	meters *meters
	// places has a place for each call on its way.
	places chan struct{}

	mu      sync.Mutex
	waiting int
	// longest is the longest wait since it was last shown.
	longest time.Duration
}

func newOrderLine(meters *meters) *orderLine {
	return &orderLine{meters: meters, places: make(chan struct{}, ordersAtOnce)}
}

// joined notes that a call waits.
func (l *orderLine) joined() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting++
}

// left notes that a call waits no more.
func (l *orderLine) left(kind string, waited time.Duration) {
	l.meters.waitedToSend(kind, waited)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting--
	l.longest = max(l.longest, waited)
}

// shown returns how many calls wait and the longest wait since the last call.
func (l *orderLine) shown() (waiting int, longest time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	longest, l.longest = l.longest, 0
	return l.waiting, longest
}

// limitStarts tells the cell how many starts may be sent now.
func (o *Owner) limitStarts() { o.cell.LimitStarts(startsAtOnce - o.startsOut) }

// order makes a call to a worker beside the duty, when its turn has come.
func (o *Owner) order(kind string, call func(ctx context.Context)) {
	begin := o.timers.Now()
	o.orders.joined()
	o.calls.Go(func() {
		select {
		case o.orders.places <- struct{}{}:
		case <-o.ctx.Done():
			return
		}
		defer func() { <-o.orders.places }()
		o.orders.left(kind, o.timers.Now().Sub(begin))
		ctx, cancel := context.WithTimeout(o.ctx, orderTimeout)
		defer cancel()
		call(ctx)
	})
}
