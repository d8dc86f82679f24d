package host

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/intake"
	"cicadabarrow.example/cicadabarrow/internal/ledger"
	"cicadabarrow.example/cicadabarrow/internal/message"
	"cicadabarrow.example/cicadabarrow/internal/peer"
)

// callHandler answers one kind of call of a peer.
type callHandler func(ctx context.Context, m peer.Message) (peer.Message, error)

// decodeAndHandle makes an answerer of how a message is read and answered.
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

// callHandlers returns what the host does with each kind of call.
func (h *Host) callHandlers() map[uint8]callHandler {
	return map[uint8]callHandler{
		message.KindHostPing: decodeAndHandle(message.DecodeHostPing, func(_ context.Context, ping message.HostPing) (peer.Message, error) {
			return message.EncodeOwnerPong(h.pong(ping)), nil
		}),
		message.KindStepAdviceRequest: decodeAndHandle(message.DecodeStepAdviceRequest, func(ctx context.Context, q message.StepAdviceRequest) (peer.Message, error) {
			return message.EncodeStepAdvice(h.handleStepAdviceRequest(ctx, q)), nil
		}),
		message.KindIntakeNotice: decodeAndHandle(message.DecodeIntakeNotice, func(_ context.Context, news message.IntakeNotice) (peer.Message, error) {
			h.handleIntakeNotice(news)
			return message.EncodeIntakeAck(message.IntakeAck{}), nil
		}),
		message.KindRelayedSubmit: decodeAndHandle(message.DecodeRelayedSubmit, func(ctx context.Context, r message.RelayedSubmit) (peer.Message, error) {
			return message.EncodeRelayReply(h.handleRelayedSubmit(ctx, r)), nil
		}),
		message.KindRelayedCancel: decodeAndHandle(message.DecodeRelayedCancel, func(ctx context.Context, r message.RelayedCancel) (peer.Message, error) {
			return message.EncodeRelayReply(h.handleRelayedCancel(ctx, r)), nil
		}),
		message.KindJobLookup:   decodeAndHandle(message.DecodeJobLookup, h.lookUpJob),
		message.KindQueueLookup: decodeAndHandle(message.DecodeQueueLookup, h.lookUpQueue),
		message.KindCellLookup:  decodeAndHandle(message.DecodeCellLookup, h.lookUpCell),
	}
}

// Handle answers the calls of peers.
func (h *Host) Handle(ctx context.Context, _ peer.Host, m peer.Message) (peer.Message, error) {
	answer, known := h.handlers[m.Kind]
	if !known {
		return peer.Message{}, fault.New("handle", KindInvalid, "message of kind %d", m.Kind)
	}
	return answer(ctx, m)
}

// handleStepAdviceRequest asks the advice service for the owner.
func (h *Host) handleStepAdviceRequest(ctx context.Context, q message.StepAdviceRequest) message.StepAdvice {
	ctx, cancel := context.WithTimeout(ctx, q.Timeout)
	defer cancel()
	advice, err := h.platform.Advisor.Advise(ctx, q.Step, q.Workers)
	if err != nil {
		h.log.Warn("no advice", zap.String("Job", string(q.Step.Job)), zap.Stringer("Step", q.Step), zap.Error(err))
		return message.StepAdvice{Failed: true}
	}
	return message.StepAdvice{Valid: advice.Valid, Allowed: advice.Allowed}
}

func (h *Host) lookUpJob(ctx context.Context, q message.JobLookup) (peer.Message, error) {
	own := h.readyOwner()
	if own == nil {
		return peer.Message{}, errNotOwner
	}
	job, err := own.Job(ctx, q.ID)
	if err != nil {
		return peer.Message{}, err
	}
	return message.EncodeJobLookupReply(message.JobLookupReply{Known: job.Known, State: job.State}), nil
}

func (h *Host) lookUpQueue(ctx context.Context, q message.QueueLookup) (peer.Message, error) {
	own := h.readyOwner()
	if own == nil {
		return peer.Message{}, errNotOwner
	}
	pending, err := own.Pending(ctx, q.Queue)
	if err != nil {
		return peer.Message{}, err
	}
	return message.EncodeQueueLookupReply(message.QueueLookupReply{Pending: pending}), nil
}

var errNotOwner = fault.New("look up", KindNotDone, "this host does not own the cell")

func (h *Host) handleRelayedSubmit(ctx context.Context, r message.RelayedSubmit) message.RelayReply {
	a, err := ledger.DecodeJob(r.Job)
	if err != nil {
		h.log.Warn("a relayed job cannot be read", zap.Error(err))
		return message.RelayReply{Outcome: message.RelayNotDone}
	}
	if h.intake.StoreUnavailable() {
		return message.RelayReply{Outcome: message.RelayNotDone}
	}
	ctx, cancel := context.WithTimeout(ctx, relayTimeout(r.Timeout))
	defer cancel()
	return message.RelayReply{Outcome: relayOutcome(h.intake.Submit(ctx, a))}
}

func (h *Host) handleRelayedCancel(ctx context.Context, r message.RelayedCancel) message.RelayReply {
	if h.intake.StoreUnavailable() {
		return message.RelayReply{Outcome: message.RelayNotDone}
	}
	ctx, cancel := context.WithTimeout(ctx, relayTimeout(r.Timeout))
	defer cancel()
	return message.RelayReply{Outcome: relayOutcome(h.intake.Cancel(ctx, r.ID))}
}

// relayMargin leaves time for the answer to travel back.
const relayMargin = 100 * time.Millisecond

func relayTimeout(within time.Duration) time.Duration { return max(within-relayMargin, 0) }

func relayOutcome(err error) message.RelayOutcome {
	switch {
	case err == nil:
		return message.RelayDone
	case fault.Is(err, intake.KindMissing):
		return message.RelayMissing
	case fault.Is(err, intake.KindNotDone):
		return message.RelayNotDone
	}
	return message.RelayUnknown
}
