package host

import (
	"context"
	"net/netip"
	"strings"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/intake"
	"cicadabarrow.example/cicadabarrow/internal/ledger"
	"cicadabarrow.example/cicadabarrow/internal/message"
	"cicadabarrow.example/cicadabarrow/internal/owner"
	"cicadabarrow.example/cicadabarrow/internal/peer"
)

// callHandler answers calls of one kind.
type callHandler func(ctx context.Context, m peer.Message) (peer.Message, error)

// decodeAndHandle returns a handler that decodes the message of a call and
// passes it to answer.
func decodeAndHandle[Q any](
	decode func(peer.Message) (Q, error), answer func(context.Context, Q) (peer.Message, error),
) callHandler {
	return func(ctx context.Context, m peer.Message) (peer.Message, error) {
		q, err := decode(m)
		if err != nil {
			return peer.Message{}, err
		}
		return answer(ctx, q)
	}
}

// callHandlers returns the handlers of all kinds of calls.
func (h *Host) callHandlers() map[uint8]callHandler {
	return map[uint8]callHandler{
		message.KindHostPing: decodeAndHandle(message.DecodeHostPing, func(_ context.Context, ping message.HostPing) (peer.Message, error) {
			return message.EncodeOwnerPong(h.pong(ping)), nil
		}),
		message.KindManifestRequest: decodeAndHandle(message.DecodeManifestRequest, func(_ context.Context, q message.ManifestRequest) (peer.Message, error) {
			return message.EncodeManifestContent(message.ManifestContent{Content: h.passManifest(q.Version)}), nil
		}),
		message.KindStepAdviceRequest: decodeAndHandle(message.DecodeStepAdviceRequest, func(ctx context.Context, q message.StepAdviceRequest) (peer.Message, error) {
			return message.EncodeStepAdvice(h.handleStepAdviceRequest(ctx, q)), nil
		}),
		message.KindIntakeNotice: decodeAndHandle(message.DecodeIntakeNotice, func(_ context.Context, notice message.IntakeNotice) (peer.Message, error) {
			h.handleIntakeNotice(notice)
			return message.EncodeIntakeAck(message.IntakeAck{}), nil
		}),
		message.KindRelayedSubmit: decodeAndHandle(message.DecodeRelayedSubmit, func(ctx context.Context, r message.RelayedSubmit) (peer.Message, error) {
			return message.EncodeRelayReply(h.handleRelayedSubmit(ctx, r)), nil
		}),
		message.KindRelayedCancel:    decodeAndHandle(message.DecodeRelayedCancel, h.handleRelayedCancel),
		message.KindQueueCancel:      decodeAndHandle(message.DecodeRelayedCancel, h.handleRelayedCancel),
		message.KindAccountCancel:    decodeAndHandle(message.DecodeRelayedCancel, h.handleRelayedCancel),
		message.KindJobLookup:        decodeAndHandle(message.DecodeJobLookup, h.lookUpJob),
		message.KindQueueJobLookup:   decodeAndHandle(message.DecodeJobLookup, h.lookUpJob),
		message.KindAccountJobLookup: decodeAndHandle(message.DecodeJobLookup, h.lookUpJob),
		message.KindQueueLookup:      decodeAndHandle(message.DecodeQueueLookup, h.lookUpQueue),
		message.KindCellLookup:       decodeAndHandle(message.DecodeCellLookup, h.lookUpCell),
		message.KindWorkerHold: decodeAndHandle(message.DecodeWorkerHold, func(ctx context.Context, c message.WorkerHold) (peer.Message, error) {
			report, err := h.relayServer.Hold(ctx, c)
			return message.EncodeWorkerReport(report), err
		}),
		message.KindWorkerStart: decodeAndHandle(message.DecodeWorkerStart, func(ctx context.Context, c message.WorkerStart) (peer.Message, error) {
			started, err := h.relayServer.Start(ctx, c)
			return message.EncodeWorkerStarted(started), err
		}),
		message.KindWorkerStop: decodeAndHandle(message.DecodeWorkerStop, func(ctx context.Context, c message.WorkerStop) (peer.Message, error) {
			done, err := h.relayServer.Stop(ctx, c)
			return message.EncodeWorkerDone(done), err
		}),
		message.KindWorkerPace: decodeAndHandle(message.DecodeWorkerPace, func(ctx context.Context, c message.WorkerPace) (peer.Message, error) {
			done, err := h.relayServer.SetPace(ctx, c)
			return message.EncodeWorkerDone(done), err
		}),
	}
}

// unexpectedKind begins the error of a host that does not know the kind of a call.
const unexpectedKind = "unexpected message of kind"

// call is a call to a peer. earlier is the call with which hosts of earlier releases
// ask the same; its kind is 0 if there is none.
type call struct {
	message peer.Message
	earlier peer.Message
}

// ask makes a call, and the earlier call if the peer does not know the first one.
func (h *Host) ask(ctx context.Context, to netip.AddrPort, c call) (peer.Host, peer.Message, error) {
	from, reply, err := h.peers.Ask(ctx, to, c.message)
	if c.earlier.Kind != 0 && fault.Is(err, peer.KindRefused) && strings.Contains(err.Error(), unexpectedKind) {
		return h.peers.Ask(ctx, to, c.earlier)
	}
	return from, reply, err
}

// Handle answers a call of a peer.
func (h *Host) Handle(ctx context.Context, _ peer.Host, m peer.Message) (peer.Message, error) {
	handler, ok := h.handlers[m.Kind]
	if !ok {
		return peer.Message{}, fault.New("handle", KindInvalid, unexpectedKind+" %d", m.Kind)
	}
	return handler(ctx, m)
}

// handleStepAdviceRequest queries the advice service on behalf of the owner.
func (h *Host) handleStepAdviceRequest(ctx context.Context, q message.StepAdviceRequest) message.StepAdvice {
	ctx, cancel := context.WithTimeout(ctx, q.Timeout)
	defer cancel()
	advice, err := h.platform.Advisor.Advise(ctx, q.Step, q.Workers)
	if err != nil {
		h.log.Warn("no advice for a step", zap.String("Job", string(q.Step.Job)), zap.Stringer("Step", q.Step), zap.Error(err))
		return message.StepAdvice{Failed: true}
	}
	return message.StepAdvice{Valid: advice.Valid, Allowed: advice.Allowed}
}

func (h *Host) lookUpJob(ctx context.Context, q message.JobLookup) (peer.Message, error) {
	ready := h.readyOwner()
	if ready == nil {
		return peer.Message{}, errNotOwner
	}
	job, err := ready.Job(ctx, q.ID)
	if err != nil {
		return peer.Message{}, err
	}
	if !q.Scope.Contains(job.Queue, job.Account) {
		job = owner.JobState{}
	}
	return message.EncodeJobLookupReply(message.JobLookupReply{Known: job.Known, State: job.State, Cause: job.Cause}), nil
}

func (h *Host) lookUpQueue(ctx context.Context, q message.QueueLookup) (peer.Message, error) {
	ready := h.readyOwner()
	if ready == nil {
		return peer.Message{}, errNotOwner
	}
	pending, err := ready.Pending(ctx, q.Queue)
	if err != nil {
		return peer.Message{}, err
	}
	return message.EncodeQueueLookupReply(message.QueueLookupReply{Pending: pending}), nil
}

var errNotOwner = fault.New("look up", KindNotDone, "this host does not own the cell")

func (h *Host) handleRelayedSubmit(ctx context.Context, r message.RelayedSubmit) message.RelayReply {
	a, err := ledger.DecodeJob(r.Job)
	if err != nil {
		h.log.Warn("cannot decode a relayed job", zap.Error(err))
		return message.RelayReply{Outcome: message.RelayNotDone}
	}
	if h.intake.StoreUnavailable() {
		return message.RelayReply{Outcome: message.RelayNotDone}
	}
	ctx, cancel := context.WithTimeout(ctx, relayTimeout(r.Timeout))
	defer cancel()
	return message.RelayReply{Outcome: h.relayedSubmit(ctx, a)}
}

func (h *Host) handleRelayedCancel(ctx context.Context, r message.RelayedCancel) (peer.Message, error) {
	if h.intake.StoreUnavailable() {
		return message.EncodeRelayReply(message.RelayReply{Outcome: message.RelayNotDone}), nil
	}
	ctx, cancel := context.WithTimeout(ctx, relayTimeout(r.Timeout))
	defer cancel()
	outcome := relayOutcome(h.intake.Cancel(ctx, r.Scope, r.ID))
	return message.EncodeRelayReply(message.RelayReply{Outcome: outcome}), nil
}

// relayMargin is kept back from the client's timeout, so that the answer can
// reach the host that relayed the request.
const relayMargin = 100 * time.Millisecond

func relayTimeout(timeout time.Duration) time.Duration { return max(timeout-relayMargin, 0) }

func relayOutcome(err error) message.RelayOutcome {
	switch {
	case err == nil:
		return message.RelayDone
	case fault.Is(err, intake.KindNoJob):
		return message.RelayNoJob
	case fault.Is(err, intake.KindTaken):
		return message.RelayTaken
	case fault.Is(err, intake.KindCancelled):
		return message.RelayCancelled
	case fault.Is(err, intake.KindNotDone):
		return message.RelayNotDone
	}
	return message.RelayUnknown
}
