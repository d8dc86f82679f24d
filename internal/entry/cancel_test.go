package entry_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/lease"
	"cicadabarrow.example/cicadabarrow/internal/message"
)

// A wave of cancels that was answered must hold although its owner dies at
// that instant: no task of it may start or go on under the next owner.
func TestAnsweredCancelsSurviveOwnerFailure(t *testing.T) {
	const jobs = 300
	synctest.Test(t, func(t *testing.T) {
		w := newFixture(t)
		o := w.startOwner(lease.Gained{First: true, Clean: true})
		for n := range jobs {
			w.mustSubmit(o, batch(fmt.Sprintf("build-%03d", n), 4, time.Hour))
		}
		time.Sleep(2 * time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		names, err := o.Cancel(ctx, message.Cancel{Team: batch("x", 1, time.Hour).Team})
		if err != nil || len(names) != jobs {
			t.Fatalf("cancelled %d of %d: %v", len(names), jobs, err)
		}
		o.Close()
		next := w.startOwner(lease.Gained{})
		time.Sleep(time.Minute)
		open, err := next.Jobs(t.Context(), message.JobQuery{})
		if err != nil || len(open) > 0 {
			t.Fatalf("%d jobs are open at the next owner: %v", len(open), err)
		}
		for n := range jobs {
			if id := fmt.Sprintf("build-%03d", n); w.running(id) > 0 {
				t.Fatalf("%s runs after its cancel", id)
			}
		}
		w.checkInvariants()
	})
}

// Without the table service a cancel cannot be durable, so it must not be
// answered as done, nor as not run.
func TestCancelWithoutStoreIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFixture(t)
		o := w.startOwner(lease.Gained{First: true, Clean: true})
		w.mustSubmit(o, batch("build", 1, time.Hour))
		time.Sleep(2 * time.Second)
		w.d.Table.SetSilent(true)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		if _, err := o.Cancel(ctx, message.Cancel{ID: "build"}); err == nil {
			t.Fatal("the cancel was answered as done although nothing is durable")
		}
	})
}
