package relay

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/lateanswer"
	"cicadabarrow.example/cicadabarrow/internal/message"
	"cicadabarrow.example/cicadabarrow/internal/peer"
	"cicadabarrow.example/cicadabarrow/internal/timer"
)

const (
	// workerShare is the share of the time left, beyond the wait of a hold, in which
	// the worker has to answer the relay, and relayShare the share in which the relay
	// has to answer the owner. The rest is left for another relay.
	workerShare = 0.5
	relayShare  = 0.7
	// orderShare is the share of the time of an order in which the worker has to
	// answer the relay.
	orderShare = 0.85
	// defaultTimeout is the time for a call whose context has no deadline.
	defaultTimeout = 1 * time.Second
	// minTimeLeft is the least time for a call. This process may have been late, and the
	// context of the call lets it take longer by that delay.
	minTimeLeft = 300 * time.Millisecond
	// deadlineTolerance is by how much this process may notice the end of a timeout late.
	// Beyond that it lacks processor time itself, and the answer may wait unread.
	deadlineTolerance = 50 * time.Millisecond
	// maxHoldRelays is the number of relays that a hold call is made through before
	// the owner makes it itself.
	maxHoldRelays = 2
)

// timeLeft returns the time until a call that waits at its worker is due to end, without
// that wait.
func (r *Router) timeLeft(ctx context.Context, wait time.Duration) time.Duration {
	if deadline, ok := timer.SoftDeadline(ctx); ok {
		return max(time.Until(deadline)-wait, minTimeLeft)
	}
	return defaultTimeout
}

func share(d time.Duration, of float64) time.Duration { return time.Duration(float64(d) * of) }

// Hold makes a hold call. If its relay fails, another one makes it at once.
func (r *Router) Hold(ctx context.Context, request cell.HoldRequest, epoch uint64) (cell.Report, error) {
	relay := r.route(request.Worker)
	for attempt := 1; relay != nil && attempt <= maxHoldRelays; attempt++ {
		report, err := r.relayedHold(ctx, relay, request, epoch)
		if err == nil || errors.Is(err, cell.ErrFenced) || ctx.Err() != nil {
			return report, err
		}
		if !hadNoEffect(err) {
			request = request.ReadOnly() // the worker may have restarted since
		}
		next := r.alternative(request.Worker, relay)
		if workerFailed(err) {
			r.avoid(request.Worker, relay)
			if next == nil || attempt == maxHoldRelays {
				return report, err
			}
		}
		relay = next
	}
	r.metrics.direct.Inc(1)
	return r.direct.Hold(ctx, request, epoch)
}

// workerFailed reports whether a relay did not reach the worker.
func workerFailed(err error) bool {
	return fault.Is(err, KindWorkerSilent) || fault.Is(err, KindNotSent)
}

// relayedHold makes a hold call through a relay.
func (r *Router) relayedHold(
	ctx context.Context, relay *relayState, request cell.HoldRequest, epoch uint64,
) (cell.Report, error) {
	margin := r.timeLeft(ctx, request.Wait)
	outstanding := r.outstanding(relay)
	ctx, cancel := context.WithTimeout(ctx, request.Wait+share(margin, relayShare))
	defer cancel()
	defer context.AfterFunc(outstanding, cancel)()
	common := message.WorkerCall{Epoch: epoch, Timeout: request.Wait + share(margin, workerShare), Addr: request.Addr}
	hold := message.EncodeWorkerHold(message.WorkerHold{WorkerCall: common, Request: request})
	reply, err := r.ask(r.withLateReport(ctx), relay, hold)
	if err != nil {
		return cell.Report{}, err
	}
	m, err := message.DecodeWorkerReport(reply)
	if err != nil {
		return cell.Report{}, fault.New("hold", KindRelaySilent, "%w", err)
	}
	return m.Report, r.result("hold", m.WorkerResult)
}

// withLateReport returns a context for a hold call. A report that a relay gives after the call
// has been given up goes to the function of the context that takes late reports, if there is
// one.
func (r *Router) withLateReport(ctx context.Context) context.Context {
	take := lateanswer.From[cell.Report](ctx)
	if take == nil {
		return ctx
	}
	return lateanswer.With(ctx, func(reply peer.Message) {
		m, err := message.DecodeWorkerReport(reply)
		if err == nil && m.Failure == message.WorkerAnswered {
			r.metrics.late.Inc(1)
			take(m.Report)
		}
	})
}

// outstanding returns the context that ends when the relay fails.
func (r *Router) outstanding(relay *relayState) context.Context {
	r.mu.Lock()
	defer r.mu.Unlock()
	return relay.outstanding
}

// ask passes a call to a relay. Its error tells whether the relay certainly did not
// make the call.
func (r *Router) ask(ctx context.Context, relay *relayState, m peer.Message) (peer.Message, error) {
	const op = "relay"
	_, reply, err := r.peers.Ask(ctx, relay.addr, m)
	if err == nil {
		relay.misses.Store(0)
		return reply, nil
	}
	if errors.Is(err, peer.ErrBusy) {
		relay.misses.Store(0)
	} else if deadline, ok := ctx.Deadline(); !ok || time.Since(deadline) < deadlineTolerance {
		r.missed(relay, err)
	}
	kind := KindRelaySilent
	if fault.Is(err, peer.KindNotSent) || fault.Is(err, peer.KindRefused) {
		kind = KindRefused
	}
	r.metrics.outcomes[kind].Inc(1)
	return reply, fault.New(op, kind, "%w", err)
}

// result counts the result of a call that a relay has answered, and returns its error.
func (r *Router) result(op string, result message.WorkerResult) error {
	kind := Kind("")
	switch result.Failure {
	case message.WorkerAnswered:
	case message.WorkerNotSent, message.WorkerNeedsSpec:
		kind = KindNotSent
	case message.WorkerSilent:
		kind = KindWorkerSilent
	case message.WorkerFenced:
		kind = KindFenced
	}
	r.metrics.outcomes[kind].Inc(1)
	if kind == "" {
		return nil
	}
	if kind == KindFenced {
		return fault.New(op, kind, "%w", cell.ErrFenced)
	}
	return fault.New(op, kind, "%s", result.Error)
}

// Start starts a run. It tries a second way only if the first relay has certainly not
// sent the start.
func (r *Router) Start(ctx context.Context, to netip.AddrPort, s cell.SendStart, epoch uint64) (cell.StartOutcome, error) {
	var outcome cell.StartOutcome
	err := r.order(ctx, s.Worker, func(relay *relayState) (err error) {
		if relay == nil {
			outcome, err = r.direct.Start(ctx, to, s, epoch)
			return err
		}
		outcome, err = r.relayedStart(ctx, relay, to, s, epoch)
		return err
	})
	return outcome, err
}

func (r *Router) relayedStart(
	ctx context.Context, relay *relayState, to netip.AddrPort, s cell.SendStart, epoch uint64,
) (cell.StartOutcome, error) {
	const op = "start"
	call := message.WorkerStart{Start: s}
	abbreviated := relay.specs.abbreviate(&call)
	m, err := r.askStart(ctx, relay, to, call, epoch)
	if err == nil && abbreviated && m.Failure == message.WorkerNeedsSpec {
		call.Start.Spec = s.Spec
		m, err = r.askStart(ctx, relay, to, call, epoch)
	}
	if err != nil {
		return cell.StartOutcome{NotSent: hadNoEffect(err), Unknown: !hadNoEffect(err)}, err
	}
	err = r.result(op, m.WorkerResult)
	if err != nil && !m.Outcome.NotSent && m.Outcome.Refused == "" {
		m.Outcome.Unknown = true
	}
	if hadNoEffect(err) && !m.Outcome.NotSent {
		err = fault.New(op, KindWorkerSilent, "%s", m.Error)
	}
	return m.Outcome, err
}

// askStart passes a start to a relay.
func (r *Router) askStart(
	ctx context.Context, relay *relayState, to netip.AddrPort, call message.WorkerStart, epoch uint64,
) (message.WorkerStarted, error) {
	call.WorkerCall = r.workerCall(ctx, to, epoch)
	reply, err := r.ask(ctx, relay, message.EncodeWorkerStart(call))
	if err != nil {
		return message.WorkerStarted{}, err
	}
	m, err := message.DecodeWorkerStarted(reply)
	if err != nil {
		return m, fault.New("start", KindRelaySilent, "%w", err)
	}
	return m, nil
}

// workerCall returns the common part of an order that is passed to a relay.
func (r *Router) workerCall(ctx context.Context, to netip.AddrPort, epoch uint64) message.WorkerCall {
	return message.WorkerCall{Epoch: epoch, Timeout: share(r.timeLeft(ctx, 0), orderShare), Addr: to}
}

// order makes an order through the relay of a worker, and in one other way if the
// relay has certainly not sent it. The relay is nil if the owner makes the order.
func (r *Router) order(ctx context.Context, id cell.WorkerID, call func(*relayState) error) error {
	relay := r.route(id)
	if relay != nil {
		err := call(relay)
		if err == nil || !hadNoEffect(err) || ctx.Err() != nil {
			return err
		}
		relay = r.alternative(id, relay)
	}
	if relay == nil {
		r.metrics.direct.Inc(1)
	}
	return call(relay)
}

// Stop stops a run and returns the worker's clock.
func (r *Router) Stop(ctx context.Context, to netip.AddrPort, s cell.SendStop, epoch uint64) (time.Duration, error) {
	var clock time.Duration
	err := r.order(ctx, s.Worker, func(relay *relayState) (err error) {
		if relay == nil {
			clock, err = r.direct.Stop(ctx, to, s, epoch)
			return err
		}
		common := r.workerCall(ctx, to, epoch)
		clock, err = r.command(ctx, relay, "stop", message.EncodeWorkerStop(message.WorkerStop{WorkerCall: common, Stop: s}))
		return err
	})
	return clock, err
}

// SetPace sets the pace of a run.
func (r *Router) SetPace(ctx context.Context, to netip.AddrPort, p cell.SetPace, epoch uint64) error {
	return r.order(ctx, p.Worker, func(relay *relayState) error {
		if relay == nil {
			return r.direct.SetPace(ctx, to, p, epoch)
		}
		common := r.workerCall(ctx, to, epoch)
		_, err := r.command(ctx, relay, "set pace", message.EncodeWorkerPace(message.WorkerPace{WorkerCall: common, Pace: p}))
		return err
	})
}

// command passes an order to a relay that answers with WorkerDone.
func (r *Router) command(ctx context.Context, relay *relayState, op string, m peer.Message) (time.Duration, error) {
	reply, err := r.ask(ctx, relay, m)
	if err != nil {
		return 0, err
	}
	done, err := message.DecodeWorkerDone(reply)
	if err != nil {
		return 0, fault.New(op, KindRelaySilent, "%w", err)
	}
	return done.Clock, r.result(op, done.WorkerResult)
}
