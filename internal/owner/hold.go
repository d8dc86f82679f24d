package owner

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/cell"
)

const (
	// holdMargin is how long an answer may take beyond the worker's wait.
	holdMargin = 900 * time.Millisecond
	// holdPause and maxHoldPause bound the wait after holds that failed.
	holdPause    = 100 * time.Millisecond
	maxHoldPause = 400 * time.Millisecond
	// ackPatience is how long a hold waits for the ends of the last one to be
	// durable, so that it can acknowledge them.
	ackPatience = 200 * time.Millisecond
)

// holder calls one worker again and again.
type holder struct {
	id cell.WorkerID
	// plans carries the next call to the holder's goroutine.
	plans chan cell.HoldRequest
	// idle is set while the goroutine waits for a plan.
	idle bool
	// after is when the next call may be made, ready is since when it could.
	after time.Time
	ready time.Time
	// failures counts the calls that failed since the last that did not.
	failures int
}

type reported struct {
	holder *holder
	report cell.Report
}

func (e reported) apply(o *Owner, now time.Time) {
	if e.holder.failures > 0 {
		o.log.Info("worker answers again", zap.String("Worker", string(e.holder.id)), zap.Int("Failures", e.holder.failures))
	}
	e.holder.failures = 0
	e.holder.idle = true
	e.holder.ready = now
	o.cell.Reported(now, e.holder.id, e.report)
}

// look asks a worker for a report beside its holder.
func (o *Owner) look(id cell.WorkerID) {
	plan, ok := o.cell.NextHold(o.timers.Now(), id)
	if !ok || !plan.Addr.IsValid() {
		return
	}
	plan.Wait = 0
	o.calls.Go(func() {
		ctx, cancel := context.WithTimeout(o.ctx, holdMargin)
		defer cancel()
		report, err := o.workers.Hold(ctx, plan, o.Epoch())
		if err != nil {
			o.failed("look", id, err)
			return
		}
		o.put(looked{id, report})
	})
}

type looked struct {
	id     cell.WorkerID
	report cell.Report
}

func (e looked) apply(o *Owner, now time.Time) { o.cell.Reported(now, e.id, e.report) }

type holdFailed struct {
	holder *holder
	err    error
}

func (e holdFailed) apply(o *Owner, now time.Time) {
	h := e.holder
	h.failures++
	if h.failures == 1 && o.ctx.Err() == nil {
		o.log.Warn("worker does not answer", zap.String("Worker", string(h.id)), zap.Error(e.err))
	}
	o.cell.HoldFailed(h.id)
	h.idle = true
	h.ready = now
	h.after = now.Add(min(time.Duration(h.failures)*holdPause, maxHoldPause))
}

// plan gives each holder that waits its next call.
func (o *Owner) plan(now time.Time) {
	for _, id := range o.cell.Workers() {
		if _, ok := o.holds[id]; !ok {
			o.hold(now, id)
		}
	}
	for id, h := range o.holds {
		if !h.idle || now.Before(h.after) {
			continue
		}
		plan, ok := o.cell.NextHold(now, id)
		if !ok {
			close(h.plans)
			delete(o.holds, id)
			continue
		}
		if !plan.Addr.IsValid() || plan.EndsPending && now.Sub(h.ready) < ackPatience {
			continue
		}
		h.idle = false
		h.plans <- plan
	}
}

// hold starts to call a worker.
func (o *Owner) hold(now time.Time, id cell.WorkerID) {
	h := &holder{id: id, plans: make(chan cell.HoldRequest, 1), idle: true, ready: now}
	o.holds[id] = h
	o.calls.Go(func() {
		for {
			select {
			case plan, open := <-h.plans:
				if !open {
					return
				}
				o.put(o.callHold(h, plan))
			case <-o.ctx.Done():
				return
			}
		}
	})
}

func (o *Owner) callHold(h *holder, plan cell.HoldRequest) event {
	ctx, cancel := context.WithTimeout(o.ctx, plan.Wait+holdMargin)
	defer cancel()
	report, err := o.workers.Hold(ctx, plan, o.Epoch())
	if errors.Is(err, cell.ErrFenced) {
		o.fenced("hold", h.id)
	}
	if err != nil {
		return holdFailed{h, err}
	}
	return reported{h, report}
}
