package owner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/election"
	"cicadabarrow.example/cicadabarrow/internal/ledger"
	"cicadabarrow.example/cicadabarrow/internal/rowstore"
)

// confirmInterval is how long a commit may go without a response before the owner's
// row is read to find out whether the commit has taken effect. The read is repeated
// at this interval.
const confirmInterval = 250 * time.Millisecond

const (
	// confirmTimeout is the timeout of such a read, whose connection may be silent.
	confirmTimeout = 1 * time.Second
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
// row lets only one of the two take effect.
func (o *Owner) commitConfirmed(ctx context.Context, t rowstore.Transaction, number uint64) (rowstore.Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	confirmed := make(chan rowstore.Result, 2)
	o.calls.Go(func() {
		resend := func() {
			if result, err := o.store.Commit(ctx, t); err == nil {
				confirmed <- result
				cancel()
			}
		}
		if result, ok := o.awaitConfirmation(ctx, number, resend); ok {
			confirmed <- result
			cancel()
		}
	})
	result, err := o.store.Commit(ctx, t)
	if err == nil {
		return result, nil
	}
	select {
	case result := <-confirmed:
		o.log.Info("the response to a commit was lost", zap.Uint64("Attempt", number), zap.Uint64("Version", result.Version))
		return result, nil
	default:
		return rowstore.Result{}, err
	}
}

// awaitConfirmation polls the owner's row until it holds the given transaction number
// of this owner. It returns false when the context is done. It calls resend, in a
// goroutine of its own, if the request seems to be lost.
func (o *Owner) awaitConfirmation(ctx context.Context, number uint64, resend func()) (rowstore.Result, bool) {
	begun, resent := o.timers.Now(), false
	for {
		timer := o.timers.After(confirmInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return rowstore.Result{}, false
		}
		sent := o.timers.Now()
		state, err := o.readOwnerRow(ctx)
		if err != nil {
			o.log.Debug("the owner's row cannot be read", zap.Uint64("Attempt", number), zap.Error(err))
			continue
		}
		now := o.timers.Now()
		switch unapplied := state.Owner.Epoch == o.Epoch() && state.Owner.TransactionNumber < number; {
		case state.Owner.Epoch == o.Epoch() && state.Owner.TransactionNumber == number:
			return rowstore.Result{Version: state.Version, Clock: state.Clock}, true
		case unapplied && !resent && now.Sub(begun) >= resendAfter && now.Sub(sent) <= promptRead:
			resent = true
			o.log.Info("a commit without a response is sent again", zap.Uint64("Attempt", number), zap.Duration("After", now.Sub(begun)))
			o.calls.Go(resend)
		}
	}
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
