package relay

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/message"
	"cicadabarrow.example/cicadabarrow/internal/timer"
)

func workerCall(epoch uint64) message.WorkerCall {
	return message.WorkerCall{Epoch: epoch, Timeout: 3 * time.Second, Addr: workerAddr}
}

// A relay that was paused must not send a call that it had received before, nor one
// that it finds when it wakes.
func TestPausedRelaySendsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timers := &suspendableTimers{System: timer.NewSystem()}
		workers := &fakeWorkers{connectTakes: time.Second}
		s := NewServer(workers, timers, tally.NoopScope)
		s.Grant(fakeEpoch, timers.Latest(), 2*time.Second)
		result := make(chan message.WorkerStarted, 1)
		go func() {
			out, err := s.Start(t.Context(), message.WorkerStart{WorkerCall: workerCall(fakeEpoch)})
			if err != nil {
				t.Errorf("the start that was admitted: %v", err)
			}
			result <- out
		}()
		time.Sleep(500 * time.Millisecond)
		timers.suspended.Store(int64(1500 * time.Millisecond))
		if out := <-result; out.Failure != message.WorkerNotSent {
			t.Errorf("the start that waited for its connection: %+v", out)
		}
		if _, err := s.Hold(t.Context(), message.WorkerHold{WorkerCall: workerCall(fakeEpoch)}); !fault.Is(err, KindRefused) {
			t.Errorf("a hold call after the pause: %v", err)
		}
		if holds, starts := workers.count(); holds+starts > 0 {
			t.Errorf("%d holds and %d starts were sent", holds, starts)
		}
	})
}

// The permission counts from the ping, since the owner's answer may have been delayed.
func TestPermissionCountsFromThePing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timers := timer.NewSystem()
		s := NewServer(&fakeWorkers{}, timers, tally.NoopScope)
		sent := timers.Latest()
		time.Sleep(3 * time.Second)
		s.Grant(fakeEpoch, sent, 2*time.Second)
		if _, err := s.Stop(t.Context(), message.WorkerStop{WorkerCall: workerCall(fakeEpoch)}); !fault.Is(err, KindRefused) {
			t.Errorf("a stop after the permission: %v", err)
		}
	})
}

// A call of a replaced owner must not be made once a later one has given its permission.
func TestCallOfAnotherEpochIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timers := timer.NewSystem()
		workers := &fakeWorkers{}
		s := NewServer(workers, timers, tally.NoopScope)
		s.Grant(fakeEpoch, timers.Latest(), 2*time.Second)
		s.Grant(fakeEpoch-1, timers.Latest(), time.Hour)
		for _, epoch := range []uint64{fakeEpoch - 1, fakeEpoch + 1} {
			if _, err := s.Start(t.Context(), message.WorkerStart{WorkerCall: workerCall(epoch)}); !fault.Is(err, KindRefused) {
				t.Errorf("a start of epoch %d: %v", epoch, err)
			}
		}
		if _, starts := workers.count(); starts > 0 {
			t.Errorf("%d starts were sent", starts)
		}
	})
}

// Orders must not keep renewals from being sent, and a full relay refuses at once.
func TestFullRelayRefusesOrdersAndStillHolds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timers := timer.NewSystem()
		workers := &fakeWorkers{silent: true}
		s := NewServer(workers, timers, tally.NoopScope)
		s.Grant(fakeEpoch, timers.Latest(), time.Hour)
		for range maxOrders {
			go func() { _, _ = s.Start(t.Context(), message.WorkerStart{WorkerCall: workerCall(fakeEpoch)}) }()
		}
		time.Sleep(100 * time.Millisecond)
		begin := time.Now()
		if _, err := s.Start(t.Context(), message.WorkerStart{WorkerCall: workerCall(fakeEpoch)}); !fault.Is(err, KindRefused) || time.Since(begin) > 0 {
			t.Errorf("one more start: %v after %v", err, time.Since(begin))
		}
		workers.mu.Lock()
		workers.silent = false
		workers.mu.Unlock()
		out, err := s.Hold(context.Background(), message.WorkerHold{WorkerCall: workerCall(fakeEpoch), Request: cell.HoldRequest{Worker: "w"}})
		if err != nil || out.Failure != message.WorkerAnswered {
			t.Errorf("a hold call beside the starts: %+v, %v", out, err)
		}
		time.Sleep(maxTimeout)
	})
}

// A sender without a permission must not fill the memory of a host with specs, nor one
// with a permission beyond the specs of jobs, and it gets its refusal at once.
func TestSpecsAreKeptOfPermittedStartsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timers := timer.NewSystem()
		s := NewServer(&fakeWorkers{}, timers, tally.NoopScope)
		s.Grant(fakeEpoch, timers.Latest(), time.Hour)
		start := func(epoch uint64, carried, spec string) error {
			m := message.WorkerStart{WorkerCall: workerCall(epoch), SpecSum: sumOf(spec), Start: cell.SendStart{Spec: carried}}
			_, err := s.Start(t.Context(), m)
			return err
		}
		spec, long := strings.Repeat("s", 500), strings.Repeat("s", 4<<20)
		begin := time.Now()
		for name, carried := range map[string]string{"with its spec": spec, "without its spec": ""} {
			if err := start(fakeEpoch+1, carried, spec); !fault.Is(err, KindRefused) || time.Since(begin) > 0 {
				t.Errorf("a start %s of another epoch: %v after %v", name, err, time.Since(begin))
			}
		}
		if n := len(s.specs.specs); n > 0 {
			t.Errorf("%d specs of another epoch are kept", n)
		}
		for _, spec := range []string{long, spec} {
			if err := start(fakeEpoch, spec, spec); err != nil {
				t.Errorf("a start with a spec of %d bytes: %v", len(spec), err)
			}
		}
		if n := len(s.specs.specs); n != 1 {
			t.Errorf("%d specs are kept, want the one that a job may have", n)
		}
	})
}
