package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"

	"cicadabarrow.example/cicadabarrow/internal/lease"
	"cicadabarrow.example/cicadabarrow/internal/message"
	"cicadabarrow.example/cicadabarrow/internal/timer"
)

// allowAll is a Guard that allows everything.
type allowAll struct{}

func (allowAll) MayAct(lease.Unit, uint64) error { return nil }

func keyed(id, key string, deadline time.Duration) message.Request {
	return message.Request{ID: id, Key: key, Service: "escrow-desk", Method: "POST", Path: "/check", Timeout: deadline}
}

// TestRepeatsOfAKey sends repeats while the first request runs and afterwards: all
// must get its answer with their own IDs, and one with a short deadline must get an
// unknown outcome.
func TestRepeatsOfAKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := NewKeyOwner(lease.Gained{First: true}, time.Time{}, allowAll{}, timer.NewSystem())
		key := uuid.Must(uuid.NewV7()).String()
		runs := 0
		run := func(ctx context.Context) message.Answer {
			runs++
			select {
			case <-time.After(time.Second):
				return message.Answer{ID: "first", Outcome: message.OutcomeAnswered, Status: 200, Body: []byte("paid")}
			case <-ctx.Done():
				return message.Answer{ID: "first", Outcome: message.OutcomeUnknown}
			}
		}
		// The first caller gives up early. Its request still runs to its end.
		callerCtx, cancel := context.WithCancel(t.Context())
		first := make(chan message.Answer, 1)
		go func() { first <- k.Do(callerCtx, keyed("first", key, 5*time.Second), run) }()
		synctest.Wait()
		cancel()

		begin := time.Now()
		hasty := k.Do(t.Context(), keyed("hasty", key, 100*time.Millisecond), run)
		if took := time.Since(begin); hasty.Outcome != message.OutcomeUnknown || took >= 100*time.Millisecond {
			t.Errorf("the hasty repeat got %q after %v", hasty.Outcome, took)
		}
		for _, id := range []string{"joined", "known"} {
			a := k.Do(t.Context(), keyed(id, key, 5*time.Second), run)
			if a.Outcome != message.OutcomeAnswered || a.ID != id || string(a.Body) != "paid" {
				t.Errorf("the repeat %s got %+v", id, a)
			}
		}
		if a := <-first; a.Outcome != message.OutcomeAnswered || runs != 1 {
			t.Errorf("the first got %+v after %d runs", a, runs)
		}
		other := keyed("other", key, time.Second)
		other.Path = "/refund"
		if a := k.Do(t.Context(), other, run); a.Outcome != message.OutcomeNotRun {
			t.Errorf("another request under the key got %+v", a)
		}
	})
}

// TestKeyOfPredecessor sends a key whose request a predecessor may have run. It must
// not run again.
func TestKeyOfPredecessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		run := func(context.Context) message.Answer {
			t.Error("the key ran again")
			return message.Answer{}
		}
		key := uuid.Must(uuid.NewV7()).String()
		time.Sleep(time.Second)
		k := NewKeyOwner(lease.Gained{}, time.Time{}, allowAll{}, timer.NewSystem())
		if a := k.Do(t.Context(), keyed("repeat", key, time.Second), run); a.Outcome != message.OutcomeUnknown {
			t.Errorf("got %+v", a)
		}
	})
}

// A shard must not be handed over while a request that this owner sent still runs.
func TestReleaseWaitsForRepeatOfUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		key := uuid.Must(uuid.NewV7()).String()
		time.Sleep(time.Second)
		k := NewKeyOwner(lease.Gained{}, time.Time{}, allowAll{}, timer.NewSystem())
		r := keyed("repeat", key, 5*time.Second)
		r.Idempotent = true
		ended := make(chan struct{})
		go k.Do(t.Context(), r, func(context.Context) message.Answer {
			time.Sleep(time.Second)
			close(ended)
			return message.Answer{Outcome: message.OutcomeAnswered}
		})
		synctest.Wait()
		k.Release()
		select {
		case <-ended:
		default:
			t.Error("the shard was released while its request was in progress")
		}
		<-ended
	})
}
