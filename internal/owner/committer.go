package owner

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/election"
	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/ledger"
	"cicadabarrow.example/cicadabarrow/internal/rowstore"
)

const (
	// commitTimeout is the timeout of a commit.
	commitTimeout = 3 * time.Second
	// renewalGrace is how long after Config.RenewEvery the event loop may still pass
	// a batch, which renews the row as well. An idle event loop passes one with the
	// next tick.
	renewalGrace = tickInterval + tickInterval/2
	// lateRenewal is the time without a renewal above which it is logged. Hosts then
	// take over unless the owner answers their pings.
	lateRenewal = 600 * time.Millisecond
	// maxIterationTime is how long the event loop may take for an iteration while the row
	// is still renewed. An owner that decides nothing for longer has to be replaced
	// before the leases of its workers expire.
	maxIterationTime = 1 * time.Second
)

// committer writes the transactions of an owner, one at a time, in a goroutine of
// its own. While the event loop passes no batch, it renews the owner's row alone, so
// that a long decision or a long event queue delays no renewal.
type committer struct {
	// batches holds the next batch, and outcomes the outcome of the last one.
	batches  chan commitRequest
	outcomes chan committed

	// Only the goroutine of the committer uses the fields below.

	// rowVersion is the last known version of the owner's row.
	rowVersion uint64
	// storeClock is the store's monotonic clock at the last commit, whose response
	// arrived at clockAt. 0 means unknown.
	storeClock time.Duration
	clockAt    time.Time
	// transactionNumber is the number of this owner's last transaction, continued
	// from its row.
	transactionNumber uint64
	// earlyStartWorkers holds the workers that the last row known to be durable names.
	earlyStartWorkers []string
	// renewAt is when the row is renewed without a batch. It counts from when the last
	// commit was sent, so that a response that is handled late delays no renewal.
	renewAt time.Time
	// releasing is set once a commit may have marked the row as released.
	releasing bool
	// storeSilent is set if the last commit had no response within its timeout.
	storeSilent bool
}

func newCommitter(now time.Time, initial InitialState, renewAt time.Time) *committer {
	return &committer{
		batches: make(chan commitRequest, 1), outcomes: make(chan committed, 1),
		rowVersion: initial.Version, storeClock: initial.Row.WrittenAfter, clockAt: now, transactionNumber: initial.Row.TransactionNumber,
		earlyStartWorkers: initial.Row.EarlyStartWorkers, renewAt: renewAt,
	}
}

// clockNow returns a reading that the store's monotonic clock has passed by now.
func (c *committer) clockNow(now time.Time) time.Duration {
	if c.storeClock == 0 {
		return 0
	}
	return c.storeClock + now.Sub(c.clockAt)
}

// commitRequest is a batch with its transaction, which lacks the owner's row.
type commitRequest struct {
	batch       batch
	transaction rowstore.Transaction
	released    bool
}

// runCommitter commits batches and renews the row until the owner ends.
func (o *Owner) runCommitter() {
	c := o.committer
	for {
		due := o.timers.After(c.renewAt.Sub(o.timers.Now()))
		select {
		case r := <-c.batches:
			o.commitBatch(c, r)
		case <-due.C:
			o.renew(c)
		case <-o.ctx.Done():
			due.Stop()
			return
		}
		due.Stop()
	}
}

// commitBatch commits a batch and passes its outcome to the event loop.
func (o *Owner) commitBatch(c *committer, r commitRequest) {
	c.releasing = c.releasing || r.released
	named := make([]string, len(r.batch.earlyStartWorkers))
	for i, id := range r.batch.earlyStartWorkers {
		named[i] = string(id)
	}
	start := o.timers.Now()
	err := o.write(c, r.transaction, named, r.released)
	c.outcomes <- committed{batch: r.batch, released: r.released, took: o.timers.Now().Sub(start), err: err}
}

// renew renews the row without a batch. It names the workers that the durable row
// names, to which alone early starts may have been sent.
func (o *Owner) renew(c *committer) {
	c.renewAt = o.timers.Now().Add(renewalGrace)
	if c.releasing || o.sinceDecision() > maxIterationTime {
		return
	}
	if err := o.write(c, rowstore.Transaction{}, c.earlyStartWorkers, false); err != nil {
		if o.ctx.Err() == nil {
			o.log.Warn("renewal failed", zap.Error(err))
		}
		return
	}
	o.metrics.renewals.Inc(1)
}

// write commits a transaction together with the owner's row, under the condition
// that the row is unchanged since this owner last wrote it. So nothing is written
// once another host has taken over, and a commit whose response was lost never takes
// effect after a later one.
func (o *Owner) write(c *committer, t rowstore.Transaction, earlyStartWorkers []string, released bool) error {
	c.transactionNumber++
	row := o.initial.Row
	row.Released = released
	row.Admission = o.admission.at(o.timers.Now())
	row.PredecessorsEnded = o.predecessorsEnded(o.timers.Now())
	row.WrittenAfter = c.clockNow(o.timers.Now())
	row.TransactionNumber = c.transactionNumber
	row.EarlyStartWorkers = earlyStartWorkers
	value, err := ledger.EncodeOwner(row)
	if err != nil {
		o.end(fault.New("commit", KindStore, "%w", err))
		return err
	}
	t.Conditions = []rowstore.Condition{{Key: ledger.OwnerKey(), Version: c.rowVersion}}
	t.Writes = slices.Concat([]rowstore.Write{{Key: ledger.OwnerKey(), Value: value}}, t.Writes)
	ctx, cancel := context.WithTimeout(o.ctx, commitTimeout)
	defer cancel()
	sent, begun := o.timers.Now(), o.timers.Latest()
	result, err := o.commitConfirmed(ctx, c, t, c.transactionNumber)
	if err != nil {
		c.renewAt = o.timers.Now().Add(renewalGrace + rand.N(commitBackoff))
		o.resolveConflict(c, err)
		return err
	}
	now := o.timers.Now()
	c.rowVersion, c.storeClock, c.clockAt, c.earlyStartWorkers = result.Version, result.Clock, now, earlyStartWorkers
	c.renewAt = latest(sent.Add(o.config.RenewEvery+renewalGrace), now.Add(renewalGrace))
	o.rowWrites.Add(1)
	o.mu.Lock()
	unrenewed := now.Sub(o.renewedAt)
	o.renewedAt, o.renewedVersion, o.confirmedAt = now, result.Version, begun
	o.mu.Unlock()
	if unrenewed > lateRenewal {
		o.log.Info("the row was renewed late", zap.Duration("Unrenewed", unrenewed), zap.Duration("CommitTime", now.Sub(sent)),
			zap.Duration("SinceDecision", o.sinceDecision()), zap.Int("EventsWaiting", o.events.Len()))
	}
	return nil
}

// resolveConflict finds out, if a commit has failed with a conflict, whether an
// earlier commit whose response was lost has taken effect, or whether this owner has
// been replaced.
func (o *Owner) resolveConflict(c *committer, err error) {
	var conflict *rowstore.ConflictError
	if !errors.As(err, &conflict) {
		return
	}
	state, err := election.DecodeState(conflict.Rows)
	if err != nil {
		o.end(fault.New("commit", KindStore, "%w", err))
		return
	}
	if state.Owner.Epoch != o.Epoch() {
		o.end(fault.New("commit", KindReplaced, "epoch %d has been replaced", o.Epoch()))
		return
	}
	o.log.Info("an earlier commit without a response has taken effect", zap.Uint64("Version", state.Version))
	c.rowVersion = state.Version
	c.earlyStartWorkers = union(c.earlyStartWorkers, state.Owner.EarlyStartWorkers)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// union returns the names that are in either list, in order.
func union(a, b []string) []string {
	all := slices.Sorted(slices.Values(slices.Concat(a, b)))
	return slices.Compact(all)
}

// sinceDecision returns how long ago the event loop last decided, including the time
// in which the process was suspended.
func (o *Owner) sinceDecision() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.timers.Latest().Sub(o.activeAt)
}
