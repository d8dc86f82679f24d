package host

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/intake"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/message"
	"cicadabarrow.example/cicadabarrow/internal/peer"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// Submit accepts a job on a queue. When it returns nil, the job is durable.
func (h *Host) Submit(ctx context.Context, queue *manifest.Queue, job workload.Job) error {
	if err := job.Check(); err != nil {
		return fault.New("submit", KindInvalid, "%w", err)
	}
	a := cell.AcceptedJob{Job: job, Queue: *queue}
	err := h.hedge(ctx,
		func(ctx context.Context) error { return h.intake.Submit(ctx, a) },
		func(ctx context.Context) error { return h.relaySubmit(ctx, a) })
	if err != nil {
		h.log.Warn("job not accepted", zap.String("Job", string(job.ID)), zap.String("Queue", queue.Name), zap.Error(err))
		return intakeFault("submit", err)
	}
	h.log.Info("job accepted", zap.String("Job", string(job.ID)), zap.String("Queue", queue.Name),
		zap.Int("Steps", len(job.Steps)))
	h.tellAccepted(a)
	return nil
}

// Cancel cancels a job. When it returns nil, the cancel is durable.
func (h *Host) Cancel(ctx context.Context, id workload.JobID) error {
	err := h.hedge(ctx,
		func(ctx context.Context) error { return h.intake.Cancel(ctx, id) },
		func(ctx context.Context) error { return h.relayCancel(ctx, id) })
	if err != nil {
		h.log.Warn("job not cancelled", zap.String("Job", string(id)), zap.Error(err))
		return intakeFault("cancel", err)
	}
	h.log.Info("job cancelled", zap.String("Job", string(id)))
	h.tellCancelled(id)
	return nil
}

func intakeFault(op string, err error) error {
	switch {
	case fault.Is(err, intake.KindMissing):
		return fault.New(op, KindNoJob, "%w", err)
	case fault.Is(err, intake.KindNotDone):
		return fault.New(op, KindNotDone, "%w", err)
	}
	return fault.New(op, KindUnknown, "%w", err)
}

// State returns the state of a job.
func (h *Host) State(ctx context.Context, id workload.JobID) (workload.State, error) {
	seen, err := askOwner(ctx, h, message.EncodeJobLookup(message.JobLookup{ID: id}), message.DecodeJobSeen)
	if err != nil {
		return "", err
	}
	if seen.Known {
		return seen.State, nil
	}
	// The owner may not have heard of a job yet that is durable.
	found, err := h.intake.Find(ctx, id)
	switch {
	case err != nil:
		return "", intakeFault("state", err)
	case !found.Known:
		return "", fault.New("state", KindNoJob, "job %s", id)
	case found.Cancelled:
		return workload.StateCancelled, nil
	}
	return workload.StateQueued, nil
}

// Pending returns how many accepted jobs of a queue have no task started.
func (h *Host) Pending(ctx context.Context, queue string) (int, error) {
	seen, err := askOwner(ctx, h, message.EncodeQueueLookup(message.QueueLookup{Queue: queue}), message.DecodeQueueSeen)
	return seen.Pending, err
}

const (
	// lookupTimeout bounds one question to the owner.
	lookupTimeout = 500 * time.Millisecond
	// lookupPause is the wait before the owner is asked again.
	lookupPause = 100 * time.Millisecond
	// lookupFor is how long a question waits for a new owner.
	lookupFor = 1500 * time.Millisecond
)

// askOwner puts a question to the owner, and again while there is none.
func askOwner[T any](
	ctx context.Context, h *Host, question peer.Message, decode func(peer.Message) (T, error),
) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupFor)
	defer cancel()
	var none T
	for {
		reply, err := h.askOwnerOnce(ctx, question)
		if err == nil {
			return decode(reply)
		}
		pause := h.timers.After(lookupPause)
		select {
		case <-pause.C:
		case <-ctx.Done():
			pause.Stop()
			return none, fault.New("ask owner", KindNotDone, "%w", err)
		}
	}
}

func (h *Host) askOwnerOnce(ctx context.Context, question peer.Message) (peer.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	if h.owning() != nil {
		return h.Handle(ctx, h.config.Self, question)
	}
	at := h.ownerAddr()
	if !at.IsValid() {
		return peer.Message{}, fault.New("ask owner", KindNotDone, "no owner is known")
	}
	_, reply, err := h.peers.Ask(ctx, at, question)
	return reply, err
}

// ownerAddr returns where another host owns the cell, if one is known.
func (h *Host) ownerAddr() netip.AddrPort {
	if at := h.knownOwner().addr; at != h.config.Addr {
		return at
	}
	return netip.AddrPort{}
}
