package owner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/ledger"
	"cicadabarrow.example/cicadabarrow/internal/rowstore"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// expiredAtOnce bounds the jobs that are forgotten in one go.
const expiredAtOnce = 40

// expire removes the rows of jobs that ended long ago. The job's own row goes
// first: a record without a job is passed over, but a job without a record would
// run again.
func (o *Owner) expire(now time.Time) {
	if o.expiring {
		return
	}
	ids := o.cell.Expired(now, expiredAtOnce)
	if len(ids) == 0 {
		return
	}
	o.expiring = true
	o.calls.Go(func() {
		err := o.removeJobs(ids)
		if err != nil && o.ctx.Err() == nil {
			o.log.Warn("rows of ended jobs were not removed", zap.Int("Jobs", len(ids)), zap.Error(err))
		}
		o.put(expired{ids: ids, failed: err != nil})
	})
}

func (o *Owner) removeJobs(ids []workload.JobID) error {
	for _, id := range ids {
		ctx, cancel := context.WithTimeout(o.ctx, commitTimeout)
		_, err := o.store.Commit(ctx, rowstore.Transaction{
			Removes: []rowstore.Key{ledger.JobKey(id), ledger.CancelKey(id)},
		})
		cancel()
		if err != nil {
			return err
		}
	}
	return nil
}

type expired struct {
	ids    []workload.JobID
	failed bool
}

func (e expired) apply(o *Owner, now time.Time) {
	o.expiring = false
	if e.failed {
		o.cell.RequeueExpired(now, e.ids)
		return
	}
	o.cell.Forget(e.ids)
	o.removes = append(o.removes, e.ids...)
}
