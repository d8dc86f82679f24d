package owner

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/ledger"
	"cicadabarrow.example/cicadabarrow/internal/rowstore"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

const (
	// maxEntriesPerCommit keeps a transaction within the store's limit of 100
	// entries, with the rows of the owner and of the hosts.
	maxEntriesPerCommit = 90
	// maxDeletesPerCommit and maxWavesPerCommit leave entries for records of jobs.
	maxDeletesPerCommit = 60
	maxWavesPerCommit   = 10
	// maxCommitBytes is the largest size of the records in a transaction. A call carries
	// them as base64, which is a third longer, beside the keys, the owner's row and the
	// waves; the store accepts 1 MB. With 900,000 bytes the record of a job of 20,000
	// tasks made a call of 1.2 MB, which was refused each time.
	maxCommitBytes = 700_000
	// commitBackoff is the mean delay before a failed commit is retried.
	commitBackoff = 60 * time.Millisecond
)

// commit passes pending records to the committer, one batch at a time. The next batch
// accumulates while a commit is in flight.
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
	t, err := o.transaction(b, writes)
	if err != nil {
		o.end(fault.New("commit", KindStore, "%w", err))
		return
	}
	o.committing = true
	o.committer.batches <- commitRequest{batch: b, transaction: t, released: o.release.requested}
}

// nextBatch returns what the next commit writes, with the writes of its records.
func (o *Owner) nextBatch(now time.Time) (batch, []rowstore.Write, error) {
	b := batch{deletes: o.deletesForCommit(), hosts: o.hostsRow.next(now, o.successors())}
	b.waves = o.cell.WaveRecords()
	b.waves = b.waves[:min(len(b.waves), maxWavesPerCommit)]
	b.records = o.withoutPendingDeletes(o.cell.TakeRecords(maxEntriesPerCommit - len(b.deletes) - len(b.waves)))
	writes, err := o.encodeRecords(&b)
	o.cell.RecordsEncoded(b.records)
	// The row names the workers of early runs whose record is not in this commit,
	// which is known once the records are encoded.
	b.earlyStartWorkers = o.cell.EarlyStartWorkers(now)
	return b, writes, err
}

// transaction returns the transaction that writes a batch, without the owner's row.
// records are the writes of the batch's records.
func (o *Owner) transaction(b batch, records []rowstore.Write) (rowstore.Transaction, error) {
	var t rowstore.Transaction
	for _, id := range b.deletes {
		for part := range max(o.recordParts[id], 1) {
			t.Deletes = append(t.Deletes, ledger.ProgressPartKey(id, part))
		}
	}
	t.Writes = append(t.Writes, records...)
	if b.hosts != nil {
		w, err := writeOfHosts(b.hosts)
		if err != nil {
			return rowstore.Transaction{}, err
		}
		t.Writes = append(t.Writes, w)
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

// withoutPendingDeletes returns records without those of jobs that were accepted again
// before their old record was deleted. They are marked for writing again: the deletion
// would remove them.
func (o *Owner) withoutPendingDeletes(records []cell.Record) []cell.Record {
	if len(o.pendingDeletes) == 0 {
		return records
	}
	return slices.DeleteFunc(records, func(r cell.Record) bool {
		pending := slices.Contains(o.pendingDeletes, r.Job)
		if pending {
			o.cell.NotCommitted([]cell.Record{r})
		}
		return pending
	})
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
		value, shortened, err := ledger.EncodeRecordWithin(r, maxCommitBytes)
		if err != nil {
			return nil, err
		}
		if shortened {
			o.log.Warn("the progress record of a job is too long for its checkpoints", zap.String("Job", string(r.Job)))
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
	// hosts is the list of the other hosts; nil if it is not written.
	hosts []netip.AddrPort
}

// committed is the outcome of the commit of a batch.
type committed struct {
	batch batch
	// released is set when the commit marked the owner's row as released.
	released bool
	took     time.Duration
	err      error
}

func (e committed) apply(o *Owner, now time.Time) {
	o.committing = false
	o.cell.SetEarlyStarts(o.slowStore.observe(e.took, e.err))
	o.metrics.commit.RecordDuration(e.took)
	if e.err == nil {
		o.renewAt = now.Add(o.config.RenewEvery)
		o.pendingDeletes = o.pendingDeletes[len(e.batch.deletes):]
		for _, id := range e.batch.deletes {
			delete(o.recordParts, id)
		}
		o.hostsRow.committed(now, e.batch.hosts)
		o.cell.WavesCommitted(e.batch.waves)
		o.cell.EarlyStartWorkersCommitted(e.batch.earlyStartWorkers)
		o.cell.Committed(now, e.batch.records)
		o.idleHolds.committed(now)
		if e.released {
			o.log.Info("released the cell")
			o.end(o.release.reason)
		}
		return
	}
	o.cell.NotCommitted(e.batch.records)
	if fault.Is(e.err, rowstore.KindConflict) || o.ctx.Err() != nil {
		return
	}
	o.log.Warn("commit failed", zap.Int("Records", len(e.batch.records)), zap.Error(e.err))
	o.retryAt = now.Add(commitBackoff/2 + rand.N(commitBackoff))
}
