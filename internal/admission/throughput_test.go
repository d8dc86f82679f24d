package admission

import (
	"testing"
	"time"
)

// A rate must tell what callers who submit jobs now will get: neither a peak nor a pause
// of before, nor what the demand allowed.
func TestThroughputIsWhatWaitingWorkGets(t *testing.T) {
	type phase struct {
		lasts     time.Duration
		perSecond float64
		waiting   bool
	}
	for _, c := range []struct {
		name   string
		phases []phase
		// rates are the bounds of the rate at the end.
		atLeast, atMost float64
	}{
		{"unknown before work waits", []phase{{10 * time.Second, 200, false}}, 0, 0},
		{"the demand does not limit it", []phase{{3 * time.Second, 200, true}, {5 * time.Second, 10, false}, {time.Second, 200, true}}, 195, 205},
		{"known soon", []phase{{10 * time.Second, 10, false}, {400 * time.Millisecond, 200, true}}, 195, 205},
		{"after a pause", []phase{{5 * time.Second, 200, true}, {1500 * time.Millisecond, 0, true}, {time.Second, 200, true}}, 195, 205},
		{"after a long pause", []phase{{5 * time.Second, 200, true}, {8 * time.Second, 0, true}, {time.Second, 200, true}}, 195, 205},
		{"after a peak", []phase{{5 * time.Second, 50, true}, {time.Second, 1000, true}, {600 * time.Millisecond, 50, true}}, 45, 55},
		{"after a fall", []phase{{5 * time.Second, 1000, true}, {2 * time.Second, 50, true}}, 45, 55},
		{"after a rise", []phase{{5 * time.Second, 50, true}, {2 * time.Second, 1000, true}}, 950, 1050},
		{"slow turnover", []phase{{time.Minute, 1.0 / 6, true}}, 0.16, 0.18},
		{"long ago", []phase{{5 * time.Second, 50, true}, {time.Minute, 10, false}}, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			var measured throughput
			now, started := time.Unix(1000, 0), 0.0
			for _, p := range c.phases {
				for end := now.Add(p.lasts); now.Before(end); now = now.Add(decideInterval) {
					measured.observe(now, progress{uint64(started), float64(uint64(started))}, p.waiting)
					started += p.perSecond * decideInterval.Seconds()
				}
			}
			measured.observe(now, progress{uint64(started), float64(uint64(started))}, c.phases[len(c.phases)-1].waiting)
			if got := measured.rate(now); got < c.atLeast || got > c.atMost {
				t.Errorf("%v a second, want %v to %v", got, c.atLeast, c.atMost)
			}
		})
	}
}

// Nothing is known of the wait while no starts were seen; it is long once none are made.
func TestThroughputStalls(t *testing.T) {
	for _, c := range []struct {
		expected float64
		lasts    time.Duration
		want     time.Duration
	}{{0, 4 * time.Second, 0}, {0, 6 * time.Second, maxRetryAfter}, {5, 4 * time.Second, 2 * time.Second}, {5, 6 * time.Second, 2 * time.Second}} {
		begin := time.Unix(1000, 0)
		measured := throughput{expected: c.expected}
		measured.observe(begin, progress{}, true)
		now := begin.Add(c.lasts)
		measured.observe(now, progress{}, true)
		if got := measured.wait(now, 10); got != c.want {
			t.Errorf("expected %v a second, after %v: a wait of %v, want %v", c.expected, c.lasts, got, c.want)
		}
	}
}
