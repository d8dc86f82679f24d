package owner

import (
	"time"

	"go.uber.org/zap"

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

// noteActivity records that the event loop runs. After a suspension in which all leases
// that it granted have expired, another host may have taken over.
func (o *Owner) noteActivity(now time.Time) {
	active := o.timers.Latest()
	if suspended := active.Sub(o.activeAt); suspended > o.config.Cell.Lease {
		o.resumedAt = active
		o.renewAt = now
		o.log.Warn("resumed after a suspension", zap.Duration("Suspended", suspended))
	}
	o.activeAt = active
	o.mu.Lock()
	defer o.mu.Unlock()
	o.cell.SetUnconfirmed(o.confirmedAt.Before(o.resumedAt))
}

// checkAuthority returns an error if an order must not be sent now, although it was
// allowed when it was decided. Workers that check fencing tokens refuse it themselves.
func (o *Owner) checkAuthority(op string) error {
	if since := o.sinceConfirmed(); o.config.Cell.Unfenced && since >= cell.AuthorityTimeout {
		return fault.New(op, KindReplaced, "the ownership of epoch %d was last confirmed %v ago", o.Epoch(), since)
	}
	return nil
}
