package owner

import (
	"sync"
	"time"
)

// processor is one virtual processor that all work of a host shares. Work is done in
// the order in which it arrives, so everything waits while there is too much of it.
type processor struct {
	mu        sync.Mutex
	busyUntil time.Time
	used      time.Duration
}

// processorCosts holds the processor time of each kind of work of an owner.
type processorCosts struct {
	// start, stop and hold are charged for a call, half of it before the call is
	// sent and half of it for the response.
	start, stop, hold time.Duration
	// event is charged in the event loop for each response and each accepted job.
	event time.Duration
	// commit and row are charged for each transaction and each of its rows.
	commit, row time.Duration
}

// use returns once the work that came before and this work are done. It does not
// return early, as a goroutine without a processor cannot notice a timeout.
func (p *processor) use(cost time.Duration) {
	p.mu.Lock()
	now := time.Now()
	if p.busyUntil.Before(now) {
		p.busyUntil = now
	}
	p.busyUntil = p.busyUntil.Add(cost)
	p.used += cost
	done := p.busyUntil
	p.mu.Unlock()
	time.Sleep(done.Sub(now))
}

// takeUsed returns the processor time used since the last call.
func (p *processor) takeUsed() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	used := p.used
	p.used = 0
	return used
}
