package host

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/admission"
	"cicadabarrow.example/cicadabarrow/internal/election"
	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/ledger"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/message"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

func testJob(id workload.JobID, longRunning bool) workload.Job {
	step := workload.Step{Tasks: 1, Size: job.Size{MilliCores: 100}, Estimate: time.Second, LongRunning: longRunning}
	return workload.Job{ID: id, Queue: "full", Steps: []workload.Step{step}}
}

// A refused job must leave nothing behind that runs later, and a job that runs must
// not be refused when it is submitted again.
func TestOnlyNewJobsOfRefusingQueuesAreRefused(t *testing.T) {
	withCluster(t, func(t *testing.T, w *fakeCluster, owner *fakeHost) {
		other := w.order[0]
		if other == owner {
			other = w.order[1]
		}
		full, free := &manifest.Queue{Name: "full", Priority: 2}, &manifest.Queue{Name: "free"}
		submit := func(q *manifest.Queue, j workload.Job) error {
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			j.Queue = q.Name
			return other.host.Submit(ctx, q, manifest.Client{}, j)
		}
		if err := submit(full, testJob("00000000000000a1", false)); err != nil {
			t.Fatal(err)
		}
		w.setCut(other, true, owner.name)
		time.Sleep(pingTimeout)
		pong := message.OwnerPong{Owning: true, Epoch: w.ownerRow().Epoch}
		pong.Admission = admission.Decision{Priorities: []admission.Refusal{{Priority: 2, RetryAfter: 4 * time.Second}}}
		other.host.applyPong(pong)
		err := submit(full, testJob("00000000000000a2", false))
		var overload *OverloadError
		if !fault.Is(err, KindOverloaded) || !errors.As(err, &overload) || overload.RetryAfter != 4*time.Second {
			t.Errorf("a new job is answered %v", err)
		}
		w.mu.Lock()
		if _, written := w.rows[ledger.JobKey("00000000000000a2")]; written {
			t.Error("the refused job was written")
		}
		w.mu.Unlock()
		for name, err := range map[string]error{
			"a repeated job":       submit(full, testJob("00000000000000a1", false)),
			"a job of other queue": submit(free, testJob("00000000000000a3", false)),
			"a long-running job":   submit(full, testJob("00000000000000a4", true)),
		} {
			if err != nil {
				t.Errorf("%s is answered %v", name, err)
			}
		}
		time.Sleep(admissionMaxAge)
		if err := submit(full, testJob("00000000000000a5", false)); err != nil {
			t.Errorf("a host that has not heard from the owner answers %v", err)
		}
	})
}

// A busy owner may answer no ping in time, but renews its row.
func TestHostsWithoutPongsLearnRefusalsFromTheRow(t *testing.T) {
	withCluster(t, func(t *testing.T, w *fakeCluster, owner *fakeHost) {
		other := w.order[0]
		if other == owner {
			other = w.order[1]
		}
		w.setCut(other, true, owner.name)
		time.Sleep(pingTimeout)
		row := w.ownerRow()
		row.Admission = admission.Decision{Priorities: []admission.Refusal{{Priority: 2, RetryAfter: time.Second}}}
		const version = 1 << 40
		other.host.applyState(election.State{Owner: row, Version: version})
		if _, refused := w.refusal(other); !refused {
			t.Error("nothing is refused by a host that has read the row")
		}
		time.Sleep(admissionMaxAge + time.Millisecond)
		other.host.applyState(election.State{Owner: row, Version: version})
		if _, refused := w.refusal(other); refused {
			t.Error("a host refuses by a row that was not renewed")
		}
	})
}

// A full service must not have jobs refused that run on the workers of another one, nor
// jobs that the owner starts in time for their objective.
func TestJobsAreRefusedByTheWaitForTheirService(t *testing.T) {
	withCluster(t, func(t *testing.T, w *fakeCluster, owner *fakeHost) {
		other := w.order[0]
		if other == owner {
			other = w.order[1]
		}
		w.setCut(other, true, owner.name)
		time.Sleep(pingTimeout)
		pong := message.OwnerPong{Owning: true, Epoch: w.ownerRow().Epoch}
		pong.Admission = admission.Decision{Services: []admission.ServiceRefusal{{Service: "s", Wait: 3 * time.Second, RetryAfter: 4 * time.Second}}}
		other.host.applyPong(pong)
		for i, c := range []struct {
			queue   manifest.Queue
			refused bool
		}{
			{manifest.Queue{Service: "s", SlackFactor: 1, TargetLatency: 2 * time.Second}, true},
			{manifest.Queue{Service: "s", SlackFactor: 2, TargetLatency: 2 * time.Second}, false},
			{manifest.Queue{Service: "s", SlackFactor: 1, TargetLatency: 2 * time.Second, Priority: 1}, false},
			{manifest.Queue{Service: "t", SlackFactor: 1, TargetLatency: 2 * time.Second}, false},
		} {
			c.queue.Name = "full"
			err := other.host.checkAdmission(t.Context(), &c.queue, manifest.Client{}, new(testJob(workload.JobID(fmt.Sprintf("%016x", i)), false)))
			if fault.Is(err, KindOverloaded) != c.refused {
				t.Errorf("a job of %+v is answered %v", c.queue, err)
			}
		}
	})
}

func (w *fakeCluster) refusal(h *fakeHost) (time.Duration, bool) {
	decision, _ := h.host.currentAdmission()
	return decision.RetryAfter(2, false)
}

func TestPongsCarryWhatTheOwnerRefuses(t *testing.T) {
	withCluster(t, func(t *testing.T, w *fakeCluster, owner *fakeHost) {
		for _, h := range w.order {
			if _, age := h.host.currentAdmission(); h != owner && age > admissionMaxAge {
				t.Errorf("%s has heard nothing about new jobs for %v", h.name, age)
			}
		}
	})
}
