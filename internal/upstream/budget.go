package upstream

import (
	"math/rand/v2"
	"time"
)

// RetryBudget limits retries to a share of the requests, as a token bucket does.
// It is not safe for concurrent use.
type RetryBudget struct{ tokens float64 }

// retryBurst is the number of retries that a budget can accumulate.
const retryBurst = 10

// NewRetryBudget returns a full budget, which allows retryBurst retries at once.
func NewRetryBudget() *RetryBudget { return &RetryBudget{tokens: retryBurst} }

// Earn adds the share of a retry that one request allows.
func (b *RetryBudget) Earn(share float64) { b.tokens = min(b.tokens+share, retryBurst) }

// Spend takes one retry from the budget and reports whether one was left.
func (b *RetryBudget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

const (
	firstBackoff = 10 * time.Millisecond
	maxBackoff   = 500 * time.Millisecond
)

// Backoff returns how long to wait before a retry; the first one has number 1.
// The mean grows exponentially up to maxBackoff, and the wait is spread evenly
// between 0.5 and 1.5 times the mean.
func Backoff(retry int, random *rand.Rand) time.Duration {
	mean := min(firstBackoff<<min(retry-1, 10), maxBackoff)
	return mean/2 + time.Duration(random.Int64N(int64(mean)))
}
