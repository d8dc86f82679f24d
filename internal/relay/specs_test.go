package relay

import (
	"strings"
	"testing"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// The worker must get the spec with every start, also from a relay that was restarted
// or has not handled the start yet that carries it.
func TestSpecIsSentOnceToARelayAndAlwaysToTheWorker(t *testing.T) {
	spec := strings.Repeat("s", 500)
	withCluster(t, 1, func(t *testing.T, c *fakeCluster) {
		relay := c.relay()
		sum := 0
		for run := 1; run <= 4; run++ {
			if run == 3 {
				c.set(relay, func(h *fakeHost) { h.server.specs = newSpecCache() })
			}
			if outcome, err := c.startOf(t, "00000000000000a1", run, spec); err != nil || outcome.Unknown || outcome.NotSent {
				t.Fatalf("start %d: %+v, %v", run, outcome, err)
			}
			sum += len(spec)
		}
		if got := relay.workers.specBytes; got != sum {
			t.Errorf("the worker got %d bytes of specs; want %d", got, sum)
		}
		if relay.specBytes != 2*len(spec) {
			t.Errorf("the relay got %d bytes of specs; want %d", relay.specBytes, 2*len(spec))
		}
		// Another job with the same ID has another spec.
		if _, err := c.startOf(t, "00000000000000a1", 5, strings.Repeat("o", 500)); err != nil || relay.workers.lastSpec[0] != 'o' {
			t.Errorf("the worker got the spec %.10s, %v", relay.workers.lastSpec, err)
		}
		relay.server.specs = newSpecCache()
		c.set(relay, func(h *fakeHost) { h.takes = 0 })
		late := make(chan bool, 1)
		go func() {
			outcome, err := c.startOf(t, "00000000000000a1", 6, spec)
			late <- err == nil && !outcome.NotSent
		}()
		time.Sleep(specWait / 2)
		relay.server.specs.add(specKey{workload.JobID("00000000000000a1"), sumOf(spec)}, spec)
		if !<-late {
			t.Error("a start that waits for its spec fails")
		}
	})
}
