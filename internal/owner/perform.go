package owner

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/fault"
)

// Workers makes the calls to workers. A call to a worker that has seen a higher
// fencing token fails with cell.ErrFenced.
type Workers interface {
	Hold(ctx context.Context, p cell.HoldRequest, fence uint64) (cell.Report, error)
	Start(ctx context.Context, to netip.AddrPort, s cell.SendStart, fence uint64) (cell.StartOutcome, error)
	Stop(ctx context.Context, to netip.AddrPort, s cell.SendStop, fence uint64) (time.Duration, error)
	SetPace(ctx context.Context, to netip.AddrPort, p cell.SetPace, fence uint64) error
}

// perform performs one action of the cell. Its call runs in a goroutine of its own.
func (o *Owner) perform(a cell.Action) {
	switch a := a.(type) {
	case cell.SendStart:
		o.start(a)
	case cell.SendStop:
		o.stop(a)
	case cell.SetPace:
		o.setPace(a)
	case cell.RequestReport:
		o.requestReport(a.Worker)
	case cell.Maintenance:
		o.maintenance(a)
	case cell.WaveStatus:
		o.publishWave(a)
	case cell.AskAdvice:
		o.calls.Go(func() { o.put(advised{o.advice.ask(o.ctx, a)}) })
	}
}

func (o *Owner) start(s cell.SendStart) {
	o.starts.sent(runKey{s.Worker, s.Task, s.Run}, o.callClock.elapsed())
	addr, ok := o.cell.Addr(s.Worker)
	if !ok {
		// The event loop itself must not wait for space in its queue.
		o.calls.Go(func() { o.put(startReturned{start: s, outcome: cell.StartOutcome{NotSent: true}}) })
		return
	}
	o.metrics.starts.Inc(1)
	sent := o.timers.Now()
	o.calls.Go(func() {
		ctx, end := o.beginCall(callStart, orderTimeout)
		defer end()
		outcome, err := o.workers.Start(ctx, addr, s, o.Epoch())
		if err != nil {
			o.log.Warn("start failed", zap.String("Job", string(s.Task.Job)), zap.Stringer("Task", s.Task),
				zap.String("Worker", string(s.Worker)), zap.Error(err))
		}
		if outcome.Refused == cell.RefusedFence {
			o.endFenced("start", s.Worker)
		}
		o.put(startReturned{s, outcome, o.timers.Now().Sub(sent)})
	})
}

func (o *Owner) stop(s cell.SendStop) {
	addr, ok := o.cell.Addr(s.Worker)
	key := runKey{s.Worker, s.Task, s.Run}
	if !ok || o.pendingStops[key] {
		return // the cell retries stops until their run has ended
	}
	o.pendingStops[key] = true
	o.order(callStop, s.Worker, func(ctx context.Context) error {
		var clock time.Duration
		ctx, release, err := o.withAuthority(ctx, "stop")
		defer release()
		if err == nil {
			clock, err = o.workers.Stop(ctx, addr, s, o.Epoch())
		}
		if err != nil {
			o.handleFailure("stop", s.Worker, err, zap.String("Job", string(s.Task.Job)), zap.Stringer("Task", s.Task))
		}
		o.put(stopReturned{s, clock, err})
		return err
	})
}

// setPace sets the pace of a run. If a change of its pace is queued or in flight, it
// stores the new pace to be sent afterwards, since calls on different connections
// may overtake each other.
func (o *Owner) setPace(p cell.SetPace) {
	addr, ok := o.cell.Addr(p.Worker)
	if !ok {
		return
	}
	key := runKey{p.Worker, p.Task, p.Run}
	_, inFlight := o.wantedPaces[key]
	o.wantedPaces[key] = p.Percent
	if inFlight {
		return
	}
	o.order(callPace, p.Worker, func(ctx context.Context) error {
		var err error
		if p.Percent > 0 {
			// Reducing the pace to 0 must also work while the store is unavailable.
			var release context.CancelFunc
			ctx, release, err = o.withAuthority(ctx, "set pace")
			defer release()
		}
		if err == nil {
			err = o.workers.SetPace(ctx, addr, p, o.Epoch())
		}
		if err != nil {
			o.handleFailure("set pace", p.Worker, err, zap.String("Job", string(p.Task.Job)), zap.Stringer("Task", p.Task))
		}
		o.put(paceReturned{p, err})
		return err
	})
}

// handleFailure logs a failed call to a worker, or ends the owner if the worker
// refused its fencing token.
func (o *Owner) handleFailure(op string, id cell.WorkerID, err error, fields ...zap.Field) {
	if errors.Is(err, cell.ErrFenced) {
		o.endFenced(op, id)
		return
	}
	if o.ctx.Err() == nil {
		o.log.Warn(op+" failed", append(fields, zap.String("Worker", string(id)), zap.Error(err))...)
	}
}

// endFenced ends the owner, since a worker has seen the epoch of a later one.
func (o *Owner) endFenced(op string, id cell.WorkerID) {
	o.end(fault.New(op, KindReplaced, "worker %s has seen a higher epoch than %d", id, o.Epoch()))
}
