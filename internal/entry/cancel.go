package entry

import (
	"context"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/message"
	"cicadabarrow.example/cicadabarrow/internal/pool"
)

// Cancel cancels the open jobs that match and returns their IDs once every cancel
// is durable. An error of KindUnknown means that some of them may be recorded.
func (o *PoolOwner) Cancel(ctx context.Context, c message.Cancel) ([]string, error) {
	var processed chan struct{}
	names, err := queryPool(ctx, o, func(p *pool.Pool, _ time.Time) []string {
		var out []string
		for _, v := range p.Jobs() {
			if matches(v.Spec, c.ID, c.Team, c.Name) {
				out = append(out, v.Spec.ID)
			}
		}
		// All matching jobs are cancelled by one event: the pool processes
		// them in slices, so that it can start tasks in between.
		p.CancelAll(out)
		processed = make(chan struct{})
		o.cancelWaiters = append(o.cancelWaiters, processed)
		return out
	})
	if err != nil {
		return nil, fault.New("cancel", KindUnknown, "%w", err)
	}
	select {
	case <-processed:
		err = o.flush(ctx)
	case <-o.done:
		err = errLoopEnded
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err != nil {
		return names, fault.New("cancel", KindUnknown, "the cancel may not be recorded: %w", err)
	}
	return names, nil
}

// notifyCancelWaiters wakes the callers of Cancel once the pool has processed all
// cancels.
func (o *PoolOwner) notifyCancelWaiters() {
	if len(o.cancelWaiters) == 0 || o.pool.Cancelling() > 0 {
		return
	}
	for _, processed := range o.cancelWaiters {
		close(processed)
	}
	o.cancelWaiters = nil
}
