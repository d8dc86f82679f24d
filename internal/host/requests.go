package host

import (
	"context"
	"errors"
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

// Submit accepts a job of a client on a queue. The job is durable when Submit returns
// nil. While the cell cannot keep up, it gives KindOverloaded, and KindNoJob if the client
// has cancelled the job before.
func (h *Host) Submit(ctx context.Context, queue *manifest.Queue, client manifest.Client, job workload.Job) error {
	if err := job.Check(); err != nil {
		return fault.New("submit", KindInvalid, "%w", err)
	}
	err := h.checkCap(ctx, queue, client, &job)
	if err == nil {
		err = h.checkExcess(ctx, queue, client, &job)
	}
	if err == nil {
		err = h.checkAdmission(ctx, queue, client, &job)
	}
	switch {
	case errors.Is(err, errRepeated):
		return nil
	case err != nil:
		return err
	}
	accepted := cell.AcceptedJob{Job: job, Queue: *queue, Account: client.Account}
	err = h.writeJob(ctx, accepted)
	if errors.Is(err, errNoRoom) {
		return h.refuseForMemory(ctx, client, &accepted)
	}
	if err != nil {
		h.log.Warn("job not accepted", zap.String("Job", string(job.ID)), zap.String("Queue", queue.Name), zap.Error(err))
		return requestError("submit", err)
	}
	h.log.Info("job accepted", zap.String("Job", string(job.ID)), zap.String("Queue", queue.Name),
		zap.String("Account", client.Account.Name), zap.Int("Steps", len(job.Steps)))
	h.notifyAccepted(accepted)
	return nil
}

// Cancel cancels a job on a queue. The cancel is durable when Cancel returns nil.
// A job that does not exist, or one of another queue or account, gives KindNoJob. A
// submission of it by the client that is still in flight will not take effect.
func (h *Host) Cancel(ctx context.Context, queue string, client manifest.Client, id workload.JobID) error {
	scope := client.Scope(queue)
	err := h.hedge(ctx,
		func(ctx context.Context) error { return h.intake.Cancel(ctx, scope, id) },
		func(ctx context.Context) error { return h.relayCancel(ctx, scope, id) })
	if err != nil {
		h.log.Warn("job not cancelled", zap.String("Job", string(id)), zap.Error(err))
		return requestError("cancel", err)
	}
	h.log.Info("job cancelled", zap.String("Job", string(id)))
	h.notifyCancelled(id)
	return nil
}

// tombstoneShare is the share of the store's writes that the tombstones of all hosts may
// take together. They are written for cancels of jobs that do not exist.
const tombstoneShare = 0.1

// tombstoneRate returns how many tombstones a second this host may write.
func (h *Host) tombstoneRate() float64 {
	return tombstoneShare * h.config.StoreWrites / float64(1+h.otherHosts())
}

func requestError(op string, err error) error {
	switch {
	case fault.Is(err, intake.KindNoJob), fault.Is(err, intake.KindCancelled):
		return fault.New(op, KindNoJob, "%w", err)
	case fault.Is(err, intake.KindTaken):
		return fault.New(op, KindInvalid, "%w", err)
	case fault.Is(err, intake.KindNotDone):
		return fault.New(op, KindNotDone, "%w", err)
	}
	return fault.New(op, KindUnknown, "%w", err)
}

// Status returns the state of a job of a queue. An unknown job, or one of another
// queue or account, gives KindNoJob.
func (h *Host) Status(ctx context.Context, queue string, client manifest.Client, id workload.JobID) (workload.Status, error) {
	scope := client.Scope(queue)
	lookup := call{message: message.EncodeJobLookup(message.JobLookup{ID: id, Scope: scope})}
	if !scope.HasAccounts {
		lookup.earlier = message.EncodeJobLookup(message.JobLookup{ID: id})
	}
	reply, err := askOwner(ctx, h, lookup, message.DecodeJobLookupReply)
	if err != nil {
		return workload.Status{}, err
	}
	if reply.Known {
		return workload.Status{State: reply.State, Cause: reply.Cause}, nil
	}
	// The job may be durable although the owner has not received it yet.
	found, err := h.intake.Find(ctx, id)
	switch {
	case err != nil:
		return workload.Status{}, requestError("state", err)
	case !found.In(scope):
		return workload.Status{}, fault.New("state", KindNoJob, "job %s", id)
	case found.Cancelled:
		return workload.Status{State: workload.StateCancelled}, nil
	}
	return workload.Status{State: workload.StateQueued}, nil
}

// Pending returns the number of accepted jobs of a queue that have not started a
// task.
func (h *Host) Pending(ctx context.Context, queue string) (int, error) {
	reply, err := askOwner(ctx, h, call{message: message.EncodeQueueLookup(message.QueueLookup{Queue: queue})}, message.DecodeQueueLookupReply)
	return reply.Pending, err
}

const (
	// lookupAttemptTimeout bounds one call to the owner.
	lookupAttemptTimeout = 500 * time.Millisecond
	// lookupRetryDelay is the delay before the owner is asked again.
	lookupRetryDelay = 100 * time.Millisecond
	// lookupTimeout bounds all attempts of a lookup, and so how long it waits
	// for a new owner.
	lookupTimeout = 1500 * time.Millisecond
)

// askOwner sends a request to the owner and decodes the reply. It retries until
// lookupTimeout has passed, since a takeover may be in progress.
func askOwner[T any](
	ctx context.Context, h *Host, request call, decode func(peer.Message) (T, error),
) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	var zero T
	for {
		reply, err := h.askOwnerOnce(ctx, request)
		if err == nil {
			return decode(reply)
		}
		delay := h.timers.After(lookupRetryDelay)
		select {
		case <-delay.C:
		case <-ctx.Done():
			delay.Stop()
			return zero, fault.New("ask owner", KindNotDone, "%w", err)
		}
	}
}

func (h *Host) askOwnerOnce(ctx context.Context, request call) (peer.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupAttemptTimeout)
	defer cancel()
	if h.readyOwner() != nil {
		return h.Handle(ctx, h.config.Self, request.message)
	}
	addr := h.remoteOwnerAddr()
	if !addr.IsValid() {
		return peer.Message{}, fault.New("ask owner", KindNotDone, "no owner is known")
	}
	_, reply, err := h.ask(ctx, addr, request)
	return reply, err
}

// remoteOwnerAddr returns the address of the owner if it is another host. It is
// invalid otherwise, and when no owner is known.
func (h *Host) remoteOwnerAddr() netip.AddrPort {
	if addr := h.knownOwner().addr; addr != h.config.Addr {
		return addr
	}
	return netip.AddrPort{}
}
