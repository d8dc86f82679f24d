package host

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/intake"
	"cicadabarrow.example/cicadabarrow/internal/ledger"
	"cicadabarrow.example/cicadabarrow/internal/message"
	"cicadabarrow.example/cicadabarrow/internal/peer"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// hedgeAfter is how long a write of this host may take before the owner is
// asked to do it as well. The store may turn this host away and serve others.
const hedgeAfter = 350 * time.Millisecond

// write is one way to make a client's request durable.
type write func(ctx context.Context) error

// hedge tries the first way, and the second one when the first has failed or
// takes long. Both write the same row, so it does no harm if both succeed. The
// outcome is certain only if that of every way is. While the store does not
// answer this host, nothing is tried here that could only end in doubt.
func (h *Host) hedge(ctx context.Context, first, second write) error {
	if h.intake.Away() {
		return second(ctx)
	}
	results := make(chan error, 2)
	go func() { results <- first(ctx) }()
	timer := h.timers.After(hedgeAfter)
	defer timer.Stop()
	open, started := 1, false
	startSecond := func() {
		if !started {
			started = true
			open++
			go func() { results <- second(ctx) }()
		}
	}
	var worst error
	for open > 0 {
		select {
		case <-timer.C:
			startSecond()
		case err := <-results:
			open--
			if err == nil || fault.Is(err, intake.KindMissing) {
				return err
			}
			if worst == nil || fault.Is(err, intake.KindUnknown) {
				worst = err
			}
			startSecond()
		}
	}
	return worst
}

// relaySubmit has the owner make an accepted job durable.
func (h *Host) relaySubmit(ctx context.Context, a cell.AcceptedJob) error {
	value, err := ledger.EncodeJob(a)
	if err != nil {
		return fault.New("relay", intake.KindNotDone, "%w", err)
	}
	return h.relay(ctx, message.EncodeRelayedSubmit(message.RelayedSubmit{Job: value, Within: h.left(ctx)}))
}

// relayCancel has the owner make a cancel durable.
func (h *Host) relayCancel(ctx context.Context, id workload.JobID) error {
	return h.relay(ctx, message.EncodeRelayedCancel(message.RelayedCancel{ID: id, Within: h.left(ctx)}))
}

// left is how long the client still waits.
func (h *Host) left(ctx context.Context) time.Duration {
	end, ok := ctx.Deadline()
	if !ok {
		return lookupFor
	}
	return end.Sub(h.timers.Now())
}

func (h *Host) relay(ctx context.Context, m peer.Message) error {
	const op = "relay"
	at := h.ownerAddr()
	if !at.IsValid() {
		return fault.New(op, intake.KindNotDone, "no other host is known as the owner")
	}
	from, reply, err := h.peers.Ask(ctx, at, m)
	switch {
	case fault.Is(err, peer.KindNotSent), fault.Is(err, peer.KindRefused):
		return fault.New(op, intake.KindNotDone, "%w", err)
	case err != nil:
		return fault.New(op, intake.KindUnknown, "%w", err)
	}
	answer, err := message.DecodeRelayed(reply)
	if err != nil {
		return fault.New(op, intake.KindUnknown, "%w", err)
	}
	h.log.Info("relayed a request", zap.String("Host", from.Name), zap.Uint8("Outcome", uint8(answer.Outcome)))
	switch answer.Outcome {
	case message.RelayDone:
		return nil
	case message.RelayMissing:
		return fault.New(op, intake.KindMissing, "host %s knows no such job", from.Name)
	case message.RelayNotDone:
		return fault.New(op, intake.KindNotDone, "host %s could not write it", from.Name)
	case message.RelayUnknown:
	}
	return fault.New(op, intake.KindUnknown, "host %s does not know whether it was written", from.Name)
}

const (
	// probeEvery is the period at which a silent store is tried, and
	// probeTimeout how long it has to answer.
	probeEvery   = 200 * time.Millisecond
	probeTimeout = 1 * time.Second
)

// probeStore finds out when a store that was silent answers again.
func (h *Host) probeStore() {
	for h.sleep(probeEvery/2 + rand.N(probeEvery)) {
		if !h.intake.Away() {
			continue
		}
		ctx, cancel := context.WithTimeout(h.ctx, probeTimeout)
		h.intake.Probe(ctx)
		cancel()
	}
}
