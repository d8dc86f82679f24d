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
	// maxEntriesPerCommit keeps a transaction within the store's limit of 100
	// entries.
	maxEntriesPerCommit = 90
	// maxDeletesPerCommit and maxWavesPerCommit leave entries for records of jobs.
	maxDeletesPerCommit = 60
	maxWavesPerCommit   = 10
	// maxCommitBytes keeps a transaction within the store's limit of 1 MB.
	maxCommitBytes = 900_000
	// commitTimeout is the timeout of a commit.
	commitTimeout = 3 * time.Second
	// commitBackoff is the mean delay before a failed commit is retried.
	commitBackoff = 60 * time.Millisecond
)

// commit makes pending records durable, one transaction at a time, and renews the
// owner's row with each. The next batch accumulates while a commit is in flight.
func (o *Owner) commit(now time.Time) {
	due := o.cell.HasRecords() || o.release.requested || !now.Before(o.renewAt)
	if o.committing || now.Before(o.retryAt) || !due {
		return
	}
	b, writes, err := o.nextBatch(now)
	if err != nil {
		o.end(fault.New("commit", KindStore, "%w", err))
		return
	}
	o.transactionNumber++
	number := o.transactionNumber
	t, err := o.transaction(now, b, writes)
	if err != nil {
		o.end(fault.New("commit", KindStore, "%w", err))
		return
	}
	o.committing = true
	released := o.release.requested
	begun := o.timers.Latest()
	o.calls.Go(func() {
		ctx, cancel := context.WithTimeout(o.ctx, commitTimeout)
		defer cancel()
		start := o.timers.Now()
		result, err := o.commitConfirmed(ctx, t, number)
		took := o.timers.Now().Sub(start)
		o.put(committed{batch: b, version: result.Version, clock: result.Clock, released: released, begun: begun, took: took, err: err})
	})
}

// nextBatch returns what the next commit writes, with the writes of its records.
func (o *Owner) nextBatch(now time.Time) (batch, []rowstore.Write, error) {
	b := batch{deletes: o.deletesForCommit()}
	b.waves = o.cell.WaveRecords()
	b.waves = b.waves[:min(len(b.waves), maxWavesPerCommit)]
	b.records = o.cell.TakeRecords(maxEntriesPerCommit - len(b.deletes) - len(b.waves))
	writes, err := o.encodeRecords(&b)
	// The row names the workers of early runs whose record is not in this commit,
	// which is known once the records are encoded.
	b.earlyStartWorkers = o.cell.EarlyStartWorkers(now)
	return b, writes, err
}

// transaction returns the transaction that writes a batch, under the condition
// that the owner's row is unchanged since this owner last wrote it. So nothing is
// written once another host has taken over, and a commit whose response was lost
// never takes effect after a later one.
// records are the writes of the batch's records.
func (o *Owner) transaction(now time.Time, b batch, records []rowstore.Write) (rowstore.Transaction, error) {
	row := o.initial.Row
	row.Released = o.release.requested
	row.Admission = o.admission.at(now)
	row.PredecessorsEnded = o.predecessorsEnded(now)
	row.WrittenAfter = o.storeClock
	row.TransactionNumber = o.transactionNumber
	row.EarlyStartWorkers = make([]string, len(b.earlyStartWorkers))
	for i, id := range b.earlyStartWorkers {
		row.EarlyStartWorkers[i] = string(id)
	}
	value, err := ledger.EncodeOwner(row)
	if err != nil {
		return rowstore.Transaction{}, err
	}
	t := rowstore.Transaction{
		Conditions: []rowstore.Condition{{Key: ledger.OwnerKey(), Version: o.rowVersion}},
		Writes:     []rowstore.Write{{Key: ledger.OwnerKey(), Value: value}},
	}
	for _, id := range b.deletes {
		for part := range max(o.recordParts[id], 1) {
			t.Deletes = append(t.Deletes, ledger.ProgressPartKey(id, part))
		}
	}
	t.Writes = append(t.Writes, records...)
	for _, r := range b.waves {
		value, err := ledger.EncodeWave(r)
		if err != nil {
			return rowstore.Transaction{}, err
		}
		t.Writes = append(t.Writes, rowstore.Write{Key: ledger.WaveKey(r.Wave), Value: value})
	}
	return t, nil
}

// deletesForCommit returns the expired jobs whose progress records the next commit
// deletes: as many as its limit of entries allows, and one at least.
func (o *Owner) deletesForCommit() []workload.JobID {
	rows := 0
	for i, id := range o.pendingDeletes {
		rows += max(o.recordParts[id], 1)
		if rows > maxDeletesPerCommit {
			return o.pendingDeletes[:max(i, 1)]
		}
	}
	return o.pendingDeletes
}

// encodeRecords returns the writes of a batch's records, as far as the limits of a
// transaction allow. The other records are marked for writing again and removed from
// the batch.
func (o *Owner) encodeRecords(b *batch) ([]rowstore.Write, error) {
	entries, size := 1+len(b.waves), 0
	for _, id := range b.deletes {
		entries += max(o.recordParts[id], 1)
	}
	var writes []rowstore.Write
	for i, r := range b.records {
		value, err := ledger.EncodeRecord(r)
		if err != nil {
			return nil, err
		}
		parts, err := ledger.SplitRecord(value)
		if err != nil {
			return nil, err
		}
		size += len(value)
		entries += len(parts)
		if i > 0 && (size > maxCommitBytes || entries > maxEntriesPerCommit) {
			o.cell.NotCommitted(b.records[i:])
			b.records = b.records[:i]
			return writes, nil
		}
		if len(parts) > 1 {
			o.recordParts[r.Job] = max(o.recordParts[r.Job], len(parts))
		}
		for part, value := range parts {
			writes = append(writes, rowstore.Write{Key: ledger.ProgressPartKey(r.Job, part), Value: value})
		}
	}
	return writes, nil
}

// batch is the content of one transaction.
type batch struct {
	records []cell.Record
	waves   []cell.WaveRecord
	// earlyStartWorkers holds the workers that may get early starts.
	earlyStartWorkers []cell.WorkerID
	// deletes holds the expired jobs whose progress records are deleted.
	deletes []workload.JobID
}

type committed struct {
	batch   batch
	version uint64
	clock   time.Duration
	// released is set when the commit marked the owner's row as released.
	released bool
	// begun is when the commit began, by the clock that includes suspensions.
	begun time.Time
	took  time.Duration
	err   error
}

func (e committed) apply(o *Owner, now time.Time) {
	o.committing = false
	o.cell.SetEarlyStarts(o.slowStore.observe(e.took, e.err))
	o.metrics.commit.RecordDuration(e.took)
	if e.err == nil {
		o.rowVersion = e.version
		o.storeClock = e.clock
		o.renewAt = now.Add(o.config.RenewEvery)
		o.mu.Lock()
		o.renewedAt, o.confirmedAt = now, e.begun
		o.mu.Unlock()
		o.pendingDeletes = o.pendingDeletes[len(e.batch.deletes):]
		for _, id := range e.batch.deletes {
			delete(o.recordParts, id)
		}
		o.cell.WavesCommitted(e.batch.waves)
		o.cell.EarlyStartWorkersCommitted(e.batch.earlyStartWorkers)
		o.cell.Committed(now, e.batch.records)
		if e.released {
			o.log.Info("released the cell")
			o.end(o.release.reason)
		}
		return
	}
	o.cell.NotCommitted(e.batch.records)
	var conflict *rowstore.ConflictError
	if errors.As(e.err, &conflict) {
		o.resolveConflict(conflict)
		return
	}
	if o.ctx.Err() != nil {
		return
	}
	o.log.Warn("commit failed", zap.Int("Records", len(e.batch.records)), zap.Error(e.err))
	o.retryAt = now.Add(commitBackoff/2 + rand.N(commitBackoff))
}

// resolveConflict reads the owner's row to find out whether an earlier commit whose
// response was lost has taken effect, or whether this owner has been replaced.
func (o *Owner) resolveConflict(conflict *rowstore.ConflictError) {
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
	o.rowVersion = state.Version
}
