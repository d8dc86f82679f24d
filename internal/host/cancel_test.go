package host

import (
	"context"
	"testing"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// A client that leaves before its submission is answered cancels the job, at any host. Once
// it was told that there is no job, the submission must take effect neither at the store,
// which carries it out late, nor through the owner, nor in a repeat that arrives late.
func TestCancelledSubmissionInFlightDoesNotRun(t *testing.T) {
	const late = 6 * time.Second
	for name, patience := range map[string]time.Duration{"own write only": hedgeDelay / 2, "relayed too": 900 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			withCluster(t, func(t *testing.T, w *fakeCluster, owner *fakeHost) {
				first, second := w.others(owner)
				for _, h := range []*fakeHost{first, owner} {
					w.lateCommits[h.name] = late
				}
				queue, job := &manifest.Queue{Name: "free"}, testJob("00000000000000a1", true)
				job.Queue = queue.Name
				ctx, leave := context.WithTimeout(t.Context(), patience)
				defer leave()
				if err := first.host.Submit(ctx, queue, manifest.Client{}, job); !fault.Is(err, KindUnknown) {
					t.Fatalf("the submission gives %v", err)
				}
				if err := second.host.Cancel(t.Context(), queue.Name, manifest.Client{}, job.ID); !fault.Is(err, KindNoJob) {
					t.Fatalf("the cancel gives %v", err)
				}
				time.Sleep(late)
				clear(w.lateCommits)
				for _, h := range w.order {
					if status, err := h.host.Status(t.Context(), queue.Name, manifest.Client{}, job.ID); !fault.Is(err, KindNoJob) {
						t.Errorf("%s: the job is %v, %v", h.name, status, err)
					}
				}
				for _, h := range w.order {
					if err := h.host.Submit(t.Context(), queue, manifest.Client{}, job); !fault.Is(err, KindNoJob) {
						t.Errorf("%s: a repeat of the submission gives %v", h.name, err)
					}
				}
			})
		})
	}
}

// others returns two hosts that do not own the cell.
func (w *fakeCluster) others(owner *fakeHost) (first, second *fakeHost) {
	var out []*fakeHost
	for _, h := range w.order {
		if h != owner {
			out = append(out, h)
		}
	}
	return out[0], out[1]
}

// What the cancel of an unknown job leaves in the store must go away some time, also after
// a takeover, but not a job that another queue has submitted under the same ID since.
func TestTombstonesAreDeleted(t *testing.T) {
	withCluster(t, func(t *testing.T, w *fakeCluster, owner *fakeHost) {
		other, _ := w.others(owner)
		ids := []workload.JobID{"00000000000000a1", "00000000000000a2", "00000000000000a3"}
		for _, id := range ids {
			if err := other.host.Cancel(t.Context(), "free", manifest.Client{}, id); !fault.Is(err, KindNoJob) {
				t.Fatalf("a cancel gives %v", err)
			}
		}
		queue, job := &manifest.Queue{Name: "full"}, testJob(ids[0], true)
		job.Queue = queue.Name
		if err := other.host.Submit(t.Context(), queue, manifest.Client{}, job); err != nil {
			t.Fatalf("the submission of another queue gives %v", err)
		}
		const nearly = 50 * time.Second
		time.Sleep(nearly)
		w.stop(owner)
		time.Sleep(nearly)
		if !w.written(string(ids[1])) {
			t.Error("a new owner has deleted a tombstone before its time")
		}
		time.Sleep(nearly)
		for i, id := range ids {
			if written := w.written(string(id)); written != (i == 0) {
				t.Errorf("job %s has a row: %v", id, written)
			}
		}
	})
}

// Several hosts may have sent the write of one job, and the store may carry one of them out
// long after the job has ended. While the job's row is kept, which a takeover prolongs, the
// write must fail: the job would run again, and nobody would cancel it.
func TestLateWriteOfAnEndedJobDoesNotRun(t *testing.T) {
	withCluster(t, func(t *testing.T, w *fakeCluster, owner *fakeHost) {
		const late = 55 * time.Second // nearly as long as ended jobs are kept
		first, second := w.others(owner)
		for _, h := range []*fakeHost{first, owner} {
			w.lateCommits[h.name] = late
		}
		queue, job := &manifest.Queue{Name: "free"}, testJob("00000000000000a1", false)
		job.Queue = queue.Name
		ctx, leave := context.WithTimeout(t.Context(), 900*time.Millisecond)
		defer leave()
		if err := first.host.Submit(ctx, queue, manifest.Client{}, job); !fault.Is(err, KindUnknown) {
			t.Fatalf("the submission gives %v", err)
		}
		if err := second.host.Submit(t.Context(), queue, manifest.Client{}, job); err != nil {
			t.Fatalf("the repeat gives %v", err)
		}
		if err := second.host.Cancel(t.Context(), queue.Name, manifest.Client{}, job.ID); err != nil {
			t.Fatalf("the cancel gives %v", err)
		}
		time.Sleep(late / 2)
		clear(w.lateCommits)
		w.stop(owner)
		time.Sleep(late)
		for _, h := range []*fakeHost{first, second} {
			status, err := h.host.Status(t.Context(), queue.Name, manifest.Client{}, job.ID)
			if err != nil || status.State != workload.StateCancelled {
				t.Errorf("%s: the job is %+v, %v", h.name, status, err)
			}
		}
		const keepEnded = time.Minute
		time.Sleep(2 * keepEnded)
		if w.written(string(job.ID)) {
			t.Error("the row of the job is kept for ever")
		}
	})
}
