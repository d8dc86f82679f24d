package owner

import (
	"testing"
	"time"
)

func TestIsolated(t *testing.T) {
	for _, c := range []struct {
		name         string
		hosts        int
		sinceRenewal time.Duration
		active       int
		want         bool
	}{
		{"the store is unavailable to all", 7, 30 * time.Second, 7, false},
		{"the store is unavailable and three hosts are down", 7, 30 * time.Second, 4, false},
		{"alone in a network partition", 7, isolationTimeout, 0, true},
		{"with fewer than half in a network partition", 7, isolationTimeout, 3, true},
		{"not for long enough", 7, isolationTimeout - time.Millisecond, 0, false},
		{"the only host there is", 0, 30 * time.Second, 0, false},
		{"one of two", 1, isolationTimeout, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			var i isolation
			if i.isolated(0, c.hosts, c.hosts) {
				t.Fatal("an owner that renews its row is isolated")
			}
			if got := i.isolated(c.sinceRenewal, c.active, c.active); got != c.want {
				t.Errorf("isolated: %v", got)
			}
		})
	}
}
