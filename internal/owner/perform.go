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

// Workers makes the calls to workers. A call that meets a higher fencing token
// gives cell.ErrFenced.
type Workers interface {
	Hold(ctx context.Context, p cell.HoldRequest, fence uint64) (cell.Report, error)
	Start(ctx context.Context, to netip.AddrPort, s cell.SendStart, fence uint64) (cell.StartOutcome, error)
	Stop(ctx context.Context, to netip.AddrPort, s cell.SendStop, fence uint64) (time.Duration, error)
	SetPace(ctx context.Context, to netip.AddrPort, p cell.SetPace, fence uint64) error
}

// perform carries out one action of the cell. Its call runs beside the duty.
func (o *Owner) perform(a cell.Action) {
	switch a := a.(type) {
	case cell.SendStart:
		o.start(a)
	case cell.SendStop:
		o.stop(a)
	case cell.SetPace:
		o.setPace(a)
	case cell.RequestReport:
		o.look(a.Worker)
	case cell.Maintenance:
		o.maintenance(a)
	case cell.WaveStatus:
		o.tellWave(a)
	case cell.AskAdvice:
		o.calls.Go(func() { o.put(advised{o.advice.ask(o.ctx, a)}) })
	}
}

func (o *Owner) start(s cell.SendStart) {
	o.startsOut++
	addr, ok := o.cell.Addr(s.Worker)
	if !ok {
		o.put(startAnswered{s, cell.StartOutcome{NotSent: true}})
		return
	}
	o.meters.starts.Inc(1)
	o.calls.Go(func() {
		ctx, cancel := context.WithTimeout(o.ctx, orderTimeout)
		defer cancel()
		outcome, err := o.workers.Start(ctx, addr, s, o.Epoch())
		if err != nil {
			o.log.Warn("start failed", zap.String("Job", string(s.Task.Job)), zap.Stringer("Task", s.Task),
				zap.String("Worker", string(s.Worker)), zap.Error(err))
		}
		if outcome.Refused == cell.RefusedFence {
			o.fenced("start", s.Worker)
		}
		o.put(startAnswered{s, outcome})
	})
}

func (o *Owner) stop(s cell.SendStop) {
	addr, ok := o.cell.Addr(s.Worker)
	key := runKey{s.Worker, s.Task, s.Run}
	if !ok || o.stops[key] {
		return // the cell repeats stops until their run has ended
	}
	o.stops[key] = true
	o.order(orderStop, func(ctx context.Context) {
		clock, err := o.workers.Stop(ctx, addr, s, o.Epoch())
		if err != nil {
			o.failed("stop", s.Worker, err, zap.String("Job", string(s.Task.Job)), zap.Stringer("Task", s.Task))
		}
		o.put(stopEnded{s, clock, err})
	})
}

// setPace sets the pace of a run, or the next one if a change of its pace waits or
// is on its way: calls on different connections may overtake each other.
func (o *Owner) setPace(p cell.SetPace) {
	addr, ok := o.cell.Addr(p.Worker)
	if !ok {
		return
	}
	key := runKey{p.Worker, p.Task, p.Run}
	_, open := o.paces[key]
	o.paces[key] = p.Percent
	if open {
		return
	}
	o.order(orderPace, func(ctx context.Context) {
		err := o.workers.SetPace(ctx, addr, p, o.Epoch())
		if err != nil {
			o.failed("set pace", p.Worker, err, zap.String("Job", string(p.Task.Job)), zap.Stringer("Task", p.Task))
		}
		o.put(paceEnded{p, err})
	})
}

// failed notes a call to a worker that did not succeed.
func (o *Owner) failed(op string, id cell.WorkerID, err error, about ...zap.Field) {
	if errors.Is(err, cell.ErrFenced) {
		o.fenced(op, id)
		return
	}
	if o.ctx.Err() == nil {
		o.log.Warn(op+" failed", append(about, zap.String("Worker", string(id)), zap.Error(err))...)
	}
}

// fenced ends the owner: a worker has heard of a later one.
func (o *Owner) fenced(op string, id cell.WorkerID) {
	o.end(fault.New(op, KindReplaced, "worker %s has seen a later owner than epoch %d", id, o.Epoch()))
}
