package intake

import (
	"context"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/ledger"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/rowstore"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// Cancel makes the cancel of a job durable. A job out of scope counts as missing. If the
// job is missing, Cancel makes a tombstone durable and gives KindNoJob.
func (i *Intake) Cancel(ctx context.Context, scope manifest.JobScope, id workload.JobID) error {
	const op = "cancel"
	if !id.Valid() {
		return fault.New(op, KindNoJob, "%.40q is not the ID of a job", id)
	}
	found, err := i.lookUp(ctx, id)
	if err != nil {
		return err
	}
	return i.write(op, found, func(current jobRows) (jobRows, error) {
		switch {
		case !current.In(scope):
			return i.cancelMissing(ctx, scope, id, current)
		case current.Cancelled:
			return current, nil
		}
		// Under this condition, a write that the store carries out late cancels no later job.
		return i.commitIf(ctx, op, id, current.version, rowstore.Write{Key: ledger.CancelKey(id), Value: []byte{1}})
	})
}

// cancelMissing makes the tombstone of a job durable that has no row, or none in scope. It
// gives KindNoJob then.
func (i *Intake) cancelMissing(
	ctx context.Context, scope manifest.JobScope, id workload.JobID, current jobRows,
) (jobRows, error) {
	const op = "cancel"
	missing := fault.New(op, KindNoJob, "job %s", id)
	switch {
	case current.Tombstone.Has(scope):
		return current, missing
	case scope.Queue == "":
		return current, fault.New(op, KindNotDone, "job %s: a host of an earlier release has named no queue", id)
	case len(current.Tombstone.Scopes) >= ledger.MaxTombstoneScopes:
		return current, fault.New(op, KindNotDone, "job %s was cancelled by %d others", id, ledger.MaxTombstoneScopes)
	case !i.limiter.allow(i.timers.Now(), scope.Account):
		i.metrics.tombstonesRefused.Inc(1)
		return current, fault.New(op, KindNotDone, "too many cancels of jobs that do not exist")
	case current.Known:
		return current, missing // a submission in this scope finds that the ID is taken
	}
	value, err := ledger.EncodeTombstone(current.Tombstone.With(scope))
	if err != nil {
		return current, fault.New(op, KindNotDone, "%w", err)
	}
	next, err := i.commitIf(ctx, op, id, current.version, rowstore.Write{Key: ledger.JobKey(id), Value: value})
	if err != nil {
		return next, err
	}
	i.metrics.tombstones.Inc(1)
	return next, missing
}
