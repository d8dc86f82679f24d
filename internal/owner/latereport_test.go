package owner

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/lateanswer"
	"cicadabarrow.example/cicadabarrow/internal/rowstore"
	"cicadabarrow.example/cicadabarrow/internal/timer"
)

// lateHolds are workers behind a host that is late: the first answer that lists an end
// arrives after its call has timed out, and its worker answers no further call.
type lateHolds struct {
	*fakePlatform
	// late is how late the answer is.
	late   time.Duration
	first  atomic.Bool
	starts atomic.Int32
	// wrong, if it is set, is reported in place of the incarnation of the worker.
	wrong cell.Incarnation
}

func (h *lateHolds) Hold(ctx context.Context, request cell.HoldRequest, fence uint64) (cell.Report, error) {
	report, err := h.fakePlatform.Hold(ctx, request, fence)
	if err != nil || len(report.Ended) == 0 || !h.first.CompareAndSwap(false, true) {
		return report, err
	}
	h.mu.Lock()
	h.silent[request.Worker] = true
	h.mu.Unlock()
	if h.wrong != 0 {
		report.Incarnation = h.wrong
	}
	answered := time.Now().Add(h.late)
	if err := sleep(ctx, h.late); err != nil {
		if take := lateanswer.From[cell.Report](ctx); take != nil {
			time.AfterFunc(time.Until(answered), func() { take(report) })
		}
		return cell.Report{}, fault.New("hold", rowstore.KindUnknown, "%w", err)
	}
	return report, nil
}

func (h *lateHolds) Start(ctx context.Context, to netip.AddrPort, s cell.SendStart, fence uint64) (cell.StartOutcome, error) {
	h.starts.Add(1)
	return h.fakePlatform.Start(ctx, to, s, fence)
}

// startsWithLateHold returns how often the only task is started.
func startsWithLateHold(t *testing.T, late time.Duration, wrong cell.Incarnation) int32 {
	h := &lateHolds{fakePlatform: newFakePlatform(2), late: late, wrong: wrong}
	h.runTakes = time.Second
	ports := portsOf(h, fakeRegistrations{})
	o := h.startOwnerOn(fakeConfig(), ports, timer.NewSystem())
	defer o.Close()
	time.Sleep(2 * time.Second)
	accept(o, 1, 1)
	time.Sleep(10 * time.Second)
	if !h.first.Load() {
		t.Error("no worker has listed an end")
	}
	return h.starts.Load()
}

// Guards against a task that is run again after a worker has listed its end in an answer
// that came after its call had timed out. The answer was dropped, the worker answered no
// further call before its lease had expired, and the task was placed again (issue 56).
func TestLateAnswerThatListsAnEndIsUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// Longer than the call may take after the end, and shorter than the lease.
		if n := startsWithLateHold(t, holdMargin+1300*time.Millisecond, 0); n != 1 {
			t.Errorf("the task was started %d times", n)
		}
	})
}

// Guards against a late answer of an earlier incarnation that counts for a later one, whose
// clock and numbers of ends start anew.
func TestLateAnswerOfAnEarlierIncarnationIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		if n := startsWithLateHold(t, holdMargin+1300*time.Millisecond, -1); n != 2 {
			t.Errorf("the task was started %d times, want 2: its end is not known", n)
		}
	})
}

// Guards against a worker that is taken to be the incarnation that gave a late answer: it may
// have restarted since. The next call must neither renew a lease nor acknowledge an end, and
// a late answer that a later one has overtaken must change nothing.
func TestCallAfterALateAnswerOnlyReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePlatform(1)
		o := p.startOwner()
		defer o.Close()
		time.Sleep(2500 * time.Millisecond)
		onLoop := func(do func(h *holdLoop)) {
			done := make(chan struct{})
			o.put(loopFunc(func(o *Owner) {
				defer close(done)
				do(o.holdLoops[workerID(0)])
			}))
			<-done
		}
		late := func(sentAt time.Time) lateReport {
			return lateReport{report: cell.Report{Incarnation: 1, Clock: p.clock()}, sentAt: sentAt}
		}
		onLoop(func(h *holdLoop) {
			e := late(h.sentAt.Add(-time.Second))
			e.loop = h
			e.apply(o, time.Now())
			if next, _ := o.cell.NextHold(time.Now(), h.id); next.Deadline == 0 {
				t.Error("the answer to an earlier call, which a later one has overtaken, is used")
			}
			e.sentAt = h.sentAt
			e.apply(o, time.Now())
			if next, _ := o.cell.NextHold(time.Now(), h.id); next.Deadline != 0 || next.Acknowledged != 0 {
				t.Errorf("the call after a late answer: %+v", next)
			}
		})
	})
}
