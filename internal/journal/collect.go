package journal

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/pool"
)

const (
	// startRowInterval is the least time between two rows when the second holds a
	// start, a cancellation or an accepted job. It bounds the commits of an owner
	// whose starts come one by one.
	startRowInterval = 20 * time.Millisecond
	// endRowInterval is the same for a row with only records that nobody waits
	// for, such as the ends of runs.
	endRowInterval = 100 * time.Millisecond
)

// collect gathers the batches of the next row until the row is due or full. It
// reports false when the writer was closed.
func (w *Writer) collect(first Batch) ([]Batch, bool) {
	batches := w.gather([]Batch{first})
	for !isFull(batches) {
		wait := w.rowStartedAt.Add(rowInterval(batches)).Sub(w.timers.Now())
		if wait <= 0 {
			break
		}
		sub := w.timers.After(wait)
		select {
		case b := <-w.in.C():
			batches = w.gather(append(batches, b))
		case <-sub.C:
		case <-w.ctx.Done():
			sub.Stop()
			return nil, false
		}
		sub.Stop()
	}
	w.rowStartedAt = w.timers.Now()
	return batches, true
}

// gather adds the batches that are queued already, without waiting.
func (w *Writer) gather(batches []Batch) []Batch {
	for !isFull(batches) {
		select {
		case b := <-w.in.C():
			batches = append(batches, b)
		default:
			return batches
		}
	}
	return batches
}

// isFull reports whether nothing may be added to a row. A compaction ends its
// row, since the snapshot replaces whole rows: records after it belong to the
// next row.
func isFull(batches []Batch) bool {
	count := 0
	for _, b := range batches {
		count += len(b.Records)
	}
	return count >= maxRowRecords || batches[len(batches)-1].compaction != nil
}

// rowInterval returns the least time between the previous row and one with the
// given batches: none for a flush or a compaction, startRowInterval when a start
// or a caller waits for the row, and endRowInterval otherwise.
func rowInterval(batches []Batch) time.Duration {
	interval := endRowInterval
	for _, b := range batches {
		if len(b.Records) == 0 || b.compaction != nil {
			return 0
		}
		for _, r := range b.Records {
			if r.Kind == pool.RecordIntent || r.Kind == pool.RecordCancelled || r.Kind == pool.RecordAccepted {
				interval = startRowInterval
			}
		}
	}
	return interval
}
