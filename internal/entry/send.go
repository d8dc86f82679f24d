package entry

import (
	"context"
	"net/http"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/message"
	"cicadabarrow.example/cicadabarrow/internal/platform"
	"cicadabarrow.example/cicadabarrow/internal/upstream"
)

const (
	// minSendTime is the minimum time before the deadline for a request to be
	// sent.
	minSendTime = 5 * time.Millisecond
	// maxSends limits the attempts to send one request to instances of a group.
	maxSends = 3
)

// send makes one attempt to send a request to an instance.
func (o *GroupOwner) send(p *pendingRequest, instance platform.Host) {
	r := p.request
	timeLeft := p.deadline.Sub(o.timers.Now())
	ctx, cancel := context.WithTimeout(o.ctx, max(timeLeft, 0))
	defer cancel()
	var reply platform.UpstreamResponse
	err := fault.New("send", KindUnavailable, "no time is left")
	if timeLeft > minSendTime {
		// The authority is checked right before the request is sent.
		err = o.guard.MayAct(o.gained.Unit, o.gained.Epoch)
		if err != nil {
			err = fault.New("send", KindNotOwner, "%w", err)
		} else {
			reply, err = o.plat.Upstreams.Send(ctx, instance, platform.UpstreamRequest{
				ID: r.ID, IdempotencyKey: r.Key, Idempotent: r.Idempotent, Deadline: timeLeft,
				Method: r.Method, Path: r.Path, Body: r.Body,
			})
		}
	}
	o.post(func(now time.Time) { o.handleResult(p, instance.Name, reply, err, now) })
}

func (o *GroupOwner) handleResult(p *pendingRequest, instance string, reply platform.UpstreamResponse, err error, now time.Time) {
	id := p.request.ID
	result := resultOf(reply, err)
	p.inFlight = false
	p.mayHaveRun = p.mayHaveRun || result == upstream.ResultUnknown
	o.applyDecisions(o.group.Finished(instance, id, result, reply.Leaving, now))
	switch {
	case err == nil:
		o.finish(p, message.Answer{ID: id, Outcome: message.OutcomeAnswered, Status: reply.Status, Body: reply.Body})
	case result == upstream.ResultNotSent:
		o.finish(p, notRun(id, err.Error()))
	case (result == upstream.ResultNotRun || p.request.Idempotent) && o.retry(p, instance, now):
	case result == upstream.ResultNotRun:
		o.finish(p, notRun(id, err.Error()))
	default:
		o.finish(p, message.Answer{ID: id, Outcome: message.OutcomeUnknown, Reason: err.Error()})
	}
}

func resultOf(reply platform.UpstreamResponse, err error) upstream.Result {
	switch {
	case err == nil && reply.Status >= http.StatusInternalServerError:
		return upstream.ResultFailed
	case err == nil:
		return upstream.ResultAnswered
	case fault.Is(err, KindNotOwner), fault.Is(err, KindUnavailable):
		return upstream.ResultNotSent
	case fault.Is(err, platform.KindNotRun), fault.Is(err, platform.KindInvalid):
		return upstream.ResultNotRun
	}
	return upstream.ResultUnknown
}

// retry sends a request to another instance after a backoff, if the deadline
// and the retry budget allow it.
func (o *GroupOwner) retry(p *pendingRequest, avoid string, now time.Time) bool {
	backoff := upstream.Backoff(p.sends, o.random)
	if p.sends >= maxSends || p.deadline.Sub(now) <= backoff+minSendTime || !o.retryBudget.Spend() {
		return false
	}
	o.work.Go(func() {
		wait := o.timers.After(backoff)
		defer wait.Stop()
		select {
		case <-wait.C:
		case <-o.ctx.Done():
			return
		}
		o.post(func(now time.Time) {
			if o.pending[p.request.ID] == p {
				o.enqueue(p, avoid, now)
			}
		})
	})
	return true
}
