package owner

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/cell"
)

const (
	// holdMargin is how much longer than the wait of a hold call its response may
	// take.
	holdMargin = 900 * time.Millisecond
	// holdBackoff is the delay after a failed hold call. It grows with each
	// consecutive failure, up to maxHoldBackoff.
	holdBackoff    = 100 * time.Millisecond
	maxHoldBackoff = 400 * time.Millisecond
	// ackWait is how long a hold call is delayed until the ends reported by the
	// previous one are durable, so that it can acknowledge them.
	ackWait = 200 * time.Millisecond
)

// holdLoop makes the hold calls to one worker, one after the other. A hold call is a
// long poll that renews the worker's lease and returns its report.
type holdLoop struct {
	id cell.WorkerID
	// requests passes the next call to the goroutine of the loop.
	requests chan cell.HoldRequest
	// position is that in the holdQueue, and due is when the loop is next examined.
	position int
	due      time.Time
	// acknowledging is set while the loop is among those that wait for a commit.
	acknowledging bool
	// notBefore is the earliest time of the next call, and idleSince is when the
	// last one returned.
	notBefore time.Time
	idleSince time.Time
	// sentAt is when the last call was passed to the goroutine of the loop.
	sentAt time.Time
	// failures counts the calls that have failed since the last success.
	failures int
	// begunAt is when the loop began, and answered is set once its first call has
	// returned.
	begunAt  time.Time
	answered bool
}

type reported struct {
	loop   *holdLoop
	report cell.Report
}

func (e reported) apply(o *Owner, now time.Time) {
	if o.lookUpJobs(e.loop.id, &e.report, e, holdFailed{e.loop, errJobsUnread}) {
		return
	}
	if e.loop.failures > 0 {
		o.log.Info("worker responds again", zap.String("Worker", string(e.loop.id)), zap.Int("Failures", e.loop.failures))
	}
	e.loop.failures = 0
	o.setSilent(e.loop.id, false)
	e.loop.answered = true
	e.loop.idleSince = now
	o.idleHolds.add(e.loop, now)
	e.report.Age = now.Sub(e.loop.sentAt)
	o.cell.Reported(now, e.loop.id, e.report)
}

// requestReport requests an immediate report from a worker, in addition to the calls
// of its holdLoop.
func (o *Owner) requestReport(id cell.WorkerID) {
	now := o.timers.Now()
	request, ok := o.cell.NextHold(now, id)
	if !ok || !request.Addr.IsValid() {
		return
	}
	request.Wait = 0
	o.calls.Go(func() {
		ctx, end := o.beginCall(callReport, holdMargin)
		defer end()
		report, err := o.workers.Hold(ctx, request, o.Epoch())
		if err != nil {
			o.handleFailure("request report", id, err)
			return
		}
		o.put(reportReceived{id, report, now})
	})
}

type reportReceived struct {
	id     cell.WorkerID
	report cell.Report
	// sentAt is when the report was requested.
	sentAt time.Time
}

func (e reportReceived) apply(o *Owner, now time.Time) {
	if o.lookUpJobs(e.id, &e.report, e, noEvent{}) {
		return
	}
	e.report.Age = now.Sub(e.sentAt)
	o.cell.Reported(now, e.id, e.report)
	if h, ok := o.holdLoops[e.id]; ok {
		o.idleHolds.advance(h, now)
	}
}

type holdFailed struct {
	loop *holdLoop
	err  error
}

func (e holdFailed) apply(o *Owner, now time.Time) {
	h := e.loop
	h.failures++
	h.answered = true
	if h.failures == 1 && o.ctx.Err() == nil {
		o.log.Warn("worker does not answer", zap.String("Worker", string(h.id)), zap.Error(e.err))
	}
	o.setSilent(h.id, true)
	o.cell.HoldFailed(h.id)
	h.idleSince = now
	h.notBefore = now.Add(min(time.Duration(h.failures)*holdBackoff, maxHoldBackoff))
	o.idleHolds.add(h, h.notBefore)
}

// startHoldCalls starts a holdLoop for each worker whose address has become known, as
// firstHolds allows, passes each loop that is due its next call, and ends the loops of
// workers that need no more calls.
func (o *Owner) startHoldCalls(now time.Time) {
	o.firstHolds.add(o.cell.TakeNewAddrs())
	for {
		id, ok := o.firstHolds.next(now)
		if !ok {
			break
		}
		if _, known := o.holdLoops[id]; !known {
			o.startHoldLoop(now, id)
		}
	}
	for h := o.idleHolds.next(now); h != nil; h = o.idleHolds.next(now) {
		request, ok := o.cell.NextHold(now, h.id)
		if !ok || !request.Addr.IsValid() {
			close(h.requests)
			delete(o.holdLoops, h.id)
			continue
		}
		if durableBy := h.idleSince.Add(ackWait); request.EndsPending && now.Before(durableBy) {
			o.idleHolds.addAcknowledging(h, durableBy)
			continue
		}
		h.sentAt = now
		h.requests <- request
	}
}

// startHoldLoop starts the goroutine that makes the hold calls of a worker.
func (o *Owner) startHoldLoop(now time.Time, id cell.WorkerID) {
	h := &holdLoop{id: id, requests: make(chan cell.HoldRequest, 1), position: notIdle, idleSince: now, begunAt: now}
	o.holdLoops[id] = h
	o.idleHolds.add(h, now)
	o.firstHolds.begin(h)
	o.calls.Go(func() {
		for request := range h.requests {
			o.put(o.callHold(h, request))
		}
	})
}

// endHoldLoops ends the loops of all workers.
func (o *Owner) endHoldLoops() {
	for _, h := range o.holdLoops {
		close(h.requests)
	}
}

func (o *Owner) callHold(h *holdLoop, request cell.HoldRequest) event {
	ctx, end := o.beginHold(request.Wait)
	defer end()
	report, err := o.workers.Hold(ctx, request, o.Epoch())
	if errors.Is(err, cell.ErrFenced) {
		o.endFenced("hold", h.id)
	}
	if err != nil {
		return holdFailed{h, err}
	}
	return reported{h, report}
}
