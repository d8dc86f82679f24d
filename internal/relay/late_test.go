package relay

import (
	"context"
	"testing"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/lateanswer"
)

// Guards against the loss of an end that a worker has listed to a relay whose answer is late,
// or that is suspected or lost before it answers, while no other host reaches the worker.
func TestLateReportOfARelayIsPassedOn(t *testing.T) {
	for name, fail := range map[string]func(*fakeCluster, *fakeHost){
		"late": func(*fakeCluster, *fakeHost) {},
		"lost": func(c *fakeCluster, h *fakeHost) { c.lose(h) },
	} {
		t.Run(name, func(t *testing.T) {
			withCluster(t, 3, func(t *testing.T, c *fakeCluster) {
				relay := c.relay()
				c.local.setSilent()
				for _, h := range c.hosts {
					if h != relay {
						h.workers.setSilent()
					}
				}
				relay.workers.ended = []cell.Ended{{Number: 1, Run: 1, Kind: cell.EndDone}}
				c.set(relay, func(h *fakeHost) { h.answerTakes = 1500 * time.Millisecond })
				time.AfterFunc(1100*time.Millisecond, func() { fail(c, relay) })
				late := make(chan cell.Report, 3)
				ctx, cancel := context.WithTimeout(t.Context(), 1900*time.Millisecond)
				defer cancel()
				ctx = lateanswer.With(ctx, func(r cell.Report) { late <- r })
				request := cell.HoldRequest{Worker: "w", Addr: workerAddr, Wait: time.Second, Deadline: time.Minute}
				if _, err := c.router.Hold(ctx, request, fakeEpoch); err == nil {
					t.Error("the call was answered in time")
				}
				time.Sleep(2 * time.Second)
				if len(late) != 1 {
					t.Fatalf("%d late reports", len(late))
				}
				if r := <-late; len(r.Ended) != 1 || r.Incarnation != 1 {
					t.Errorf("late report %+v", r)
				}
			})
		})
	}
}
