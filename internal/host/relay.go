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
	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/message"
	"cicadabarrow.example/cicadabarrow/internal/peer"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// hedgeDelay is how long a write of this host may take before the owner is also
// asked to do it, if the store has not been slow of late. The store may reject this host
// and still serve others.
const hedgeDelay = 350 * time.Millisecond

// writeFunc makes a client's request durable in one way.
type writeFunc func(ctx context.Context) error

// hedge calls first, and also second once first has failed or has taken
// hedgeDelay. Both write the same row, so it is safe if both succeed. A failure
// is certain only if every call has certainly failed. While the store is
// unavailable to this host, only second is called, since the outcome of first
// could be unknown.
func (h *Host) hedge(ctx context.Context, first, second writeFunc) error {
	if h.intake.StoreUnavailable() {
		return second(ctx)
	}
	results := make(chan error, 2)
	go func() { results <- first(ctx) }()
	timer := h.timers.After(max(hedgeDelay, h.intake.SlowAfter()))
	defer timer.Stop()
	pending, started := 1, false
	startSecond := func() {
		if !started {
			started = true
			pending++
			go func() { results <- second(ctx) }()
		}
	}
	var worst error
	for pending > 0 {
		select {
		case <-timer.C:
			startSecond()
		case err := <-results:
			pending--
			if err == nil || isFinal(err) {
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

// isFinal reports whether a write has failed because of what is durable, so that the same
// write fails anywhere else too, also one that is still in flight.
func isFinal(err error) bool {
	return fault.Is(err, intake.KindNoJob) || fault.Is(err, intake.KindTaken) || fault.Is(err, intake.KindCancelled)
}

// relaySubmit asks the owner to make an accepted job durable.
func (h *Host) relaySubmit(ctx context.Context, job cell.AcceptedJob) error {
	value, err := ledger.EncodeJob(job)
	if err != nil {
		return fault.New("relay", intake.KindNotDone, "%w", err)
	}
	return h.relay(ctx, call{message: message.EncodeRelayedSubmit(message.RelayedSubmit{Job: value, Timeout: h.timeLeft(ctx)})})
}

// relayCancel asks the owner to make a cancel durable.
func (h *Host) relayCancel(ctx context.Context, scope manifest.JobScope, id workload.JobID) error {
	cancel := message.RelayedCancel{ID: id, Timeout: h.timeLeft(ctx), Scope: scope}
	c := call{message: message.EncodeRelayedCancel(cancel)}
	if !scope.HasAccounts {
		c.earlier = message.EncodeRelayedCancel(message.RelayedCancel{ID: id, Timeout: cancel.Timeout})
	}
	return h.relay(ctx, c)
}

// timeLeft returns how long the client still waits, or lookupTimeout if the
// context has no deadline.
func (h *Host) timeLeft(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return lookupTimeout
	}
	return deadline.Sub(h.timers.Now())
}

func (h *Host) relay(ctx context.Context, c call) error {
	const op = "relay"
	addr := h.remoteOwnerAddr()
	if !addr.IsValid() {
		return fault.New(op, intake.KindNotDone, "no other host is known to own the cell")
	}
	from, reply, err := h.ask(ctx, addr, c)
	switch {
	case fault.Is(err, peer.KindNotSent), fault.Is(err, peer.KindRefused):
		return fault.New(op, intake.KindNotDone, "%w", err)
	case err != nil:
		return fault.New(op, intake.KindUnknown, "%w", err)
	}
	answer, err := message.DecodeRelayReply(reply)
	if err != nil {
		return fault.New(op, intake.KindUnknown, "%w", err)
	}
	h.log.Info("relayed a request", zap.String("Host", from.Name), zap.Uint8("Outcome", uint8(answer.Outcome)))
	switch answer.Outcome {
	case message.RelayDone:
		return nil
	case message.RelayNoJob:
		return fault.New(op, intake.KindNoJob, "host %s does not know the job", from.Name)
	case message.RelayMissing:
		return fault.New(op, intake.KindNotDone, "host %s of an earlier release has not found the job", from.Name)
	case message.RelayCancelled:
		return fault.New(op, intake.KindCancelled, "host %s found that the job was cancelled before", from.Name)
	case message.RelayTaken:
		return fault.New(op, intake.KindTaken, "host %s found a job of another queue or account", from.Name)
	case message.RelayNotDone:
		return fault.New(op, intake.KindNotDone, "host %s did not write the request", from.Name)
	case message.RelayNoRoom:
		return fault.New(op, intake.KindNotDone, "host %s: %w", from.Name, errNoRoom)
	case message.RelayUnknown:
	}
	return fault.New(op, intake.KindUnknown, "host %s does not know whether the request was written", from.Name)
}

const (
	// probeInterval is the mean period at which an unavailable store is probed,
	// probeTimeout bounds a probe, and maxOpenProbes limits the probes without an answer.
	probeInterval = 200 * time.Millisecond
	probeTimeout  = 1 * time.Second
	maxOpenProbes = 8
)

// probeStore probes the store while it is unavailable, to detect when it answers
// again. A silent store does not answer a probe that was sent before it came back, so
// that further ones do not wait for it.
func (h *Host) probeStore() {
	open := make(chan struct{}, maxOpenProbes)
	for h.sleep(probeInterval/2 + rand.N(probeInterval)) {
		if !h.intake.NeedsProbe() {
			continue
		}
		select {
		case open <- struct{}{}:
		default:
			continue
		}
		h.background.Go(func() {
			defer func() { <-open }()
			ctx, cancel := context.WithTimeout(h.ctx, probeTimeout)
			defer cancel()
			h.intake.Probe(ctx)
		})
	}
}
