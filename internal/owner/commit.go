package owner

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/election"
	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/ledger"
	"cicadabarrow.example/cicadabarrow/internal/rowstore"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

const (
	// recordsPerCommit keeps a transaction within the store's limit of 100
	// entries.
	recordsPerCommit = 90
	// removesPerCommit and wavesPerCommit leave room for records of jobs.
	removesPerCommit = 60
	wavesPerCommit   = 10
	// commitTimeout bounds a commit of records.
	commitTimeout = 3 * time.Second
	// commitPause is the mean wait before a failed commit is repeated.
	commitPause = 60 * time.Millisecond
)

// commit makes the records that wait durable, one transaction at a time, and
// renews the owner's row with each. While it is on its way, the next batch
// fills.
func (o *Owner) commit(now time.Time) {
	due := o.cell.HasRecords() || o.leaving.is || !now.Before(o.renewAt)
	if o.committing || now.Before(o.retryAt) || !due {
		return
	}
	b := batch{removes: o.removes[:min(len(o.removes), removesPerCommit)]}
	b.waves = o.cell.WaveRecords()
	b.waves = b.waves[:min(len(b.waves), wavesPerCommit)]
	b.records = o.cell.TakeRecords(recordsPerCommit - len(b.removes) - len(b.waves))
	b.ahead = o.cell.EarlyStartWorkers(now)
	o.attempt++
	attempt := o.attempt
	t, err := o.transaction(now, b)
	if err != nil {
		o.end(fault.New("commit", KindStore, "%w", err))
		return
	}
	o.committing = true
	released := o.leaving.is
	o.calls.Go(func() {
		ctx, cancel := context.WithTimeout(o.ctx, commitTimeout)
		defer cancel()
		begin := o.timers.Now()
		result, err := o.carryOut(ctx, t, attempt)
		took := o.timers.Now().Sub(begin)
		o.put(committed{batch: b, version: result.Version, clock: result.Clock, released: released, took: took, err: err})
	})
}

// transaction writes records under the condition that the owner's row is as
// this owner wrote it last. So nothing is written once another host has taken
// over, and a write whose answer was lost never lands after a later one.
func (o *Owner) transaction(now time.Time, b batch) (rowstore.Transaction, error) {
	me := o.tenure.Me
	me.Released = o.leaving.is
	me.EarlierEnded = o.earlierEnded(now)
	me.Before = o.storeClock
	me.Attempt = o.attempt
	me.Ahead = make([]string, len(b.ahead))
	for i, id := range b.ahead {
		me.Ahead[i] = string(id)
	}
	value, err := ledger.EncodeOwner(me)
	if err != nil {
		return rowstore.Transaction{}, err
	}
	t := rowstore.Transaction{
		Conditions: []rowstore.Condition{{Key: ledger.OwnerKey(), Version: o.version}},
		Writes:     []rowstore.Write{{Key: ledger.OwnerKey(), Value: value}},
	}
	for _, id := range b.removes {
		t.Removes = append(t.Removes, ledger.ProgressKey(id))
	}
	for _, r := range b.records {
		value, err := ledger.EncodeRecord(r)
		if err != nil {
			return rowstore.Transaction{}, err
		}
		t.Writes = append(t.Writes, rowstore.Write{Key: ledger.ProgressKey(r.Job), Value: value})
	}
	for _, r := range b.waves {
		value, err := ledger.EncodeWave(r)
		if err != nil {
			return rowstore.Transaction{}, err
		}
		t.Writes = append(t.Writes, rowstore.Write{Key: ledger.WaveKey(r.Wave), Value: value})
	}
	return t, nil
}

// batch is what one transaction makes durable.
type batch struct {
	records []cell.Record
	waves   []cell.WaveRecord
	// ahead holds the workers at which starts may go ahead of their record.
	ahead []cell.WorkerID
	// removes holds the forgotten jobs whose records go with it.
	removes []workload.JobID
}

type committed struct {
	batch   batch
	version uint64
	clock   time.Duration
	// released is set when the commit has given the cell up.
	released bool
	took     time.Duration
	err      error
}

func (e committed) apply(o *Owner, now time.Time) {
	o.committing = false
	o.cell.SetEarlyStarts(o.slow.took(e.took, e.err))
	o.meters.commit.RecordDuration(e.took)
	if e.err == nil {
		o.version = e.version
		o.storeClock = e.clock
		o.renewAt = now.Add(o.config.RenewEvery)
		o.mu.Lock()
		o.renewedAt = now
		o.mu.Unlock()
		o.removes = o.removes[len(e.batch.removes):]
		o.cell.WavesCommitted(e.batch.waves)
		o.cell.EarlyStartWorkersCommitted(e.batch.ahead)
		o.cell.Committed(now, e.batch.records)
		if e.released {
			o.log.Info("released the cell")
			o.end(o.leaving.reason)
		}
		return
	}
	o.cell.NotCommitted(e.batch.records)
	var conflict *rowstore.ConflictError
	if errors.As(e.err, &conflict) {
		o.resolve(conflict)
		return
	}
	if o.ctx.Err() != nil {
		return
	}
	o.log.Warn("commit failed", zap.Int("Records", len(e.batch.records)), zap.Error(e.err))
	o.retryAt = now.Add(commitPause/2 + rand.N(commitPause))
}

// resolve learns from the owner's row whether an earlier commit has landed
// after all, or whether this owner was replaced.
func (o *Owner) resolve(conflict *rowstore.ConflictError) {
	state, err := election.ReadState(conflict.Rows)
	if err != nil {
		o.end(fault.New("commit", KindStore, "%w", err))
		return
	}
	if state.Owner.Epoch != o.Epoch() {
		o.end(fault.New("commit", KindReplaced, "epoch %d is over", o.Epoch()))
		return
	}
	o.log.Info("an earlier commit has landed after all", zap.Uint64("Version", state.Version))
	o.version = state.Version
}
