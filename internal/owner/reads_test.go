package owner

import (
	"testing"
	"time"
)

func TestHedgeDelayFollowsTheOtherReads(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name    string
		readers int
		reads   []time.Duration
		want    time.Duration
	}{
		{"no read has completed", 22, nil, maxHedgeDelay},
		{"fewer than half have completed", 22, []time.Duration{20 * ms}, maxHedgeDelay},
		{"a fast store", 22, []time.Duration{20 * ms, 30 * ms}, 500 * ms},
		{"a slow store", 22, []time.Duration{700 * ms, 500 * ms, 2 * time.Second}, 2100 * ms},
		{"a very slow store", 22, []time.Duration{2 * time.Second, 2 * time.Second}, maxHedgeDelay},
		{"one reader on a link of low bandwidth", 1, []time.Duration{20 * ms, 30 * ms}, 2600 * ms},
	} {
		t.Run(c.name, func(t *testing.T) {
			limiter := newReadLimiter(4, c.readers)
			for _, took := range c.reads {
				limiter.observe(took)
			}
			if got := limiter.hedgeDelay(); got != c.want {
				t.Errorf("hedge delay %v, want %v", got, c.want)
			}
		})
	}
}
