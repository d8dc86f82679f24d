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

// commitConfirmed commits a transaction. If the response is lost, the transaction
// number in the owner's row confirms that the commit has taken effect. A store that
// is merely slow responds eventually and gets no second transaction.
func (o *Owner) commitConfirmed(ctx context.Context, t rowstore.Transaction, number uint64) (rowstore.Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	confirmed := make(chan rowstore.Result, 1)
	o.calls.Go(func() {
		if result, ok := o.awaitConfirmation(ctx, number); ok {
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
// of this owner. It returns false when the context is done.
func (o *Owner) awaitConfirmation(ctx context.Context, number uint64) (rowstore.Result, bool) {
	key := ledger.OwnerKey()
	for {
		timer := o.timers.After(confirmInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return rowstore.Result{}, false
		}
		snapshot, err := o.store.Read(ctx, rowstore.Range{Table: key.Table, Partition: key.Partition})
		if err != nil {
			o.log.Debug("the owner's row cannot be read", zap.Uint64("Attempt", number), zap.Error(err))
			continue
		}
		state, err := election.DecodeState(snapshot.Rows)
		if err == nil && state.Owner.Epoch == o.Epoch() && state.Owner.TransactionNumber == number {
			return rowstore.Result{Version: state.Version, Clock: snapshot.Clock}, true
		}
	}
}
