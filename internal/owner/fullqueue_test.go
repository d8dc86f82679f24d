package owner

import (
	"testing"
	"testing/synctest"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/cell"
)

// A start to a worker without an address must not block the event loop while its queue is
// full.
func TestAnUnsentStartDoesNotBlockTheEventLoop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newFakePlatform(1).startOwner()
		defer o.Close()
		time.Sleep(2 * time.Second)
		o.put(loopFunc(func(o *Owner) {
			for range eventQueueSize {
				o.events.Offer(queuedEvent{event: loopFunc(func(*Owner) {})})
			}
			o.start(cell.SendStart{Worker: "unknown"})
		}))
		time.Sleep(time.Second)
		if waiting := o.events.Len(); waiting > 0 {
			t.Errorf("%d events wait, the event loop is blocked", waiting)
		}
	})
}
