package entry_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/entry"
	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/lease"
	"cicadabarrow.example/cicadabarrow/internal/message"
)

// Cancels of many jobs that were acknowledged must stay in effect if the owner
// fails right afterwards: no task of these jobs may start or continue to run under
// the successor.
func TestAnsweredCancelsSurviveOwnerFailure(t *testing.T) {
	const jobs = 300
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t)
		o := fx.startOwner(lease.Gained{First: true, Clean: true})
		for n := range jobs {
			fx.mustSubmit(o, batch(fmt.Sprintf("build-%03d", n), 4, time.Hour))
		}
		time.Sleep(2 * time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		names, err := o.Cancel(ctx, message.Cancel{Team: batch("x", 1, time.Hour).Team})
		if err != nil || len(names) != jobs {
			t.Fatalf("cancelled %d of %d: %v", len(names), jobs, err)
		}
		o.Close()
		successor := fx.startOwner(lease.Gained{})
		time.Sleep(time.Minute)
		open, err := successor.Jobs(t.Context(), message.JobQuery{})
		if err != nil || len(open) > 0 {
			t.Fatalf("%d jobs are open at the successor: %v", len(open), err)
		}
		for n := range jobs {
			if id := fmt.Sprintf("build-%03d", n); fx.running(id) > 0 {
				t.Fatalf("%s runs after its cancel", id)
			}
		}
		fx.checkInvariants()
	})
}

// Without the table service a cancel cannot become durable, so it must neither
// succeed nor be reported as not run.
func TestCancelWithoutStoreIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t)
		o := fx.startOwner(lease.Gained{First: true, Clean: true})
		fx.mustSubmit(o, batch("build", 1, time.Hour))
		time.Sleep(2 * time.Second)
		fx.d.Table.SetSilent(true)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		if _, err := o.Cancel(ctx, message.Cancel{ID: "build"}); err == nil {
			t.Fatal("the cancel succeeded although nothing is durable")
		}
	})
}

// A submission without an answer may still be in flight when its job is cancelled. The
// caller must not be told that there is no job, which would then run.
func TestJobInFlightIsNotSaidToBeMissing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t)
		o := fx.startOwner(lease.Gained{First: true, Clean: true})
		time.Sleep(2 * time.Second)
		fx.d.Table.SetSilent(true)
		leave, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if out := o.Submit(leave, batch("build", 1, time.Hour)); out.Outcome != message.OutcomeUnknown {
			t.Fatalf("the submission gives %+v", out)
		}
		if jobs, err := o.Jobs(t.Context(), message.JobQuery{ID: "build"}); !fault.Is(err, entry.KindUnavailable) {
			t.Errorf("%d jobs, %v while the submission is in flight", len(jobs), err)
		}
		if jobs, err := o.Jobs(t.Context(), message.JobQuery{ID: "other"}); err != nil || len(jobs) > 0 {
			t.Errorf("%d jobs, %v of another ID", len(jobs), err)
		}
		fx.d.Table.SetSilent(false)
		time.Sleep(10 * time.Second)
		if names, err := o.Cancel(t.Context(), message.Cancel{ID: "build"}); err != nil || len(names) != 1 {
			t.Errorf("cancelled %v, %v after the submission was accepted", names, err)
		}
	})
}
