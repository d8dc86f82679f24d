// Package intake makes accepted jobs and cancels durable, from any host.
//
// A job is accepted by one conditional write of its row, so that a repeated
// submission finds the row whichever host it reaches.
package intake

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/ledger"
	"cicadabarrow.example/cicadabarrow/internal/rowstore"
	"cicadabarrow.example/cicadabarrow/internal/timer"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// Kind tells what a failure means for the client.
type Kind string

const (
	// KindNotDone means that nothing was written, now or later.
	KindNotDone Kind = "not done"
	// KindUnknown means that the row may be there, now or later.
	KindUnknown Kind = "unknown"
	// KindMissing means that there is no such job.
	KindMissing Kind = "no such job"
)

// Error is the error of this package.
type Error = fault.Error[Kind]

// Store is the part of the platform's store that intake needs.
type Store interface {
	Commit(ctx context.Context, t rowstore.Transaction) (rowstore.Result, error)
	Read(ctx context.Context, r rowstore.Range) (rowstore.Snapshot, error)
}

const (
	// callTimeout bounds one call of the store.
	callTimeout = 1500 * time.Millisecond
	// firstPause and maxPause bound the wait before a call is repeated.
	firstPause = 20 * time.Millisecond
	maxPause   = 200 * time.Millisecond
	// maxTries bounds the calls for one request.
	maxTries = 4
)

// Intake writes what clients hand in to the store.
type Intake struct {
	store  Store
	timers timer.Service
	health *health
}

// New returns an intake over a store.
func New(store Store, timers timer.Service) *Intake {
	return &Intake{store: store, timers: timers, health: newHealth()}
}

// Away reports whether the store does not answer this host. Nothing is written
// then.
func (i *Intake) Away() bool { return i.health.away(i.timers.Now()) }

// Probe finds out whether a store that was silent answers again.
func (i *Intake) Probe(ctx context.Context) {
	key := ledger.OwnerKey()
	_ = i.watched(ctx, func(ctx context.Context) error {
		_, err := i.store.Read(ctx, rowstore.Range{Table: key.Table, Part: key.Part})
		return err
	})
}

// watched makes one call of the store and notes how it ended.
func (i *Intake) watched(ctx context.Context, call func(context.Context) error) error {
	number := i.health.begin(i.timers.Now())
	err := call(ctx)
	switch {
	case err == nil, fault.Is(err, rowstore.KindConflict):
		i.health.end(number, answered)
	case fault.Is(err, rowstore.KindNotDone):
		i.health.end(number, turnedAway)
	default:
		i.health.end(number, unanswered)
	}
	return err
}

// Submit makes an accepted job durable. A job of the same ID that is there
// already counts as this one.
func (i *Intake) Submit(ctx context.Context, a cell.AcceptedJob) error {
	value, err := ledger.EncodeJob(a)
	if err != nil {
		return fault.New("submit", KindNotDone, "%w", err)
	}
	key := ledger.JobKey(a.Job.ID)
	err = i.commit(ctx, "submit", rowstore.Transaction{
		Conditions: []rowstore.Condition{{Key: key}},
		Writes:     []rowstore.Write{{Key: key, Value: value}},
	})
	if fault.Is(err, rowstore.KindConflict) {
		return nil
	}
	return err
}

// Cancel makes the cancel of a job durable.
func (i *Intake) Cancel(ctx context.Context, id workload.JobID) error {
	found, err := i.Find(ctx, id)
	if err != nil {
		return err
	}
	switch {
	case !found.Known:
		return fault.New("cancel", KindMissing, "job %s", id)
	case found.Cancelled:
		return nil
	}
	return i.commit(ctx, "cancel", rowstore.Transaction{
		Writes: []rowstore.Write{{Key: ledger.CancelKey(id), Value: []byte{1}}},
	})
}

// Found is what the store knows of a job.
type Found struct {
	Known     bool
	Cancelled bool
}

// rowsOfJob is the number of rows that begin with a job's ID.
const rowsOfJob = 2

// Find looks a job up in the store.
func (i *Intake) Find(ctx context.Context, id workload.JobID) (Found, error) {
	key := ledger.JobKey(id)
	var snapshot rowstore.Snapshot
	err := i.repeat(ctx, "find", func(ctx context.Context) error {
		var err error
		snapshot, err = i.store.Read(ctx, rowstore.Range{
			Table: key.Table, Part: key.Part, From: key.Name, Limit: rowsOfJob,
		})
		return err
	})
	if err != nil {
		return Found{}, err
	}
	var found Found
	for _, row := range snapshot.Rows {
		found.Known = found.Known || row.Key == key
		found.Cancelled = found.Cancelled || row.Key == ledger.CancelKey(id)
	}
	return found, nil
}

func (i *Intake) commit(ctx context.Context, op string, t rowstore.Transaction) error {
	return i.repeat(ctx, op, func(ctx context.Context) error {
		_, err := i.store.Commit(ctx, t)
		return err
	})
}

// repeat makes a call until its outcome is certain, the client's time is over,
// or it was tried often enough. A conflict is returned as it is.
func (i *Intake) repeat(ctx context.Context, op string, call func(context.Context) error) error {
	kind := KindNotDone
	pause := firstPause
	var last error
	for range maxTries {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		last = i.watched(callCtx, call)
		cancel()
		if last == nil || fault.Is(last, rowstore.KindConflict) {
			return last
		}
		if fault.Is(last, rowstore.KindInvalid) || i.Away() {
			if fault.Is(last, rowstore.KindUnknown) {
				kind = KindUnknown
			}
			break
		}
		if !fault.Is(last, rowstore.KindNotDone) {
			kind = KindUnknown
		}
		if !i.wait(ctx, pause/2+rand.N(pause)) {
			last = errors.Join(last, ctx.Err())
			break
		}
		pause = min(2*pause, maxPause)
	}
	return fault.New(op, kind, "%w", last)
}

// wait pauses, and reports false when the client's time is over.
func (i *Intake) wait(ctx context.Context, d time.Duration) bool {
	pause := i.timers.After(d)
	defer pause.Stop()
	select {
	case <-pause.C:
		return true
	case <-ctx.Done():
		return false
	}
}
