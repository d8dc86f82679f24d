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
	// resendAfter is how long a commit may go without a response before it is sent once
	// more, if the store answers reads within promptRead and has not applied it. Its
	// connection has then probably fallen silent, while new ones work. The first read
	// decides: hosts replace an owner 0.9 s after its last renewal, of which an idle owner
	// waits 0.55 s.
	resendAfter = 200 * time.Millisecond
	promptRead  = 100 * time.Millisecond
)

// commitConfirmed commits a transaction. If the response is lost, the transaction
// number in the owner's row confirms that the commit has taken effect. A store that
// is merely slow responds eventually and gets no second transaction. If the request
// seems to be lost, it is sent once more: the condition on the version of the owner's
// row lets only one of the two take effect. If the store was silent and answers again, a
// commit that it does not show is abandoned, since a response to a commit that was sent
// meanwhile would never arrive. It may still take effect.
func (o *Owner) commitConfirmed(ctx context.Context, c *committer, t rowstore.Transaction, number uint64) (rowstore.Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	confirmations := make(chan confirmation, 2)
	silent := c.storeSilent
	o.calls.Go(func() {
		resend := func() {
			if result, err := o.store.Commit(ctx, t); err == nil {
				confirmations <- confirmation{result: result}
				cancel()
			}
		}
		if found, ok := o.awaitConfirmation(ctx, number, silent, resend); ok {
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
	begun, ended time.Time
	// confirmed is set if the commit has taken effect, with its result, and unapplied if
	// this owner's last transaction is an earlier one.
	confirmed bool
	result    rowstore.Result
	unapplied bool
	err       error
}

// awaitConfirmation polls the owner's row until it holds the given transaction number
// of this owner, or until the store answers after it was silent. silent is set if it was
// so before the commit. awaitConfirmation returns false when the context is done. It calls
// resend, in a goroutine of its own, if the request seems to be lost.
func (o *Owner) awaitConfirmation(ctx context.Context, number uint64, silent bool, resend func()) (confirmation, bool) {
	reads := make(chan confirmRead, int(commitTimeout/confirmInterval)+1)
	ticker := o.timers.Every(confirmInterval)
	defer ticker.Stop()
	begun, unanswered, resent := o.timers.Now(), 0, false
	for {
		select {
		case <-ticker.C:
			o.calls.Go(func() { reads <- o.readTransactionNumber(ctx, number) })
		case r := <-reads:
			switch {
			case r.confirmed:
				return confirmation{result: r.result}, true
			case r.err != nil && r.ended.Sub(r.begun) >= confirmTimeout:
				unanswered++
				silent = silent || unanswered >= silentReads
			case r.err != nil:
				o.log.Debug("the owner's row cannot be read", zap.Uint64("Attempt", number), zap.Error(r.err))
			case silent:
				return confirmation{abandoned: true}, true
			case r.unapplied && !resent && r.ended.Sub(begun) >= resendAfter && r.ended.Sub(r.begun) <= promptRead:
				resent = true
				o.log.Info("a commit without a response is sent again", zap.Uint64("Attempt", number), zap.Duration("After", r.ended.Sub(begun)))
				o.calls.Go(resend)
			}
		case <-ctx.Done():
			return confirmation{}, false
		}
	}
}

// readTransactionNumber reads the owner's row and compares its transaction number with the
// given one of this owner.
func (o *Owner) readTransactionNumber(ctx context.Context, number uint64) confirmRead {
	out := confirmRead{begun: o.timers.Now()}
	state, err := o.readOwnerRow(ctx)
	out.ended, out.err = o.timers.Now(), err
	if err == nil && state.Owner.Epoch == o.Epoch() {
		out.confirmed, out.unapplied = state.Owner.TransactionNumber == number, state.Owner.TransactionNumber < number
		out.result = rowstore.Result{Version: state.Version, Clock: state.Clock}
	}
	return out
}

// readOwnerRow reads the owner's row.
func (o *Owner) readOwnerRow(ctx context.Context) (election.State, error) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	key := ledger.OwnerKey()
	snapshot, err := o.store.Read(ctx, rowstore.Range{Table: key.Table, Partition: key.Partition})
	if err != nil {
		return election.State{}, err
	}
	state, err := election.DecodeState(snapshot.Rows)
	state.Clock = snapshot.Clock
	return state, err
}
