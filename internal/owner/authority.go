package owner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/fault"
)

// maxDecisionInterval is the interval between two decisions above which the process is
// taken to have been suspended. What it heard of other hosts before may be out of date.
const maxDecisionInterval = 500 * time.Millisecond

// sinceConfirmed returns how long ago the last commit began that confirmed that this
// owner owns the cell. It includes the time in which the process was suspended.
func (o *Owner) sinceConfirmed() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.timers.Latest().Sub(o.confirmedAt)
}

// noteActivity records that the event loop runs. After a suspension in which all leases
// that it granted have expired, another host may have taken over.
func (o *Owner) noteActivity(now time.Time) {
	active := o.timers.Latest()
	o.mu.Lock()
	suspended := active.Sub(o.activeAt)
	o.activeAt = active
	confirmedAt := o.confirmedAt
	o.mu.Unlock()
	o.delay.Observe(now, suspended-tickInterval)
	if suspended > maxDecisionInterval {
		o.hearingSince = now
	}
	if suspended > o.config.Cell.Lease {
		o.resumedAt = active
		o.renewAt = now
		o.log.Warn("resumed after a suspension", zap.Duration("Suspended", suspended))
	}
	o.cell.SetUnconfirmed(confirmedAt.Before(o.resumedAt) || o.cutOff(now, active.Sub(confirmedAt)))
}

// cutOff reports whether the owner may have been replaced without knowing, since it
// has neither confirmed its ownership for isolationTimeout nor heard from most hosts
// since it was last suspended. Unlike endIfIsolated it counts the time of suspensions.
func (o *Owner) cutOff(now time.Time, sinceConfirmed time.Duration) bool {
	if sinceConfirmed < isolationTimeout {
		return false
	}
	return o.isolation.hearsFew(o.advice.countActive(min(isolationTimeout, now.Sub(o.hearingSince))))
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
