package intake

import (
	"sync"
	"time"
)

const (
	// unavailableAfter is how long a call may be open until the store counts as away.
	// A store that answers 60 times slower than usual is not.
	unavailableAfter = 1200 * time.Millisecond
	// rejectionLimit is how many calls in a row the store has to turn away.
	rejectionLimit = 3
	// probeInterval is the period at which one request tries a store that is
	// away.
	probeInterval = 300 * time.Millisecond
)

// health tells whether the store answers this host, so that a request that
// cannot be served is refused at once.
type health struct {
	mu   sync.Mutex
	next int
	// open has the begin of each call without an answer.
	open map[int]time.Time
	// timedOut is set by a call that timed out, refusals counts those turned
	// away; a success ends both.
	timedOut   bool
	rejections int
	probedAt   time.Time
}

func newHealth() *health { return &health{open: make(map[int]time.Time)} }

// begin notes that a call is made.
func (h *health) begin(now time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.next++
	h.open[h.next] = now
	return h.next
}

// outcome is how a call of the store ended.
type outcome uint8

const (
	answered outcome = iota
	rejected
	noAnswer
)

func (h *health) end(call int, o outcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.open, call)
	switch o {
	case answered:
		h.timedOut, h.rejections = false, 0
	case rejected:
		h.rejections++
	case noAnswer:
		h.timedOut = true
	}
}

// unavailable reports whether the store does not answer this host. While the store
// turns calls unavailable it now and then says no, so that one request finds out
// whether the store is back. A silent store is tried without a request, since
// nobody could say what became of it.
func (h *health) unavailable(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	away := h.timedOut || h.rejections >= rejectionLimit
	for _, since := range h.open {
		away = away || now.Sub(since) > unavailableAfter
	}
	if !away {
		return false
	}
	if now.Sub(h.probedAt) >= probeInterval && !h.timedOut {
		h.probedAt = now
		return false
	}
	return true
}
