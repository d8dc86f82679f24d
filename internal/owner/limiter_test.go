package owner

import (
	"testing"
	"time"
)

// The limit must rise only while it is reached and the host has processor time to
// spare, and fall fast when it has none.
func TestStartLimiter(t *testing.T) {
	const ms = time.Millisecond
	l := newStartLimiter()
	for i, c := range []struct {
		delay    time.Duration
		inFlight int
		limit    int
	}{
		{0, 10, 64},
		{0, 64, 80},
		{5 * ms, 80, 96},
		{20 * ms, 96, 96},
		{0, 90, 96},
		{0, 96, 112},
		{60 * ms, 112, 64},
		{200 * ms, 64, 64},
	} {
		if l.observe(c.delay, c.inFlight); l.limit != c.limit {
			t.Errorf("step %d: limit %d, want %d", i, l.limit, c.limit)
		}
	}
	for range 100 {
		l.observe(0, l.limit)
	}
	if l.limit != maxStartsInFlight {
		t.Errorf("the limit is %d after a long time without overload, want %d", l.limit, maxStartsInFlight)
	}
}
