package owner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// recovery is the state between the takeover and the end of reading the store. In
// this phase the owner's row is renewed, but no lease is granted and no run started.
type recovery struct {
	active bool
	// cancel cancels the reads.
	cancel context.CancelFunc
	// deferred holds the events that are applied after the recovery.
	deferred []event
}

// recover reads the store in a goroutine of its own, into a new cell that the event
// loop uses only afterwards.
func (o *Owner) recover(start time.Time, m *manifest.Manifest) {
	ctx, cancel := context.WithTimeout(o.ctx, readTimeout)
	o.recovery = recovery{active: true, cancel: cancel}
	o.calls.Go(func() {
		defer cancel()
		rows, err := o.readStore(ctx)
		if err != nil {
			o.put(recovered{err: err})
			return
		}
		readEnd := o.timers.Now()
		c := o.newCell(start)
		if m != nil {
			c.SetManifest(m)
		}
		parts := o.populate(c, start, &rows)
		o.put(recovered{cell: c, rows: rows, recordParts: parts, start: start, readTime: readEnd.Sub(start)})
	})
}

// recovered carries the cell as it was read from the store.
type recovered struct {
	cell *cell.Cell
	rows storeRows
	// recordParts has the number of rows of each progress record that has several.
	recordParts map[workload.JobID]int
	// start is when the takeover began, and readTime how long the reads took.
	start    time.Time
	readTime time.Duration
	err      error
}

func (e recovered) apply(o *Owner, now time.Time) {
	if o.release.requested {
		return
	}
	if e.err != nil {
		o.log.Warn("the store could not be read, releasing the cell", zap.Error(e.err))
		releaseRequested{e.err}.apply(o, now)
		return
	}
	o.logTakeover(now, &e)
	o.cell = e.cell
	o.recordParts = e.recordParts
	o.tombstones.note(now, e.rows.intake.rows)
	// The commits during the recovery shared the link with the reads, so their
	// durations do not tell whether the store is slow.
	o.slowStore = slowStore{}
	o.mu.Lock()
	o.ready = true
	o.mu.Unlock()
	for _, f := range o.feeds(&e.rows) {
		o.calls.Go(func() { o.follow(f) })
	}
	deferred := o.recovery.deferred
	o.recovery = recovery{}
	for _, d := range deferred {
		d.apply(o, now)
	}
}

func (o *Owner) logTakeover(now time.Time, e *recovered) {
	rows, size := 0, 0
	for _, t := range []*tableRows{&e.rows.intake, &e.rows.progress, &e.rows.waves, &e.rows.workers} {
		rows += len(t.rows)
		size += t.size()
	}
	o.log.Info("took over", zap.Duration("Took", now.Sub(e.start)), zap.Duration("Reading", e.readTime),
		zap.Int("Rows", rows), zap.Int("Bytes", size), zap.Uint64("Renewals", o.rowWrites.Load()),
		zap.Int("Workers", len(e.cell.Workers())))
}

// applyOrDefer applies an event, or defers it until the recovery has ended.
func (o *Owner) applyOrDefer(e event, now time.Time) {
	if o.recovery.active && !appliesDuringRecovery(e) {
		o.recovery.deferred = append(o.recovery.deferred, e)
		return
	}
	e.apply(o, now)
}

// appliesDuringRecovery reports whether an event is applied during the recovery, as
// it concerns the owner's row or the takeover and not the cell.
func appliesDuringRecovery(e event) bool {
	switch e.(type) {
	case recovered, releaseRequested:
		return true
	}
	return false
}

// predecessorsEnded reports whether no owner before this one can grant a lease any
// longer. A successor that takes over soon after this owner relies on it.
func (o *Owner) predecessorsEnded(now time.Time) bool {
	const leases = 2
	return o.initial.PredecessorsEnded || now.Sub(o.takeoverStart) >= leases*o.config.Cell.MaxLease
}
