package journal

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/lease"
	"cicadabarrow.example/cicadabarrow/internal/platform"
	"cicadabarrow.example/cicadabarrow/internal/pool"
	"cicadabarrow.example/cicadabarrow/internal/ring"
	"cicadabarrow.example/cicadabarrow/internal/timer"
)

// Table is the part of the table service that the journal uses.
type Table interface {
	Get(ctx context.Context, key string) (platform.Row, error)
	List(ctx context.Context, prefix string, after uint64, limit int) ([]platform.Row, error)
	Commit(ctx context.Context, c platform.Commit) (uint64, error)
}

const (
	// ringSize is the capacity of the queue of batches.
	ringSize = 4096
	// maxRowRecords is the number of records at which a row is full. A row holds
	// whole batches, so the last one may exceed the number.
	maxRowRecords = 2048
	// commitTimeout is the timeout of a commit and of each call of the object
	// store.
	commitTimeout = 2 * time.Second
	// retryEvery is the mean backoff after a failed commit.
	retryEvery = 250 * time.Millisecond
)

// Batch is a group of records that becomes durable together.
type Batch struct {
	Records []pool.Record
	// ExtraWrites are committed in the same transaction as the records.
	ExtraWrites []platform.Write
	// OnDurable is called when the batch is durable. It must not block.
	OnDurable func()

	compaction *compaction
}

// Writer appends to the journal of one unit under one epoch. A goroutine commits
// the rows, another one stores the snapshots.
type Writer struct {
	table  Table
	timers timer.Service
	log    *zap.Logger

	dataCentre string
	unit       lease.Unit
	epoch      uint64
	ownerCheck platform.Check
	prefix     string
	id         string
	onDepose   func()

	in        *ring.Ring[Batch]
	compactor *compactor
	ctx       context.Context
	cancel    context.CancelFunc
	done      chan struct{}
	loops     sync.WaitGroup
	seq       uint64
	// rowStartedAt is when the last row was started.
	rowStartedAt time.Time

	mu           sync.Mutex
	stalledSince time.Time
	// rows are the keys of the rows that no snapshot has replaced yet; records is
	// the number of records in them.
	rows    []string
	records int
}

// Prefix returns the prefix of the journal rows of a unit.
func Prefix(dataCentre string, u lease.Unit) string {
	return "journal/" + dataCentre + "/" + string(u) + "/"
}

// New starts the writer of an owner. g is the ownership under which it writes;
// each commit checks the version of that lease.UnitRow. history is the state that
// the owner has read. onDepose is called when the writer finds the owner deposed.
func New(
	table Table, objects Objects, dataCentre string, g lease.Gained, id string, history History, onDepose func(),
	timers timer.Service, log *zap.Logger,
) *Writer {
	ctx, cancel := context.WithCancel(context.Background())
	w := &Writer{
		table: table, timers: timers, log: log.Named("journal"), dataCentre: dataCentre, unit: g.Unit, epoch: g.Epoch,
		ownerCheck: platform.Check{Key: lease.UnitKey(dataCentre, g.Unit), Version: g.Version},
		prefix:     fmt.Sprintf("%s%016x/", Prefix(dataCentre, g.Unit), g.Epoch), id: id, onDepose: onDepose,
		in: ring.New[Batch](ringSize), ctx: ctx, cancel: cancel, done: make(chan struct{}),
		rows: history.rows, records: len(history.Recovered.Records),
	}
	w.compactor = newCompactor(objects, dataCentre, w, history)
	w.loops.Go(w.run)
	w.loops.Go(w.runCompactor)
	go func() {
		defer close(w.done)
		w.loops.Wait()
		w.compactor.stop()
	}()
	return w
}

// Append queues a batch. It reports false when the queue is full or the writer is
// closed; the batch is then not written.
func (w *Writer) Append(b Batch) bool {
	return w.ctx.Err() == nil && w.in.Offer(b)
}

// StalledSince returns when the commits of rows began to fail: the time of the
// first failed commit after the last successful one. It returns the zero time when
// the last commit succeeded.
func (w *Writer) StalledSince() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stalledSince
}

// Close stops the writer and waits until it has stopped. Queued batches are not
// written.
func (w *Writer) Close() {
	w.cancel()
	<-w.done
}

// Flush waits until everything appended before is durable.
func (w *Writer) Flush(ctx context.Context) error {
	durable := make(chan struct{})
	if err := w.in.Put(ctx, Batch{OnDurable: func() { close(durable) }}); err != nil {
		return err
	}
	select {
	case <-durable:
		return nil
	case <-w.done:
		return fault.New("flush", KindDeposed, "the journal of unit %s is closed", w.unit)
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (w *Writer) run() {
	for {
		select {
		case b := <-w.in.C():
			batches, ok := w.collect(b)
			if !ok || !w.append(batches) {
				return
			}
			for _, b := range batches {
				if b.OnDurable != nil {
					b.OnDurable()
				}
				if b.compaction != nil {
					w.startCompaction(b.compaction)
				}
			}
		case <-w.ctx.Done():
			return
		}
	}
}

// append commits one row, with retries, and returns when the row is known to be
// in the table. It reports false when the writer was closed or deposed.
func (w *Writer) append(batches []Batch) bool {
	var records []pool.Record
	var extra []platform.Write
	for _, b := range batches {
		records = append(records, b.Records...)
		extra = append(extra, b.ExtraWrites...)
	}
	if len(records) == 0 && len(extra) == 0 {
		return true
	}
	w.seq++
	key := fmt.Sprintf("%s%016x", w.prefix, w.seq)
	value := Encode(records)
	for attempt := 1; ; attempt++ {
		commit := platform.Commit{
			ID:     fmt.Sprintf("%s/journal/%s/%d/%d", w.id, w.unit, w.seq, attempt),
			Checks: []platform.Check{w.ownerCheck, {Key: key, Version: platform.Absent}},
			Writes: append([]platform.Write{{Key: key, Value: value}}, extra...),
		}
		settled, ok := w.tryCommit(commit, key, value)
		if settled {
			w.addRow(key, len(records))
			return ok
		}
		if !w.waitRetry() {
			return false
		}
	}
}

// addRow counts a row whose outcome is final. A row that was not written because
// the owner was deposed is counted too: the writer has then stopped for good.
func (w *Writer) addRow(key string, records int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rows = append(w.rows, key)
	w.records += records
}

// tryCommit makes one attempt to commit a row. After a conflict, a row with the
// same key and content is the effect of an earlier attempt whose response was
// lost. settled reports whether the outcome is final, and ok whether the row is in
// the table. A final outcome without the row means that the owner was deposed.
func (w *Writer) tryCommit(commit platform.Commit, key string, value []byte) (settled, ok bool) {
	ctx, cancel := context.WithTimeout(w.ctx, commitTimeout)
	defer cancel()
	_, err := w.table.Commit(ctx, commit)
	switch {
	case err == nil:
		w.setStalled(false)
		return true, true
	case !fault.Is(err, platform.KindConflict):
		w.setStalled(true)
		w.log.Info("journal commit failed", zap.String("Unit", string(w.unit)), zap.Error(err))
		return false, false
	}
	row, err := w.table.Get(ctx, key)
	if err == nil {
		if bytes.Equal(row.Value, value) {
			w.setStalled(false)
			return true, true
		}
		w.stopDeposed("another row has the key " + key)
		return true, false
	}
	if !fault.Is(err, platform.KindMissing) {
		return false, false
	}
	w.stopDeposed("the unit has another owner")
	return true, false
}

// stopDeposed stops the writer after it has found that the owner was deposed.
func (w *Writer) stopDeposed(why string) {
	w.log.Info("owner was deposed", zap.String("Unit", string(w.unit)), zap.String("Cause", why))
	w.cancel()
	w.onDepose()
}

func (w *Writer) setStalled(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case !on:
		w.stalledSince = time.Time{}
	case w.stalledSince.IsZero():
		w.stalledSince = w.timers.Now()
	}
}

func (w *Writer) waitRetry() bool {
	sub := w.timers.After(retryEvery/2 + rand.N(retryEvery))
	defer sub.Stop()
	select {
	case <-sub.C:
		return true
	case <-w.ctx.Done():
		return false
	}
}
