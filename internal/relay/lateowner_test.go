package relay

import (
	"testing"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/timer"
)

// Guards against an owner that was late and makes the hold calls of all workers itself: the
// call clock lets its calls take longer, but the time at which they were due had passed, so
// that the relays were given no time.
func TestHoldOfALateOwnerIsMadeThroughARelay(t *testing.T) {
	withCluster(t, 2, func(t *testing.T, c *fakeCluster) {
		ctx := timer.WithSoftDeadline(t.Context(), time.Now().Add(-100*time.Millisecond))
		if _, err := c.router.Hold(ctx, cell.HoldRequest{Worker: "w", Addr: workerAddr}, fakeEpoch); err != nil {
			t.Errorf("the hold call: %v", err)
		}
		if n, _ := c.local.count(); n > 0 {
			t.Errorf("the owner called the worker itself %d times", n)
		}
	})
}
