package host

import (
	"context"
	"errors"
	"testing"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// A job that never fits under the cap of its account must be refused, unless it was
// accepted before the cap was lowered: then it runs, and a repeat must not be told
// otherwise.
func TestOnlyNewJobsAboveTheCapAreRefused(t *testing.T) {
	withCluster(t, func(t *testing.T, w *fakeCluster, _ *fakeHost) {
		host, queue := w.order[0].host, &manifest.Queue{Name: "full"}
		check := func(cores int64, j workload.Job) error {
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			return host.checkCap(ctx, queue, manifest.Terms{Name: "a", Cap: job.Size{MilliCores: cores}}, &j)
		}
		known := testJob("00000000000000a1", false)
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		if err := host.Submit(ctx, queue, known); err != nil {
			t.Fatal(err)
		}
		if err := check(100, testJob("00000000000000a2", false)); err != nil {
			t.Errorf("a job that fits: %v", err)
		}
		if err := check(99, testJob("00000000000000a2", false)); !fault.Is(err, KindInvalid) {
			t.Errorf("a job that does not fit: %v", err)
		}
		if err := check(99, known); !errors.Is(err, errRepeated) {
			t.Errorf("a repeated job: %v", err)
		}
	})
}
