package intake

import (
	"sync"
	"time"
)

const (
	// unavailableAfter is how long a call may be pending before the store
	// counts as unavailable. A store that answers 60 times slower than usual
	// stays below this.
	unavailableAfter = 1200 * time.Millisecond
	// failureLimit is the number of calls in a row that the store has to reject, or
	// whose connection has to break, before it counts as unavailable.
	failureLimit = 3
	// trialInterval is the minimum interval between two requests that are sent,
	// as trials, to a store that rejects calls or breaks connections.
	trialInterval = 300 * time.Millisecond
	// brokenWithin is how soon after the start of a call its connection has to break
	// for the call to be worth repeating at once. Later the store counts as silent.
	brokenWithin = 500 * time.Millisecond
	// minSilence is how long a call has to be without an answer to count against the store
	// although its client gives up. It is shorter than the time after which a host also
	// asks the owner to make a write, so that a call which ends because the owner was
	// faster counts.
	minSilence = 300 * time.Millisecond
	// latencyDecay is the part of the recent latency that is lost with each faster
	// answer.
	latencyDecay = 4
	// latencyMemory is how long after the last answer the recent latency is known. A host
	// with few requests would otherwise judge a store by an outage of long ago.
	latencyMemory = 5 * time.Second
)

// storeHealth tracks whether the store answers the calls of this host, so that a
// client's request that needs the store is refused at once when it does not.
type storeHealth struct {
	mu   sync.Mutex
	next int
	// open maps each pending call to the time at which it began. Calls are numbered in
	// the order in which they began.
	open map[int]time.Time
	// answeredCall is the latest call that was answered. Earlier calls without an answer
	// tell nothing of the store's present state.
	answeredCall int
	// latency is how long calls have recently taken that were answered: the longest one,
	// which decays with each answer. latencyAt is when the last one was answered.
	latency   time.Duration
	latencyAt time.Time
	// unanswered is set when a call ended with noAnswer. failures counts the calls
	// that were rejected or broken since the last call that ended with answered,
	// which resets both.
	unanswered  bool
	failures    int
	lastTrialAt time.Time
}

func newStoreHealth() *storeHealth { return &storeHealth{open: make(map[int]time.Time)} }

// begin records the start of a call and returns its number.
func (h *storeHealth) begin(now time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.next++
	h.open[h.next] = now
	return h.next
}

// outcome is how a call to the store ended.
type outcome uint8

const (
	answered outcome = iota
	// rejected calls were certainly not carried out.
	rejected
	// broken calls lost their connection soon after they began. They may have been
	// carried out.
	broken
	// noAnswer calls had no answer for longer. They may have been carried out.
	noAnswer
	// abandoned calls ended soon because their client gave up. They say nothing about the
	// store, and may have been carried out if they were sent.
	abandoned
)

func (h *storeHealth) end(now time.Time, call int, o outcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	took := now.Sub(h.open[call])
	delete(h.open, call)
	switch o {
	case answered:
		before := h.latencySeenBy(now)
		h.latency, h.latencyAt = max(took, before-before/latencyDecay), now
		h.answeredCall = max(h.answeredCall, call)
		h.unanswered, h.failures = false, 0
	case rejected, broken:
		h.failures++
	case noAnswer:
		h.unanswered = h.unanswered || call > h.answeredCall
	case abandoned:
	}
}

// recentLatency returns how long answered calls have recently taken, or 0 if none was
// answered recently.
func (h *storeHealth) recentLatency(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.latencySeenBy(now)
}

// latencySeenBy returns the latency that still counts at a time. The caller holds the lock.
func (h *storeHealth) latencySeenBy(now time.Time) time.Duration {
	if now.Sub(h.latencyAt) > latencyMemory {
		return 0
	}
	return h.latency
}

// unavailable reports whether no request should be sent to the store, since it
// rejects calls, breaks connections, a call is overdue, or a call has ended without an
// answer. If calls only fail soon, unavailable returns false once per trialInterval, so
// that one request, which is repeated while its outcome is unknown, finds out whether
// the store has recovered. While calls get no answer no request is sent as a trial,
// since it would wait in vain and its outcome would be unknown.
func (h *storeHealth) unavailable(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	silent := h.silent(now)
	if silent || h.failures < failureLimit {
		return silent
	}
	if now.Sub(h.lastTrialAt) >= trialInterval {
		h.lastTrialAt = now
		return false
	}
	return true
}

// failing reports whether the store should be probed: unavailable returns true, or would if
// there were no trials.
func (h *storeHealth) failing(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failures >= failureLimit || h.silent(now)
}

// silent reports whether a call is overdue or has ended without an answer. The caller holds
// the lock.
func (h *storeHealth) silent(now time.Time) bool {
	if h.unanswered {
		return true
	}
	for call, since := range h.open {
		if call > h.answeredCall && now.Sub(since) > unavailableAfter {
			return true
		}
	}
	return false
}
