package host

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/ledger"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

var memoryQueue = &manifest.Queue{Name: "q", Service: "s", SlackFactor: 2, TargetLatency: time.Hour}

// submitTasks submits a job with a number of tasks to a host.
func submitTasks(t *testing.T, h *fakeHost, id string, tasks int) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	job := testJob(workload.JobID(id), false)
	job.Queue, job.Steps[0].Tasks = memoryQueue.Name, tasks
	return h.host.Submit(ctx, memoryQueue, manifest.Client{}, job)
}

func (w *fakeCluster) written(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, written := w.rows[ledger.JobKey(workload.JobID(id))]
	return written
}

func isRefused(err error) bool {
	var overload *OverloadError
	return fault.Is(err, KindOverloaded) && errors.As(err, &overload) && overload.RetryAfter > 0
}

// Valid jobs of the largest size must not exhaust the memory of the owner, whichever hosts
// accept them. A refused job must not have been written, and one that runs is not refused
// when it is submitted again.
func TestLargeJobsAreRefusedWhileTheOwnerHasNoRoom(t *testing.T) {
	const large, small = 1000, 10
	withCluster(t, func(t *testing.T, w *fakeCluster, owner *fakeHost) {
		other := w.lastOtherThan(owner)
		const first, second = "00000000000000a1", "00000000000000a2"
		if err := submitTasks(t, other, first, large); err != nil {
			t.Fatalf("a single large job is answered %v", err)
		}
		for _, h := range []*fakeHost{other, owner} {
			if err := submitTasks(t, h, second, large); !isRefused(err) || w.written(second) {
				t.Errorf("%s answers a second large job %v; written: %v", h.name, err, w.written(second))
			}
			if err := submitTasks(t, h, first, large); err != nil {
				t.Errorf("%s answers a repeated large job %v", h.name, err)
			}
		}
		for i, h := range w.order {
			if err := submitTasks(t, h, fmt.Sprintf("%016x", i), small); err != nil {
				t.Errorf("%s answers a small job %v", h.name, err)
			}
		}
		if err := other.host.Cancel(t.Context(), memoryQueue.Name, manifest.Client{}, first); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Minute) // twice as long as ended jobs are kept
		if err := submitTasks(t, other, second, large); err != nil {
			t.Errorf("a large job is answered %v after the other one was forgotten", err)
		}
	})
}

// A host that cannot ask the owner refuses nothing for the owner's load.
func TestLargeJobIsAcceptedWhileTheOwnerCannotBeAsked(t *testing.T) {
	withCluster(t, func(t *testing.T, w *fakeCluster, owner *fakeHost) {
		other := w.lastOtherThan(owner)
		w.setCut(other, true, w.otherHosts(other)...)
		const id = "00000000000000b1"
		if err := submitTasks(t, other, id, 1000); fault.Is(err, KindNotDone) || isRefused(err) {
			t.Errorf("a large job is answered %v", err)
		}
		if !w.written(id) {
			t.Error("the job was not written")
		}
	})
}

// Many small jobs must not exhaust the memory of the owner either.
func TestAllJobsAreRefusedWhileTheOwnerIsFull(t *testing.T) {
	const tasks, enough = 100, 80 // of 33 KB each
	withCluster(t, func(t *testing.T, w *fakeCluster, owner *fakeHost) {
		other := w.lastOtherThan(owner)
		var err error
		accepted := 0
		for ; err == nil && accepted < enough; accepted++ {
			err = submitTasks(t, other, fmt.Sprintf("%016x", accepted), tasks)
			time.Sleep(100 * time.Millisecond)
		}
		if !isRefused(err) {
			t.Errorf("the job after %d others is answered %v", accepted, err)
		}
		if err := submitTasks(t, owner, "00000000000000c1", 1); !isRefused(err) {
			t.Errorf("the owner answers a job %v", err)
		}
		if err := submitTasks(t, other, fmt.Sprintf("%016x", 0), tasks); err != nil {
			t.Errorf("a repeated job is answered %v", err)
		}
	})
}
