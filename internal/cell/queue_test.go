package cell_test

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// A job must use the newest settings of its queue, and those of its acceptance once the
// manifest does not have the queue.
func TestJobFollowsItsQueueThroughManifests(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	queue := func(attempts int) manifest.Queue {
		return manifest.Queue{Name: "q", Service: "s", MaxAttempts: attempts}
	}
	other := manifest.Queue{Name: "other", Service: "s", MaxAttempts: 9}
	c := cell.New(now, scriptConfig, nopObserver{}, zap.NewNop())
	step := workload.Step{Tasks: 1, Size: job.Size{MilliCores: 1000}}
	accepted := cell.AcceptedJob{Job: workload.Job{ID: "a", Queue: "q", Steps: []workload.Step{step}}, Queue: queue(1)}
	c.Accept(now, accepted)
	expect := func(when string, want int) {
		t.Helper()
		if got := c.QueueOf("a").MaxAttempts; got != want {
			t.Errorf("%s the limit of attempts is %d, want %d", when, got, want)
		}
	}
	expect("before any manifest", 1)
	c.SetManifest(&manifest.Manifest{Version: 2, Queues: []manifest.Queue{other, queue(2)}})
	expect("with a manifest", 2)
	c.SetManifest(&manifest.Manifest{Version: 3, Queues: []manifest.Queue{queue(3), other}})
	expect("with a later manifest", 3)
	c.SetManifest(&manifest.Manifest{Version: 4, Queues: []manifest.Queue{other}})
	expect("without the queue", 1)
	c.SetManifest(&manifest.Manifest{Version: 3, Queues: []manifest.Queue{queue(5)}})
	expect("after an earlier manifest", 1)
	accepted.Job.ID = "b"
	c.SetManifest(&manifest.Manifest{Version: 5, Queues: []manifest.Queue{queue(4), queue(6)}})
	c.Accept(now, accepted)
	if got := c.QueueOf("b").MaxAttempts; got != 4 {
		t.Errorf("the limit of attempts of a later job is %d, want that of the first queue of the name", got)
	}
}
