package timer

import (
	"testing"
	"time"
)

func TestLatestAdvancesByTheLargerStep(t *testing.T) {
	c := NewSystemClock()
	start := c.Latest()
	wall := time.Now()
	c.wall = func() time.Time { return wall.Round(0).Add(time.Hour) }
	if got := c.Latest().Sub(start); got < 59*time.Minute {
		t.Fatalf("after the wall clock was set ahead by 1 h, Latest advanced by %v", got)
	}
	ahead := c.Latest()
	c.wall = func() time.Time { return wall.Round(0).Add(-time.Hour) }
	if c.Latest().Before(ahead) {
		t.Fatal("Latest went back when the wall clock was set back")
	}
}

func TestManualFiresDueSubscriptions(t *testing.T) {
	m := NewManual(time.Unix(0, 0))
	every, after := m.Every(2*time.Second), m.After(3*time.Second)
	m.Advance(2 * time.Second)
	if len(every.C) != 1 || len(after.C) != 0 {
		t.Fatalf("at 2 s: Every has %d ticks, want 1; After has %d, want 0", len(every.C), len(after.C))
	}
	<-every.C
	m.Advance(1 * time.Second)
	if len(every.C) != 0 || len(after.C) != 1 {
		t.Fatalf("at 3 s: Every has %d ticks, want 0; After has %d, want 1", len(every.C), len(after.C))
	}
}
