// Package intake makes accepted jobs and cancels durable. It works on any host.
//
// A job is accepted by a single conditional write of its row. A repeated
// submission therefore finds the row, no matter which host it reaches.
package intake

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

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
	// KindNoJob means that the job does not exist.
	KindNoJob Kind = "no such job"
	// KindTaken means that a job of another queue or account has the ID. Nothing
	// was written.
	KindTaken Kind = "ID in use"
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
	store  Store
	timers timer.Service
	health *storeHealth
}

// New returns an Intake that writes to the given store.
func New(store Store, timers timer.Service) *Intake {
	return &Intake{store: store, timers: timers, health: newStoreHealth()}
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
// same queue and account with the same ID, that counts as success.
func (i *Intake) Submit(ctx context.Context, accepted cell.AcceptedJob) error {
	value, err := ledger.EncodeJob(accepted)
	if err != nil {
		return fault.New("submit", KindNotDone, "%w", err)
	}
	key := ledger.JobKey(accepted.Job.ID)
	err = i.commit(ctx, "submit", rowstore.Transaction{
		Conditions: []rowstore.Condition{{Key: key}},
		Writes:     []rowstore.Write{{Key: key, Value: value}},
	})
	var conflict *rowstore.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	found, err := findJob(conflict.Rows, accepted.Job.ID)
	scope := manifest.JobScope{Queue: accepted.Queue.Name, Account: accepted.Account.Name, HasAccounts: true}
	if err == nil && !found.In(scope) {
		err = fault.New("submit", KindTaken, "job %s belongs to another queue or account", accepted.Job.ID)
	}
	return err
}

// Cancel makes the cancel of a job durable. A job out of scope counts as missing.
func (i *Intake) Cancel(ctx context.Context, scope manifest.JobScope, id workload.JobID) error {
	found, err := i.Find(ctx, id)
	if err != nil {
		return err
	}
	switch {
	case !found.In(scope):
		return fault.New("cancel", KindNoJob, "job %s", id)
	case found.Cancelled:
		return nil
	}
	return i.commit(ctx, "cancel", rowstore.Transaction{
		Writes: []rowstore.Write{{Key: ledger.CancelKey(id), Value: []byte{1}}},
	})
}

// FindResult tells whether the store holds a job and a cancel of it.
type FindResult struct {
	Known     bool
	Cancelled bool
	// Queue is the name of the job's queue.
	Queue string
	// Account is the name of the job's account, or empty if it has none.
	Account string
}

// In reports whether the job is in scope. The clients of a queue must learn nothing of
// the jobs of other queues, nor those of an account of the jobs of others.
func (f FindResult) In(scope manifest.JobScope) bool {
	return f.Known && scope.Contains(f.Queue, f.Account)
}

// rowsOfJob is the number of rows whose names start with the ID of a job.
const rowsOfJob = 2

// Find looks up a job in the store.
func (i *Intake) Find(ctx context.Context, id workload.JobID) (FindResult, error) {
	key := ledger.JobKey(id)
	var snapshot rowstore.Snapshot
	err := i.retry(ctx, "find", func(ctx context.Context) error {
		var err error
		snapshot, err = i.store.Read(ctx, rowstore.Range{
			Table: key.Table, Partition: key.Partition, From: key.Name, Limit: rowsOfJob,
		})
		return err
	})
	if err != nil {
		return FindResult{}, err
	}
	return findJob(snapshot.Rows, id)
}

// findJob looks up a job among rows.
func findJob(rows []rowstore.Row, id workload.JobID) (FindResult, error) {
	var found FindResult
	for _, row := range rows {
		switch row.Key {
		case ledger.CancelKey(id):
			found.Cancelled = true
		case ledger.JobKey(id):
			accepted, err := ledger.DecodeJob(row.Value)
			if err != nil {
				return FindResult{}, fault.New("find", KindUnknown, "job %s: %w", id, err)
			}
			found.Known, found.Queue, found.Account = true, accepted.Queue.Name, accepted.Account.Name
		}
	}
	return found, nil
}

func (i *Intake) commit(ctx context.Context, op string, t rowstore.Transaction) error {
	return i.retry(ctx, op, func(ctx context.Context) error {
		_, err := i.store.Commit(ctx, t)
		return err
	})
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
