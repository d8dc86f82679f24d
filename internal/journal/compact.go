package journal

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"sync"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/platform"
	"cicadabarrow.example/cicadabarrow/internal/pool"
)

// Objects is the part of the object store that the journal uses.
type Objects interface {
	Put(ctx context.Context, name string, content []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
	Delete(ctx context.Context, name string) error
}

const (
	// maxRows is the number of rows at which a snapshot is due however few records
	// they hold. It bounds the writes of the commit that deletes the rows.
	maxRows = 1024
	// minRecords is the least number of records that a snapshot replaces.
	minRecords = 4096
	// recordsPerTask is the least number of records that a snapshot replaces for
	// each task in it, so that snapshots write less than the journal itself.
	recordsPerTask = 8
	// maxCleanedEpochs bounds the number of earlier epochs whose unreferenced
	// snapshot objects a new owner deletes.
	maxCleanedEpochs = 8
)

// compaction is a snapshot that is queued or being stored, with what it
// replaces.
type compaction struct {
	snapshot pool.Snapshot
	// acceptKeys are the keys of the acceptance rows whose jobs the snapshot
	// holds.
	acceptKeys []string
	// rows are the keys of the journal rows that the snapshot replaces; records is
	// the number of records in them.
	rows    []string
	records int
}

// compactor stores the snapshots of a Writer, one at a time.
type compactor struct {
	objects    Objects
	pointerKey string
	current    pointer
	version    uint64
	garbage    []string
	in         chan *compaction

	mu sync.Mutex
	// done is closed when the compaction that is queued or in progress ends; it is
	// nil if there is none.
	done    chan struct{}
	stopped bool
}

func newCompactor(objects Objects, dataCentre string, w *Writer, h History) *compactor {
	c := &compactor{
		objects: objects, pointerKey: PointerKey(dataCentre, w.unit), current: h.pointer, version: h.pointerVersion,
		garbage: slices.Clone(h.pointer.Old), in: make(chan *compaction, 1),
	}
	// A predecessor may have ended between storing its snapshot and committing
	// the pointer to it, which leaves an object that no pointer names.
	first := max(h.pointer.Epoch, 1)
	if w.epoch > maxCleanedEpochs {
		first = max(first, w.epoch-maxCleanedEpochs)
	}
	for epoch := first; epoch < w.epoch; epoch++ {
		c.garbage = append(c.garbage, objectName(dataCentre, w.unit, h.pointer.Number+1, epoch))
	}
	return c
}

// SnapshotDue reports whether a snapshot is due, given the number of tasks that
// it would hold and the number of acceptance rows that it would replace.
func (w *Writer) SnapshotDue(tasks, acceptRows int) bool {
	if w.compactor.busy() {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.rows)+acceptRows >= maxRows || w.records >= max(minRecords, recordsPerTask*tasks)
}

// Rows returns the number of journal rows that no snapshot has replaced yet.
func (w *Writer) Rows() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.rows)
}

// Compact replaces everything that was appended before by a snapshot. acceptKeys
// are the keys of the acceptance rows whose jobs the snapshot holds. done is closed
// when the compaction has ended, successfully or not, or the writer has stopped.
// Compact reports false when another compaction is in progress, the queue is full or
// the writer is closed.
func (w *Writer) Compact(s pool.Snapshot, acceptKeys []string) (done <-chan struct{}, ok bool) {
	done, ok = w.compactor.begin()
	if !ok {
		return nil, false
	}
	c := &compaction{snapshot: s, acceptKeys: acceptKeys}
	if !w.Append(Batch{compaction: c}) {
		w.compactor.end()
		return nil, false
	}
	return done, true
}

// busy reports whether a compaction is queued or in progress.
func (p *compactor) busy() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done != nil
}

// begin returns the channel that is closed when a new compaction ends. It reports
// false if there is one already or the writer has stopped.
func (p *compactor) begin() (done <-chan struct{}, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.done != nil || p.stopped {
		return nil, false
	}
	p.done = make(chan struct{})
	return p.done, true
}

// end records that the compaction has ended.
func (p *compactor) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.done != nil {
		close(p.done)
		p.done = nil
	}
}

// stop ends a compaction that was not finished and refuses further ones.
func (p *compactor) stop() {
	p.mu.Lock()
	p.stopped = true
	p.mu.Unlock()
	p.end()
}

// startCompaction passes a compaction to the compactor once everything appended
// before it is durable.
func (w *Writer) startCompaction(c *compaction) {
	w.mu.Lock()
	c.rows, c.records = slices.Clone(w.rows), w.records
	w.mu.Unlock()
	w.compactor.in <- c
}

func (w *Writer) runCompactor() {
	for {
		select {
		case c := <-w.compactor.in:
			w.compact(c)
			w.compactor.end()
		case <-w.ctx.Done():
			return
		}
	}
}

// compact stores a snapshot. Then, in one transaction, it writes the pointer to the
// snapshot and deletes the rows that the snapshot replaces.
func (w *Writer) compact(c *compaction) {
	p := w.compactor
	next := pointer{
		Number: p.current.Number + 1, Epoch: w.epoch,
		Object: objectName(w.dataCentre, w.unit, p.current.Number+1, w.epoch),
	}
	if p.current.Object != "" {
		p.garbage = append(p.garbage, p.current.Object)
	}
	next.Old = slices.Clone(p.garbage)
	content := EncodeSnapshot(c.snapshot)
	for !w.putObject(next.Object, content) {
		if !w.waitRetry() {
			return
		}
	}
	if !w.commitPointer(next, c) {
		return
	}
	w.mu.Lock()
	w.rows = slices.Clone(w.rows[len(c.rows):])
	w.records -= c.records
	w.mu.Unlock()
	p.current = next
	p.garbage = slices.DeleteFunc(p.garbage, w.deleteObject)
	w.log.Info("replaced journal rows with a snapshot", zap.Int("Rows", len(c.rows)+len(c.acceptKeys)),
		zap.Int("Jobs", len(c.snapshot.Jobs)), zap.Int("Bytes", len(content)))
}

func (w *Writer) putObject(name string, content []byte) bool {
	ctx, cancel := context.WithTimeout(w.ctx, commitTimeout)
	defer cancel()
	err := w.compactor.objects.Put(ctx, name, content)
	if err != nil {
		w.log.Info("storing a snapshot failed", zap.String("Object", name), zap.Error(err))
	}
	return err == nil
}

func (w *Writer) deleteObject(name string) bool {
	ctx, cancel := context.WithTimeout(w.ctx, commitTimeout)
	defer cancel()
	return w.compactor.objects.Delete(ctx, name) == nil
}

// commitPointer commits the pointer to a snapshot and deletes the rows that the
// snapshot replaces, with retries. It reports false when the writer was closed or
// deposed.
func (w *Writer) commitPointer(next pointer, c *compaction) bool {
	value := encodePointer(next)
	writes := []platform.Write{{Key: w.compactor.pointerKey, Value: value}}
	for _, key := range slices.Concat(c.rows, c.acceptKeys) {
		writes = append(writes, platform.Write{Key: key, Delete: true})
	}
	for attempt := 1; ; attempt++ {
		commit := platform.Commit{
			ID:     fmt.Sprintf("%s/snapshot/%s/%d/%d", w.id, w.unit, next.Number, attempt),
			Checks: []platform.Check{w.ownerCheck, {Key: w.compactor.pointerKey, Version: w.compactor.version}},
			Writes: writes,
		}
		if settled, ok := w.tryCommitPointer(commit, value); settled {
			return ok
		}
		if !w.waitRetry() {
			return false
		}
	}
}

// tryCommitPointer makes one attempt to commit the pointer. After a conflict it
// reads the row: one with the same content is the effect of an earlier attempt
// whose response was lost. settled tells whether the outcome is final.
func (w *Writer) tryCommitPointer(commit platform.Commit, value []byte) (settled, ok bool) {
	ctx, cancel := context.WithTimeout(w.ctx, commitTimeout)
	defer cancel()
	version, err := w.table.Commit(ctx, commit)
	if err == nil {
		w.compactor.version = version
		return true, true
	}
	if !fault.Is(err, platform.KindConflict) {
		w.log.Info("committing the pointer to a snapshot failed", zap.Error(err))
		return false, false
	}
	row, err := w.table.Get(ctx, w.compactor.pointerKey)
	switch {
	case err == nil && bytes.Equal(row.Value, value):
		w.compactor.version = row.Version
		return true, true
	case err == nil, fault.Is(err, platform.KindMissing):
		w.stopDeposed("the unit has another owner")
		return true, false
	}
	return false, false
}
