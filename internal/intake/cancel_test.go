package intake

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/ledger"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/rowstore"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

var (
	lateWrite  = answer{kind: rowstore.KindUnknown, late: true, after: callTimeout}
	carriedOut = answer{applied: true}
)

// A submission that has got no answer may be in flight in the store when its job is
// cancelled, and the store may carry it out after the cancel. The job must not be accepted
// then, nor when a repeat of the submission arrives late: nobody would cancel it again.
func TestSubmissionInFlightIsNotAcceptedAfterItsCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newScriptedStore(lateWrite)
		in := newIntake(store)
		if err := in.Submit(t.Context(), accepted()); !fault.Is(err, KindUnknown) {
			t.Fatalf("a submission without an answer gives %v", err)
		}
		other := newIntake(store)
		for range 2 {
			if err := other.Cancel(t.Context(), ownScope, jobID); !fault.Is(err, KindNoJob) {
				t.Fatalf("the cancel gives %v", err)
			}
		}
		store.commitLate()
		if found, err := other.Find(t.Context(), jobID); err != nil || found.Known {
			t.Errorf("found %+v, %v after the store has carried out the submission", found, err)
		}
		if err := other.Submit(t.Context(), accepted()); !fault.Is(err, KindCancelled) {
			t.Errorf("a repeat of the submission gives %v", err)
		}
	})
}

// The cancel itself may be carried out late: it must not be answered before, and must not
// cancel a job that was accepted in between without having been found.
func TestCancelWithoutAnAnswer(t *testing.T) {
	for _, c := range []struct {
		name    string
		answers []answer
		submit  bool
		kind    Kind
		// cancelled and known are what is found at the end.
		cancelled, known bool
	}{
		{"the tombstone is late", []answer{carriedOut, lateWrite, lateWrite}, false, KindUnknown, false, false},
		{"the tombstone is late, the job is accepted before", []answer{carriedOut, lateWrite, lateWrite}, true, KindUnknown, false, true},
		{"the answer about the tombstone is lost", []answer{carriedOut, {kind: rowstore.KindUnknown, applied: true}}, false, KindNoJob, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newScriptedStore(c.answers...)
				if err := newIntake(store).Cancel(t.Context(), ownScope, jobID); !fault.Is(err, c.kind) {
					t.Errorf("the cancel gives %v", err)
				}
				store.answers = nil
				in := newIntake(store)
				if c.submit {
					if err := in.Submit(t.Context(), accepted()); err != nil {
						t.Fatal(err)
					}
				}
				store.commitLate()
				found, err := in.Find(t.Context(), jobID)
				if err != nil || found.Cancelled != c.cancelled || found.Known != c.known {
					t.Errorf("found %+v, %v", found, err)
				}
			})
		})
	}
}

// A job may be accepted between the two steps of its cancel. It exists then, so that the
// cancel must reach it and not tell that there is no job.
func TestCancelFindsAJobThatIsAcceptedMeanwhile(t *testing.T) {
	store := newScriptedStore()
	in := newIntake(&interleavingStore{scriptedStore: store, beforeCommit: func() {
		if err := newIntake(store).Submit(t.Context(), accepted()); err != nil {
			t.Error(err)
		}
	}})
	if err := in.Cancel(t.Context(), ownScope, jobID); err != nil {
		t.Errorf("the cancel gives %v", err)
	}
	if found, err := in.Find(t.Context(), jobID); err != nil || !found.Known || !found.Cancelled {
		t.Errorf("found %+v, %v", found, err)
	}
}

// The clients of one queue or account must not keep those of another from submitting a job
// by cancelling its ID before, nor must they learn whether there is one.
func TestTombstonesConcernOnlyJobsInScope(t *testing.T) {
	scopeOf := func(queue, account string) manifest.JobScope {
		return manifest.JobScope{Queue: queue, Account: account, HasAccounts: true}
	}
	for _, c := range []struct {
		scope   manifest.JobScope
		account string
		refused bool
	}{
		{scopeOf(ownQueue, "a"), "a", true},
		{scopeOf(ownQueue, "a"), "", true}, // jobs without an account are those of all clients
		{scopeOf(ownQueue, "a"), "b", false},
		{scopeOf(ownQueue, ""), "a", false},
		{scopeOf(otherQueue, "a"), "a", false},
		{manifest.JobScope{Queue: ownQueue}, "a", true},
	} {
		in := newIntake(newScriptedStore())
		if err := in.Cancel(t.Context(), c.scope, jobID); !fault.Is(err, KindNoJob) {
			t.Fatalf("%+v: the cancel gives %v", c, err)
		}
		job := accepted()
		job.Account = manifest.Terms{Name: c.account, Weight: 1}
		err := in.Submit(t.Context(), job)
		if refused := fault.Is(err, KindCancelled); refused != c.refused || !refused && err != nil {
			t.Errorf("%+v: the submission gives %v", c, err)
		}
		if !c.refused {
			if err := in.Cancel(t.Context(), c.scope, jobID); !fault.Is(err, KindNoJob) {
				t.Errorf("%+v: the cancel of a job of others gives %v", c, err)
			}
			if found, err := in.Find(t.Context(), jobID); err != nil || !found.Known || found.Cancelled {
				t.Errorf("%+v: found %+v, %v", c, found, err)
			}
		}
	}
}

// Cancels of jobs that do not exist must leave the writes of the store to others: repeated
// ones write nothing, those of one account leave some to others, and a host has a limit.
func TestCancelsOfUnknownJobsAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newScriptedStore()
		in := newIntake(store)
		flood := func(account string) int {
			written := 0
			for i := range 1000 {
				id := workload.JobID(fmt.Sprintf("%s%015x", account, i))
				err := in.Cancel(t.Context(), manifest.JobScope{Queue: ownQueue, Account: account, HasAccounts: true}, id)
				switch {
				case fault.Is(err, KindNoJob):
					written++
				case !fault.Is(err, KindNotDone):
					t.Fatalf("a cancel gives %v", err)
				}
			}
			return written
		}
		if a, b, c := flood("a"), flood("b"), flood("c"); a != 20 || b != 20 || c != 0 {
			t.Errorf("%d, %d and %d cancels were answered; a host has 10 a second for 4 s, and an account half of them", a, b, c)
		}
		calls := store.version
		for range 100 {
			if err := in.Cancel(t.Context(), manifest.JobScope{Queue: ownQueue, Account: "a", HasAccounts: true}, "a000000000000001"); !fault.Is(err, KindNoJob) {
				t.Fatalf("a repeated cancel gives %v", err)
			}
		}
		if store.version != calls {
			t.Errorf("%d writes for repeated cancels", store.version-calls)
		}
		time.Sleep(10 * time.Second)
		if a := flood("a"); a != 40 {
			// The first 20 are known.
			t.Errorf("%d cancels were answered after a pause", a)
		}
	})
}

// What is no ID of a job names another row, which a cancel must not write.
func TestCancelOfWhatIsNoID(t *testing.T) {
	store := newScriptedStore()
	in := newIntake(store)
	for _, id := range []workload.JobID{"", "x", jobID + ":cancel", "0123456789abcdeg"} {
		if err := in.Cancel(t.Context(), ownScope, id); !fault.Is(err, KindNoJob) {
			t.Errorf("the cancel of %q gives %v", id, err)
		}
	}
	if store.calls > 0 {
		t.Errorf("%d calls", store.calls)
	}
}

// A cancel that the store carries out after the job has gone must not cancel a later job
// of that ID.
func TestLateCancelDoesNotCancelALaterJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newScriptedStore(carriedOut, carriedOut, lateWrite)
		in := newIntake(store)
		if err := in.Submit(t.Context(), accepted()); err != nil {
			t.Fatal(err)
		}
		if err := in.Cancel(t.Context(), ownScope, jobID); !fault.Is(err, KindUnknown) {
			t.Fatalf("the cancel gives %v", err)
		}
		if err := store.apply(rowstore.Transaction{Deletes: []rowstore.Key{ledger.JobKey(jobID), ledger.CancelKey(jobID)}}); err != nil {
			t.Fatal(err)
		}
		again := newIntake(store)
		if err := again.Submit(t.Context(), accepted()); err != nil {
			t.Fatal(err)
		}
		store.commitLate()
		if found, err := again.Find(t.Context(), jobID); err != nil || found.Cancelled {
			t.Errorf("found %+v, %v", found, err)
		}
	})
}

// interleavingStore does something else before its first commit.
type interleavingStore struct {
	*scriptedStore
	beforeCommit func()
}

// Commit applies a transaction.
func (s *interleavingStore) Commit(ctx context.Context, t rowstore.Transaction) (rowstore.Result, error) {
	if do := s.beforeCommit; do != nil {
		s.beforeCommit = nil
		do()
	}
	return s.scriptedStore.Commit(ctx, t)
}
