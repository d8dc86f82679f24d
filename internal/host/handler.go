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

// Handle answers the calls of peers.
func (h *Host) Handle(ctx context.Context, _ peer.Host, m peer.Message) (peer.Message, error) {
	switch m.Kind {
	case message.KindHostPing:
		ping, err := message.DecodeHostPing(m)
		return message.EncodeOwnerPong(h.pong(ping)), err
	case message.KindStepQuestion:
		q, err := message.DecodeStepQuestion(m)
		if err != nil {
			return peer.Message{}, err
		}
		return message.EncodeStepAdvice(h.adviseFor(ctx, q)), nil
	case message.KindJobLookup:
		q, err := message.DecodeJobLookup(m)
		if err != nil {
			return peer.Message{}, err
		}
		return h.lookUpJob(ctx, q)
	case message.KindQueueLookup:
		q, err := message.DecodeQueueLookup(m)
		if err != nil {
			return peer.Message{}, err
		}
		return h.lookUpQueue(ctx, q)
	case message.KindCellLookup:
		q, err := message.DecodeCellLookup(m)
		if err != nil {
			return peer.Message{}, err
		}
		return h.lookUpCell(ctx, q)
	case message.KindIntakeNews:
		news, err := message.DecodeIntakeNews(m)
		if err != nil {
			return peer.Message{}, err
		}
		h.hear(news)
		return message.EncodeIntakeHeard(message.IntakeHeard{}), nil
	case message.KindRelayedSubmit:
		r, err := message.DecodeRelayedSubmit(m)
		if err != nil {
			return peer.Message{}, err
		}
		return message.EncodeRelayed(h.submitFor(ctx, r)), nil
	case message.KindRelayedCancel:
		r, err := message.DecodeRelayedCancel(m)
		if err != nil {
			return peer.Message{}, err
		}
		return message.EncodeRelayed(h.cancelFor(ctx, r)), nil
	}
	return peer.Message{}, fault.New("handle", KindInvalid, "message of kind %d", m.Kind)
}

// adviseFor asks the advice service for the owner.
func (h *Host) adviseFor(ctx context.Context, q message.StepQuestion) message.StepAdvice {
	ctx, cancel := context.WithTimeout(ctx, q.Within)
	defer cancel()
	advice, err := h.platform.Advisor.Advise(ctx, q.Step, q.Workers)
	if err != nil {
		h.log.Warn("no advice", zap.String("Job", string(q.Step.Job)), zap.Stringer("Step", q.Step), zap.Error(err))
		return message.StepAdvice{Failed: true}
	}
	return message.StepAdvice{Valid: advice.Valid, Allowed: advice.Allowed}
}

func (h *Host) lookUpJob(ctx context.Context, q message.JobLookup) (peer.Message, error) {
	own := h.owning()
	if own == nil {
		return peer.Message{}, errNotOwner
	}
	job, err := own.Job(ctx, q.ID)
	if err != nil {
		return peer.Message{}, err
	}
	return message.EncodeJobSeen(message.JobSeen{Known: job.Known, State: job.State}), nil
}

func (h *Host) lookUpQueue(ctx context.Context, q message.QueueLookup) (peer.Message, error) {
	own := h.owning()
	if own == nil {
		return peer.Message{}, errNotOwner
	}
	pending, err := own.Pending(ctx, q.Queue)
	if err != nil {
		return peer.Message{}, err
	}
	return message.EncodeQueueSeen(message.QueueSeen{Pending: pending}), nil
}

var errNotOwner = fault.New("look up", KindNotDone, "this host does not own the cell")

func (h *Host) submitFor(ctx context.Context, r message.RelayedSubmit) message.Relayed {
	a, err := ledger.DecodeJob(r.Job)
	if err != nil {
		h.log.Warn("a relayed job cannot be read", zap.Error(err))
		return message.Relayed{Outcome: message.RelayNotDone}
	}
	if h.intake.Away() {
		return message.Relayed{Outcome: message.RelayNotDone}
	}
	ctx, cancel := context.WithTimeout(ctx, relayTime(r.Within))
	defer cancel()
	return message.Relayed{Outcome: relayOutcome(h.intake.Submit(ctx, a))}
}

func (h *Host) cancelFor(ctx context.Context, r message.RelayedCancel) message.Relayed {
	if h.intake.Away() {
		return message.Relayed{Outcome: message.RelayNotDone}
	}
	ctx, cancel := context.WithTimeout(ctx, relayTime(r.Within))
	defer cancel()
	return message.Relayed{Outcome: relayOutcome(h.intake.Cancel(ctx, r.ID))}
}

// relayMargin leaves time for the answer to travel back.
const relayMargin = 100 * time.Millisecond

func relayTime(within time.Duration) time.Duration { return max(within-relayMargin, 0) }

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
