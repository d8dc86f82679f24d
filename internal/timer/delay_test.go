package timer

import (
	"testing"
	"time"
)

func TestDelayCountsForASecond(t *testing.T) {
	var d Delay
	start := time.Unix(0, 0)
	for _, c := range []struct {
		at   time.Duration
		late time.Duration
		want time.Duration
	}{
		{0, -time.Second, 0},
		{0, 300 * time.Millisecond, 300 * time.Millisecond},
		{900 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond},
		{1100 * time.Millisecond, 100 * time.Millisecond, 100 * time.Millisecond},
		{1200 * time.Millisecond, 2 * time.Second, 2 * time.Second},
	} {
		d.Observe(start.Add(c.at), c.late)
		if got := d.Recent(start.Add(c.at)); got != c.want {
			t.Errorf("at %v: %v; want %v", c.at, got, c.want)
		}
	}
}
