// Package intake makes accepted jobs and cancels durable. It works on any host.
//
// A job is accepted by a single conditional write of its row. A repeated
// submission therefore finds the row, no matter which host it reaches. The cancel of a job
// that has no row writes a tombstone in its place, so that a submission that is still in
// flight, here, at another host or in the store, finds that and accepts nothing.
package intake

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/uber-go/tally/v4"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/ledger"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/rowstore"
	"cicadabarrow.example/cicadabarrow/internal/timer"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// Kind classifies failures by what they mean for the client.
type Kind string

const (
	// KindNotDone means that nothing was written and nothing will be.
	KindNotDone Kind = "not done"
	// KindUnknown means that the row may have been written or may still be.
	KindUnknown Kind = "unknown"
	// KindNoJob means that the job does not exist. After a cancel, a submission of it that
	// is still in flight will not take effect.
	KindNoJob Kind = "no such job"
	// KindTaken means that a job of another queue or account has the ID. Nothing
	// was written.
	KindTaken Kind = "ID in use"
	// KindCancelled means that the job was cancelled before it was accepted. Nothing was
	// written and nothing will be.
	KindCancelled Kind = "cancelled before"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Store is the part of the platform's store that Intake uses.
type Store interface {
	Commit(ctx context.Context, t rowstore.Transaction) (rowstore.Result, error)
	Read(ctx context.Context, r rowstore.Range) (rowstore.Snapshot, error)
}

const (
	// callTimeout bounds one call to the store, if SlowAfter is not longer.
	callTimeout = 1500 * time.Millisecond
	// slowFactor times the recent latency of the store is SlowAfter.
	slowFactor = 3
	// minBackoff and maxBackoff bound the mean backoff before a call is retried.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 200 * time.Millisecond
	// maxAttempts bounds the number of calls for a request that the store rejects.
	maxAttempts = 4
	// maxRetryTime bounds the time in which a call whose outcome is unknown is
	// repeated, if the client waits for longer.
	maxRetryTime = 5 * time.Second
)

// Intake writes the jobs and cancels of clients to the store.
type Intake struct {
	store   Store
	timers  timer.Service
	health  *storeHealth
	limiter *tombstoneLimiter
	metrics metrics
}

// New returns an Intake that writes to the given store, and at most tombstoneRate
// tombstones a second.
func New(store Store, timers timer.Service, tombstoneRate func() float64, scope tally.Scope) *Intake {
	return &Intake{
		store: store, timers: timers, health: newStoreHealth(),
		limiter: newTombstoneLimiter(tombstoneRate), metrics: newMetrics(scope),
	}
}

// StoreUnavailable reports whether the caller should send no request to the store,
// since the store does not answer this host or rejects its calls. If the store
// rejects calls, it returns false once per trialInterval, and that caller's request
// is the trial that finds out whether the store has recovered.
func (i *Intake) StoreUnavailable() bool { return i.health.unavailable(i.timers.Now()) }

// NeedsProbe reports whether the store should be probed. Unlike StoreUnavailable, it may be
// called at any time.
func (i *Intake) NeedsProbe() bool { return i.health.failing(i.timers.Now()) }

// SlowAfter returns after what time a call takes longer than the store's recent latency
// explains. On a store that is slow for all, a second call would only wait behind the
// first one in the row's partition.
func (i *Intake) SlowAfter() time.Duration {
	return slowFactor * i.health.recentLatency(i.timers.Now())
}

// Probe reads a row to find out whether an unavailable store has recovered. Unlike
// the trial of StoreUnavailable, it sends no request of a client.
func (i *Intake) Probe(ctx context.Context) {
	key := ledger.OwnerKey()
	_, _ = i.observed(ctx, func(ctx context.Context) error {
		_, err := i.store.Read(ctx, rowstore.Range{Table: key.Table, Partition: key.Partition})
		return err
	})
}

// observed makes one call to the store and records how it ended.
func (i *Intake) observed(ctx context.Context, call func(context.Context) error) (outcome, error) {
	begin := i.timers.Now()
	number := i.health.begin(begin)
	err := call(ctx)
	now := i.timers.Now()
	out := i.outcomeOf(err, now.Sub(begin), ctx.Err() != nil)
	i.health.end(now, number, out)
	return out, err
}

// outcomeOf returns how a call ended. A store that answers that a call is in conflict or
// invalid is available. gaveUp is set if the context of the call has ended.
func (i *Intake) outcomeOf(err error, took time.Duration, gaveUp bool) outcome {
	switch {
	case err == nil, fault.Is(err, rowstore.KindConflict), fault.Is(err, rowstore.KindInvalid):
		return answered
	case gaveUp && took < min(max(minSilence, i.SlowAfter()), unavailableAfter):
		return abandoned
	case fault.Is(err, rowstore.KindNotDone):
		return rejected
	case !gaveUp && took < brokenWithin:
		return broken
	}
	return noAnswer
}

// Submit makes an accepted job durable. If the store already holds a job of the
// same queue and account with the same ID, that counts as success. A job that was
// cancelled before gives KindCancelled.
func (i *Intake) Submit(ctx context.Context, accepted cell.AcceptedJob) error {
	const op = "submit"
	id, queue, account := accepted.Job.ID, accepted.Queue.Name, accepted.Account.Name
	value, err := ledger.EncodeJob(accepted)
	if err != nil {
		return fault.New(op, KindNotDone, "%w", err)
	}
	return i.write(op, jobRows{}, func(current jobRows) (jobRows, error) {
		switch {
		case current.In(manifest.JobScope{Queue: queue, Account: account, HasAccounts: true}):
			return current, nil
		case current.Known:
			return current, fault.New(op, KindTaken, "job %s belongs to another queue or account", id)
		case current.Tombstone.Covers(queue, account):
			i.metrics.cancelledBefore.Inc(1)
			return current, fault.New(op, KindCancelled, "job %s was cancelled before it was accepted", id)
		}
		return i.commitIf(ctx, op, id, current.version, rowstore.Write{Key: ledger.JobKey(id), Value: value})
	})
}

// maxConflicts bounds how often a write is made again because the row of its job has
// changed. It changes only with the requests of clients for the same ID.
const maxConflicts = 4

// write makes a conditional write under the ID of a job. attempt makes it, given the rows
// as they are known; if they have changed, it returns the current ones with an error of
// rowstore.KindConflict, and is called again.
func (i *Intake) write(op string, current jobRows, attempt func(current jobRows) (jobRows, error)) error {
	for conflicts := range maxConflicts {
		next, err := attempt(current)
		switch {
		case fault.Is(err, rowstore.KindConflict):
			current = next
			continue
		case conflicts > 0 && fault.Is(err, KindNotDone):
			// A call before the conflict may have had no answer.
			return fault.New(op, KindUnknown, "%w", err)
		}
		return err
	}
	return fault.New(op, KindUnknown, "the row changed %d times", maxConflicts)
}

// commitIf makes a write if the row of a job still has a version; 0 means that there is
// none. In a conflict, it returns the current rows.
func (i *Intake) commitIf(
	ctx context.Context, op string, id workload.JobID, version uint64, w rowstore.Write,
) (jobRows, error) {
	t := rowstore.Transaction{
		Conditions: []rowstore.Condition{{Key: ledger.JobKey(id), Version: version}},
		Writes:     []rowstore.Write{w},
	}
	err := i.retry(ctx, op, func(ctx context.Context) error {
		_, err := i.store.Commit(ctx, t)
		return err
	})
	var conflict *rowstore.ConflictError
	if !errors.As(err, &conflict) {
		return jobRows{}, err
	}
	current, decodeErr := decodeRows(conflict.Rows, id)
	if decodeErr != nil {
		return jobRows{}, decodeErr
	}
	return current, err
}

// retry makes a call until it succeeds or cannot succeed in time. A call that may have
// been carried out is repeated while the store only breaks connections, since a later
// answer tells what became of it; all calls that retry makes are idempotent. The error
// is KindUnknown if any attempt may have taken effect. A conflict is returned as it is.
func (i *Intake) retry(ctx context.Context, op string, call func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, maxRetryTime)
	defer cancel()
	kind := KindNotDone
	backoff := minBackoff
	for attempt := 1; ; attempt++ {
		callCtx, cancelCall := context.WithTimeout(ctx, max(callTimeout, i.SlowAfter()))
		out, err := i.observed(callCtx, call)
		cancelCall()
		if err == nil || fault.Is(err, rowstore.KindConflict) {
			return err
		}
		if out != answered && !fault.Is(err, rowstore.KindNotDone) {
			kind = KindUnknown
		}
		if !i.worthRetrying(out, kind, attempt) {
			return fault.New(op, kind, "%w", err)
		}
		if !i.sleep(ctx, backoff/2+rand.N(backoff)) {
			return fault.New(op, kind, "%w", errors.Join(err, ctx.Err()))
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// worthRetrying reports whether a request is sent again after a call with the given
// outcome; kind tells whether any of its calls may have been carried out.
func (i *Intake) worthRetrying(out outcome, kind Kind, attempt int) bool {
	switch {
	case out == answered, out == abandoned: // the request is invalid, or its client has given up
		return false
	case out == noAnswer:
		return !i.StoreUnavailable()
	case kind == KindUnknown:
		return true
	}
	return attempt < maxAttempts && !i.StoreUnavailable()
}

// sleep waits for a duration. It returns false when ctx ends first.
func (i *Intake) sleep(ctx context.Context, d time.Duration) bool {
	pause := i.timers.After(d)
	defer pause.Stop()
	select {
	case <-pause.C:
		return true
	case <-ctx.Done():
		return false
	}
}
