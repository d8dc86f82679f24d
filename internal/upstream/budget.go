package upstream

import (
	"math/rand/v2"
	"time"
)

// RetryBudget bounds the retries to a share of the requests. It is not safe for
// concurrent use.
type RetryBudget struct{ tokens float64 }

// retryBurst is how many retries may be saved up.
const retryBurst = 10

// NewRetryBudget returns a budget that allows a few retries at once.
func NewRetryBudget() *RetryBudget { return &RetryBudget{tokens: retryBurst} }

// Earn counts a request, of which the share may be retries.
func (b *RetryBudget) Earn(share float64) { b.tokens = min(b.tokens+share, retryBurst) }

// Spend takes one retry and reports whether there was one left.
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

// Backoff returns how long to wait before a retry, which is numbered from 1.
// It grows with the number and is spread evenly over half and one and a half
// of its mean.
func Backoff(retry int, random *rand.Rand) time.Duration {
	mean := min(firstBackoff<<min(retry-1, 10), maxBackoff)
	return mean/2 + time.Duration(random.Int64N(int64(mean)))
}
