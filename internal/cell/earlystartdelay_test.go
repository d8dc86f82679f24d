package cell_test

import (
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/job"
)

// Guards against a task that is started while an early start of it by the predecessor may
// still be accepted, without fencing tokens. A new owner that handles the first report of a
// worker late counted the time for which the predecessor may still act from then, and added
// it to the worker's clock of the earlier answer.
func TestEarlyStartsAreAwaitedAfterALateReport(t *testing.T) {
	for _, delay := range []time.Duration{0, 100 * time.Millisecond, 500 * time.Millisecond, 900 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			takeover := time.Unix(1_700_000_000, 0)
			config := cell.Config{Lease: 3200 * time.Millisecond, MaxLease: 6 * time.Second, ContactTimeout: 1500 * time.Millisecond, Unfenced: true}
			c := cell.New(takeover, config, nopObserver{}, zap.NewNop())
			c.RestoreEarlyStartWorkers([]cell.WorkerID{"w"})
			size := job.Size{MilliCores: 1000, MemoryMB: 1000}
			c.Register(takeover, cell.Registration{ID: "w", Incarnation: 1, Machine: "m", Service: "s", Capacity: size})
			// The worker's clock shows the time since the takeover.
			const answered = 100 * time.Millisecond
			report := cell.Report{Incarnation: 1, Clock: answered, Age: delay + answered}
			c.Reported(takeover.Add(answered+delay), "w", report)
			// The predecessor sends its last early start when its authority for these ends,
			// and the start is valid for 0.5 s.
			const lastExpiry = 1300*time.Millisecond + 500*time.Millisecond
			report.Clock, report.Age = lastExpiry-20*time.Millisecond, 0
			now := takeover.Add(max(report.Clock, answered+delay))
			c.Reported(now, "w", report)
			if !slices.Contains(c.EarlyStartWorkers(now), "w") {
				t.Error("the worker is not awaited any more, and may still accept an early start")
			}
		})
	}
}
