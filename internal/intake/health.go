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
	// rejectionLimit is the number of calls that the store has to reject in a
	// row before it counts as unavailable.
	rejectionLimit = 3
	// trialInterval is the minimum interval between two requests that are sent,
	// as trials, to a store that rejects calls.
	trialInterval = 300 * time.Millisecond
)

// storeHealth tracks whether the store answers the calls of this host, so that a
// client's request that needs the store is refused at once when it does not.
type storeHealth struct {
	mu   sync.Mutex
	next int
	// open maps each pending call to the time at which it began.
	open map[int]time.Time
	// unanswered is set when a call ended with noAnswer. rejections counts the
	// calls that were rejected since the last call that ended with answered,
	// which resets both.
	unanswered  bool
	rejections  int
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
	rejected
	noAnswer
)

func (h *storeHealth) end(call int, o outcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.open, call)
	switch o {
	case answered:
		h.unanswered, h.rejections = false, 0
	case rejected:
		h.rejections++
	case noAnswer:
		h.unanswered = true
	}
}

// unavailable reports whether no request should be sent to the store, since it
// rejects calls, a call is overdue, or a call has ended without an answer. If it
// only rejects calls, unavailable returns false once per trialInterval, so that one
// request finds out whether the store has recovered. While calls get no answer no
// request is sent as a trial, since the outcome of the request would be unknown.
func (h *storeHealth) unavailable(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	silent := h.unanswered
	for _, since := range h.open {
		silent = silent || now.Sub(since) > unavailableAfter
	}
	if silent || h.rejections < rejectionLimit {
		return silent
	}
	if now.Sub(h.lastTrialAt) >= trialInterval {
		h.lastTrialAt = now
		return false
	}
	return true
}
