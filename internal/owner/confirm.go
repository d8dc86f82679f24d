package owner

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/election"
	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/ledger"
	"cicadabarrow.example/cicadabarrow/internal/rowstore"
)

const (
	// confirmInterval is how long a commit may go without a response before the owner's
	// row is read to find out whether the commit has taken effect. The read is repeated
	// at this interval, also while earlier ones have no response.
	confirmInterval = 250 * time.Millisecond
	// confirmTimeout bounds such a read. A store that is only slow responds in time.
	confirmTimeout = 1 * time.Second
	// silentReads is the number of such reads without a response after which the store
	// counts as silent. A single response may be lost.
	silentReads = 2
)

// commitConfirmed commits a transaction. If the response is lost, the transaction
// number in the owner's row confirms that the commit has taken effect. A store that
// is merely slow responds eventually and gets no second transaction. If the store was
// silent and answers again, a commit that it does not show is abandoned, since a response
// to a commit that was sent meanwhile would never arrive. It may still take effect.
func (o *Owner) commitConfirmed(ctx context.Context, c *committer, t rowstore.Transaction, number uint64) (rowstore.Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	confirmations := make(chan confirmation, 1)
	silent := c.storeSilent
	o.calls.Go(func() {
		if found, ok := o.awaitConfirmation(ctx, number, silent); ok {
			confirmations <- found
			cancel()
		}
	})
	result, err := o.store.Commit(ctx, t)
	c.storeSilent = err != nil && errors.Is(ctx.Err(), context.DeadlineExceeded)
	if err == nil {
		return result, nil
	}
	select {
	case found := <-confirmations:
		if found.abandoned {
			return rowstore.Result{}, fault.New("commit", rowstore.KindUnknown, "the store was silent and answers again: %w", err)
		}
		o.log.Info("the response to a commit was lost", zap.Uint64("Attempt", number), zap.Uint64("Version", found.result.Version))
		return found.result, nil
	default:
		return rowstore.Result{}, err
	}
}

// confirmation is what reads of the owner's row tell of a commit without a response.
type confirmation struct {
	// result is that of the commit, which has taken effect.
	result rowstore.Result
	// abandoned is set instead if the store does not show the commit after it was silent.
	abandoned bool
}

// confirmRead is the outcome of one read of the owner's row.
type confirmRead struct {
	begun     time.Time
	confirmed bool
	result    rowstore.Result
	err       error
}

// awaitConfirmation polls the owner's row until it holds the given transaction number
// of this owner, or until the store answers after it was silent. silent is set if it was
// so before the commit. awaitConfirmation returns false when the context is done.
func (o *Owner) awaitConfirmation(ctx context.Context, number uint64, silent bool) (confirmation, bool) {
	reads := make(chan confirmRead, int(commitTimeout/confirmInterval)+1)
	ticker := o.timers.Every(confirmInterval)
	defer ticker.Stop()
	unanswered := 0
	for {
		select {
		case <-ticker.C:
			o.calls.Go(func() { reads <- o.readTransactionNumber(ctx, number) })
		case r := <-reads:
			switch {
			case r.confirmed:
				return confirmation{result: r.result}, true
			case r.err != nil && o.timers.Now().Sub(r.begun) >= confirmTimeout:
				unanswered++
				silent = silent || unanswered >= silentReads
			case r.err != nil:
				o.log.Debug("the owner's row cannot be read", zap.Uint64("Attempt", number), zap.Error(r.err))
			case silent:
				return confirmation{abandoned: true}, true
			}
		case <-ctx.Done():
			return confirmation{}, false
		}
	}
}

// readTransactionNumber reads the owner's row and reports whether it holds the given
// transaction number of this owner.
func (o *Owner) readTransactionNumber(ctx context.Context, number uint64) confirmRead {
	out := confirmRead{begun: o.timers.Now()}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	key := ledger.OwnerKey()
	snapshot, err := o.store.Read(ctx, rowstore.Range{Table: key.Table, Partition: key.Partition})
	if err != nil {
		out.err = err
		return out
	}
	state, err := election.DecodeState(snapshot.Rows)
	out.err = err
	if err == nil && state.Owner.Epoch == o.Epoch() && state.Owner.TransactionNumber == number {
		out.confirmed, out.result = true, rowstore.Result{Version: state.Version, Clock: snapshot.Clock}
	}
	return out
}
