package owner

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/cell"
)

// maxOverdueStarts limits the overdue starts that do not count against the limit of
// starts in flight.
const maxOverdueStarts = 256

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
	runs     map[runKey]*sentStart
	// queue holds the starts that are not overdue, and some that have returned, in
	// the order in which they were sent.
	queue []*sentStart
}

func newStartTracker() startTracker { return startTracker{runs: make(map[runKey]*sentStart)} }

// sent records that a start is sent.
func (t *startTracker) sent(key runKey, elapsed time.Duration) {
	s := &sentStart{worker: key.worker, sent: elapsed}
	t.runs[key] = s
	t.queue = append(t.queue, s)
	t.inFlight++
}

// returned records that the call of a start has returned.
func (t *startTracker) returned(key runKey) {
	s := t.runs[key]
	delete(t.runs, key)
	s.returned = true
	t.inFlight--
	if s.overdue {
		t.overdue--
	}
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

// counted returns the number of starts that count against the limit.
func (t *startTracker) counted() int { return t.inFlight - min(t.overdue, maxOverdueStarts) }
