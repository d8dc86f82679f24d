package owner

import (
	"slices"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/cell"
)

const (
	// newWorkerLatency is the lowest latency that is assumed of a worker without a lower
	// one, if starts to some worker are that fast. It covers a new connection to another
	// region.
	newWorkerLatency = 100 * time.Millisecond
	// minLatencySamples is the smallest number of answers, or of starts without one,
	// that count.
	minLatencySamples = 4
	// silentTicks is the number of ticks without an answer after which starts without
	// one wait for this host.
	silentTicks = 4
)

// latencyTracker compares the latencies of starts with the lowest one of their worker.
// What most of them take longer, they have waited for this host and not for their
// workers, however far away these are.
type latencyTracker struct {
	lowest map[cell.WorkerID]time.Duration
	// floor is the lowest latency of all workers, or 0.
	floor time.Duration
	// excess holds the excess latencies of the answered starts since they were last
	// enough, and answers is the number of answers since the last tick. unanswered is
	// the number of starts without an answer since the last answer, and silent that of
	// the ticks.
	excess     []time.Duration
	answers    int
	unanswered int
	silent     int
}

func newLatencyTracker() latencyTracker {
	return latencyTracker{lowest: make(map[cell.WorkerID]time.Duration)}
}

// note adds the latency of a start.
func (t *latencyTracker) note(id cell.WorkerID, latency time.Duration, answered bool) {
	if !answered {
		t.unanswered++
		return
	}
	t.answers++
	t.unanswered, t.silent = 0, 0
	if t.floor == 0 || latency < t.floor {
		t.floor = latency
	}
	lowest := max(newWorkerLatency, t.floor)
	if known, ok := t.lowest[id]; ok {
		lowest = known
	}
	t.excess = append(t.excess, max(latency-lowest, 0))
	t.lowest[id] = min(lowest, latency)
}

// take returns the median excess latency and the number of answers since the last call.
// Too few answers show no overload. Starts without an answer count only if there has been
// no answer at all for a while: then their workers are not the cause.
func (t *latencyTracker) take() (excess time.Duration, answers int) {
	answers, t.answers = t.answers, 0
	t.silent++
	if t.unanswered >= minLatencySamples && t.silent > silentTicks {
		t.unanswered = 0
		t.excess = t.excess[:0]
		return orderTimeout, answers
	}
	if len(t.excess) == 0 {
		return 0, answers
	}
	slices.Sort(t.excess)
	excess = t.excess[len(t.excess)/2]
	if len(t.excess) < minLatencySamples {
		return min(excess, overloadExcess-1), answers
	}
	t.excess = t.excess[:0]
	return excess, answers
}

// reset forgets the lowest latencies, since the workers themselves have become slower.
func (t *latencyTracker) reset() {
	clear(t.lowest)
	t.floor = 0
}

// retain forgets the workers that are not known any longer.
func (t *latencyTracker) retain(known func(id cell.WorkerID) bool) {
	for id := range t.lowest {
		if !known(id) {
			delete(t.lowest, id)
		}
	}
}
