// Package timer provides the clock and the timers of the other packages. These
// subscribe to a Service instead of starting timers of their own, so that a test
// can control the time of all of them. Package logging has its own ticker.
package timer

import (
	"sync"
	"time"
)

// Clock returns the time of this process in two ways, because a lease has two
// sides: the holder of a lease must never act after it has expired, and a
// process that waits for a lease to expire must never act before that.
type Clock interface {
	// Now returns the time by the monotonic clock. Use it to wait.
	Now() time.Time
	// Latest returns the latest plausible current time. It includes the time
	// that the monotonic clock missed while the process was suspended. Use it
	// for deadlines that must not be overrun.
	Latest() time.Time
}

// SystemClock is a Clock that reads the monotonic and the wall clock of the
// machine.
type SystemClock struct {
	wall func() time.Time

	mu       sync.Mutex
	lastMono time.Time
	lastWall time.Time
	latest   time.Time
}

// NewSystemClock returns a clock that starts at the current time.
func NewSystemClock() *SystemClock {
	now := time.Now()
	return &SystemClock{wall: time.Now, lastMono: now, lastWall: now.Round(0), latest: now}
}

// Now returns the time by the monotonic clock.
func (c *SystemClock) Now() time.Time { return time.Now() }

// Latest advances by the larger of the steps of the monotonic and the wall
// clock since the last call, so that neither a wall clock that is set back nor
// a suspended monotonic clock holds it back.
func (c *SystemClock) Latest() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.wall()
	mono := now.Sub(c.lastMono)
	wall := now.Round(0).Sub(c.lastWall)
	c.lastMono, c.lastWall = now, now.Round(0)
	c.latest = c.latest.Add(max(mono, wall, 0))
	return c.latest
}
