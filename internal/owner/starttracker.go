package owner

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/cell"
)

const (
	// maxOverdueStarts limits the overdue starts that do not count against the limit of
	// starts in flight.
	maxOverdueStarts = 256
	// maxSlowTicks is the number of ticks for which starts are slow at the lowest limit,
	// until their workers are taken to be the cause and not this host.
	maxSlowTicks = 5
)

// sentStart is a start that has been sent.
type sentStart struct {
	worker cell.WorkerID
	// sent is when it was sent, by the call clock.
	sent     time.Duration
	overdue  bool
	returned bool
}

// startTracker counts the starts without a response. Overdue ones are counted apart, so
// that workers that do not answer do not hold the places of starts to others. Only the
// event loop uses it.
type startTracker struct {
	inFlight int
	overdue  int
	// peak is the largest number of starts that counted against the limit since the
	// last tick.
	peak    int
	latency latencyTracker
	// load is the load of this host at the last tick, and slowTicks the number of ticks
	// for which starts have been slow at the lowest limit.
	load      hostLoad
	slowTicks int
	runs      map[runKey]*sentStart
	// queue holds the starts that are not overdue, and some that have returned, in
	// the order in which they were sent.
	queue []*sentStart
}

func newStartTracker() startTracker {
	return startTracker{runs: make(map[runKey]*sentStart), latency: newLatencyTracker()}
}

// sent records that a start is sent.
func (t *startTracker) sent(key runKey, elapsed time.Duration) {
	s := &sentStart{worker: key.worker, sent: elapsed}
	t.runs[key] = s
	t.queue = append(t.queue, s)
	t.inFlight++
	t.peak = max(t.peak, t.counted())
}

// tick takes the delay of a tick, adapts the limit of starts in flight, and returns the
// load of this host.
func (t *startTracker) tick(delay time.Duration, l *limiter) hostLoad {
	excess, answers := t.latency.take()
	t.load = loadOf(delay, excess)
	l.observe(t.load, t.peak, answers)
	t.peak = t.counted()
	if excess < overloadExcess || l.limit > l.lowest {
		t.slowTicks = 0
		return t.load
	}
	if t.slowTicks++; t.slowTicks >= maxSlowTicks {
		t.slowTicks = 0
		t.latency.reset()
	}
	return t.load
}

// returned records that the call of a start has returned after a latency, or unsent.
func (t *startTracker) returned(key runKey, end startEnd) {
	s := t.runs[key]
	delete(t.runs, key)
	s.returned = true
	t.inFlight--
	if s.overdue {
		t.overdue--
	}
	if !end.unsent {
		t.latency.note(key.worker, end.latency, end.answered)
	}
}

// startEnd tells how the call of a start has ended.
type startEnd struct {
	unsent   bool
	answered bool
	latency  time.Duration
}

// findOverdue counts the starts that have become overdue apart, and returns their
// workers.
func (t *startTracker) findOverdue(elapsed time.Duration) []cell.WorkerID {
	var workers []cell.WorkerID
	for len(t.queue) > 0 && (t.queue[0].returned || elapsed-t.queue[0].sent >= answerOverdue) {
		s := t.queue[0]
		t.queue[0] = nil
		t.queue = t.queue[1:]
		if !s.returned {
			s.overdue = true
			t.overdue++
			workers = append(workers, s.worker)
		}
	}
	return workers
}

// counted returns the number of starts that count against the limit. Overdue starts may
// wait for this host, unless it is idle, and not for workers that do not answer.
func (t *startTracker) counted() int {
	if t.load != hostIdle {
		return t.inFlight
	}
	return t.inFlight - min(t.overdue, maxOverdueStarts)
}
