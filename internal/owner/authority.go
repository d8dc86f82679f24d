package owner

import (
	"context"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/fault"
)

// sinceConfirmed returns how long ago the last commit began that confirmed that this
// owner owns the cell. It includes the time in which the process was suspended.
func (o *Owner) sinceConfirmed() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.timers.Latest().Sub(o.confirmedAt)
}

// withAuthority returns a context for an order, which ends when the authority of this
// owner does, so that an order that waits for its connection is not sent afterwards. It
// returns an error if the order must not be sent now, although it was allowed when it
// was decided. Workers that check fencing tokens refuse it themselves.
func (o *Owner) withAuthority(ctx context.Context, op string) (context.Context, context.CancelFunc, error) {
	if !o.config.Cell.Unfenced {
		return ctx, func() {}, nil
	}
	since := o.sinceConfirmed()
	if since >= cell.AuthorityTimeout {
		err := fault.New(op, KindReplaced, "the ownership of epoch %d was last confirmed %v ago", o.Epoch(), since)
		return ctx, func() {}, err
	}
	ctx, cancel := context.WithTimeout(ctx, cell.AuthorityTimeout-since)
	return ctx, cancel, nil
}
