package entry

import (
	"context"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/message"
	"cicadabarrow.example/cicadabarrow/internal/pool"
)

// Cancel cancels the open jobs that match and returns their names once every
// cancel is durable. An error of KindUnknown means that some may be recorded.
func (o *PoolOwner) Cancel(ctx context.Context, c message.Cancel) ([]string, error) {
	var taken chan struct{}
	names, err := queryPool(ctx, o, func(p *pool.Pool, _ time.Time) []string {
		var out []string
		for _, v := range p.Jobs() {
			if matches(v.Spec, c.ID, c.Team, c.Name) {
				out = append(out, v.Spec.ID)
			}
		}
		// A wave is one event: the pool cancels it in slices, beside its starts.
		p.CancelAll(out)
		taken = make(chan struct{})
		o.cancelWaiters = append(o.cancelWaiters, taken)
		return out
	})
	if err != nil {
		return nil, fault.New("cancel", KindUnknown, "%w", err)
	}
	select {
	case <-taken:
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

// notifyCancelWaiters tells those who wait for a wave that the pool has taken all of it.
func (o *PoolOwner) notifyCancelWaiters() {
	if len(o.cancelWaiters) == 0 || o.pool.Cancelling() > 0 {
		return
	}
	for _, taken := range o.cancelWaiters {
		close(taken)
	}
	o.cancelWaiters = nil
}
