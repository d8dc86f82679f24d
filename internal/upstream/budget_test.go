package upstream_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/upstream"
)

// TestBudgetBoundsRetries retries whenever the budget allows it: the retries
// make up the share of the requests, and none beyond the first burst without a
// share.
func TestBudgetBoundsRetries(t *testing.T) {
	for share, most := range map[float64]int{0: 10, 0.1: 1010, 1: 10_010} {
		b := upstream.NewRetryBudget()
		spent := 0
		for range 10_000 {
			b.Earn(share)
			if b.Spend() {
				spent++
			}
		}
		if spent > most || float64(spent) < share*9_000 {
			t.Errorf("share %v: %d of 10000 requests were retried", share, spent)
		}
	}
}

func TestBackoffGrowsWithinBounds(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	seen := make(map[time.Duration]bool)
	for retry := 1; retry < 100; retry++ {
		got := upstream.Backoff(retry, random)
		if got < 5*time.Millisecond || got > 750*time.Millisecond {
			t.Errorf("retry %d waits %v", retry, got)
		}
		seen[got] = true
	}
	if len(seen) < 50 {
		t.Errorf("only %d different backoffs", len(seen))
	}
}
