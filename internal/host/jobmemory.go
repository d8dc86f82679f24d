package host

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/intake"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/message"
	"cicadabarrow.example/cicadabarrow/internal/owner"
)

// errNoRoom is the cause of the error of a job for which the owner has too little memory.
// Nothing of it was written.
var errNoRoom = errors.New("the owner has too little memory for the job")

// writeJob makes an accepted job durable. The owner keeps all accepted jobs in memory, so
// that it is asked first whether it has room for a large one.
func (h *Host) writeJob(ctx context.Context, a cell.AcceptedJob) error {
	if ready := h.readyOwner(); ready != nil {
		return h.writeReserved(ctx, ready, a)
	}
	if a.Bytes() < cell.LargeJobBytes {
		return h.hedge(ctx,
			func(ctx context.Context) error { return h.intake.Submit(ctx, a) },
			func(ctx context.Context) error { return h.relaySubmit(ctx, a) })
	}
	// The owner writes the job itself. If it cannot be asked, the job is written here, as
	// hosts that hear of no owner refuse nothing for its load.
	err := h.askOwnerToWrite(ctx, a)
	if err == nil || errors.Is(err, errNoRoom) || isFinal(err) || h.intake.StoreUnavailable() {
		return err
	}
	written := h.intake.Submit(ctx, a)
	if fault.Is(written, intake.KindNotDone) && fault.Is(err, intake.KindUnknown) {
		return err
	}
	return written
}

// askOwnerTimeout is how long the owner is asked about a large job. It leaves two thirds of
// the shortest timeout of a call in the deployments, 3 s, for a write by this host.
const askOwnerTimeout = 1 * time.Second

func (h *Host) askOwnerToWrite(ctx context.Context, a cell.AcceptedJob) error {
	ctx, cancel := context.WithTimeout(ctx, askOwnerTimeout)
	defer cancel()
	return h.relaySubmit(ctx, a)
}

// writeReserved makes a job durable on the owner's host, if there is memory for it.
func (h *Host) writeReserved(ctx context.Context, ready *owner.Owner, a cell.AcceptedJob) error {
	if !ready.ReserveJob(&a) {
		return fault.New("submit", intake.KindNotDone, "%w", errNoRoom)
	}
	err := h.hedge(ctx,
		func(ctx context.Context) error { return h.intake.Submit(ctx, a) },
		func(ctx context.Context) error { return h.relaySubmit(ctx, a) })
	if err != nil && !fault.Is(err, intake.KindUnknown) {
		ready.ReleaseJob(a.Job.ID)
	}
	return err
}

// relayedSubmit makes the job of another host durable, and reports whether there is memory
// for it if this host is the owner.
func (h *Host) relayedSubmit(ctx context.Context, a cell.AcceptedJob) message.RelayOutcome {
	ready := h.readyOwner()
	if ready != nil && !ready.ReserveJob(&a) {
		return message.RelayNoRoom
	}
	err := h.intake.Submit(ctx, a)
	outcome := relayOutcome(err)
	if ready != nil && err != nil && outcome != message.RelayUnknown {
		ready.ReleaseJob(a.Job.ID)
	}
	return outcome
}

// refuseForMemory returns the error of a job for which the owner has no room, or nil if it
// has been accepted before: a client must not be told that a job has not run that runs.
func (h *Host) refuseForMemory(ctx context.Context, client manifest.Client, a *cell.AcceptedJob) error {
	found, err := h.intake.Find(ctx, a.Job.ID)
	switch {
	case err != nil:
		return fault.New("submit", KindUnknown, "%w, and it is not known whether it was accepted before: %w", errNoRoom, err)
	case found.In(client.Scope(a.Queue.Name)):
		return nil
	case found.Known:
		return fault.New("submit", KindInvalid, "job %s belongs to another queue or account", a.Job.ID)
	case found.Tombstone.Covers(a.Queue.Name, a.Account.Name):
		return fault.New("submit", KindNoJob, "job %s was cancelled before it was accepted", a.Job.ID)
	}
	h.scope.Counter("jobs_refused_for_memory").Inc(1)
	h.log.Info("job refused, since the owner has too little memory for it", zap.String("Job", string(a.Job.ID)),
		zap.String("Queue", a.Queue.Name), zap.Int64("Bytes", a.Bytes()))
	return fault.New("submit", KindOverloaded, "%w", &OverloadError{Queue: a.Queue.Name, RetryAfter: owner.MemoryRetryAfter})
}
