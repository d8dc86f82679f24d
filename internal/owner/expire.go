package owner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/ledger"
	"cicadabarrow.example/cicadabarrow/internal/rowstore"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// maxExpiredPerBatch limits the jobs that expire at the same time.
const maxExpiredPerBatch = 40

// expire deletes the rows of jobs that ended long ago. The row of the job is deleted
// before its progress record: a record without a job is ignored, but a job without a
// record would run again.
func (o *Owner) expire(now time.Time) {
	if o.expiring {
		return
	}
	ids := o.cell.Expired(now, maxExpiredPerBatch)
	if len(ids) == 0 {
		return
	}
	o.expiring = true
	o.calls.Go(func() {
		deleted, err := o.deleteJobs(ids)
		if err != nil && o.ctx.Err() == nil {
			o.log.Warn("rows of ended jobs could not be deleted", zap.Int("Jobs", len(ids)), zap.Error(err))
		}
		o.put(expired{ids: ids, deleted: deleted, failed: err != nil})
	})
}

// deleteJobs deletes the rows of jobs, and returns those that were deleted.
func (o *Owner) deleteJobs(ids []workload.JobID) ([]deletedJob, error) {
	var deleted []deletedJob
	for _, id := range ids {
		ctx, cancel := context.WithTimeout(o.ctx, commitTimeout)
		result, err := o.store.Commit(ctx, rowstore.Transaction{
			Deletes: []rowstore.Key{ledger.JobKey(id), ledger.CancelKey(id)},
		})
		cancel()
		if err != nil {
			return deleted, err
		}
		deleted = append(deleted, deletedJob{id: id, version: result.Version})
	}
	return deleted, nil
}

type expired struct {
	ids     []workload.JobID
	deleted []deletedJob
	failed  bool
}

func (e expired) apply(o *Owner, now time.Time) {
	o.expiring = false
	if e.failed {
		o.cell.RequeueExpired(now, e.ids)
		return
	}
	o.cell.Forget(e.ids)
	o.deletedJobs.add(now, e.deleted)
	o.pendingDeletes = append(o.pendingDeletes, e.ids...)
}
