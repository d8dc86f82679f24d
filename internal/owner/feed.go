package owner

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/rowstore"
)

const (
	// feedWait is how long the store holds a long poll for changes. When a store
	// compacts its history, it may leave a waiting call without a notification.
	feedWait = 1 * time.Second
	// feedMargin is how much longer than feedWait a response may take.
	feedMargin = 1 * time.Second
	// feedBackoff is the mean delay after a failed call.
	feedBackoff = 150 * time.Millisecond
	// registrationsInterval is the minimum interval between two polls of the
	// registrations, which change with every heartbeat.
	registrationsInterval = 300 * time.Millisecond
)

// feed is the change feed of one table.
type feed struct {
	table   string
	version uint64
	// interval is the delay after a call that succeeded.
	interval time.Duration
	ranges   []rowstore.Range
	// newEvent returns an event for changed rows. complete is set when they are all
	// rows of the table.
	newEvent func(rows []rowstore.Row, complete bool) event
}

type rowsChanged struct {
	rows     []rowstore.Row
	complete bool
	handle   func(o *Owner, now time.Time, rows []rowstore.Row, whole bool)
}

func (e rowsChanged) apply(o *Owner, now time.Time) { e.handle(o, now, e.rows, e.complete) }

func intakeChanged(rows []rowstore.Row, complete bool) event {
	take := func(o *Owner, now time.Time, rows []rowstore.Row, _ bool) {
		l := o.rowLoader(o.cell)
		l.loadJobs(now, rows)
		l.loadCancels(now, rows)
	}
	return rowsChanged{rows: rows, complete: complete, handle: take}
}

func workersChanged(rows []rowstore.Row, complete bool) event {
	take := func(o *Owner, now time.Time, rows []rowstore.Row, whole bool) {
		o.rowLoader(o.cell).loadWorkers(now, rows)
		if whole {
			o.unlistMissing(now, rows)
		}
	}
	return rowsChanged{rows: rows, complete: complete, handle: take}
}

// unlistMissing unlists the workers that a complete list of registrations lacks.
func (o *Owner) unlistMissing(now time.Time, rows []rowstore.Row) {
	listed := make(map[cell.WorkerID]bool, len(rows))
	for _, row := range rows {
		listed[cell.WorkerID(row.Name)] = true
	}
	o.malformedRegistrations.retain(listed)
	for _, id := range o.cell.Workers() {
		if !listed[id] {
			o.cell.Unlist(now, id)
		}
	}
}

// follow passes the changes of a table to the event loop until the owner ends.
func (o *Owner) follow(f *feed) {
	reread := false
	for o.ctx.Err() == nil {
		err := o.followOnce(f)
		rereadBefore := reread
		reread = fault.Is(err, rowstore.KindCompacted)
		if reread {
			o.log.Info("the store has no changes to follow; rereading the table", zap.String("Table", f.table), zap.Error(err))
			err = o.reread(f)
		}
		pause := f.interval
		if err != nil && o.ctx.Err() == nil {
			o.log.Warn("following a table failed", zap.String("Table", f.table), zap.Error(err))
		}
		switch backoff := feedBackoff/2 + rand.N(feedBackoff); {
		case err != nil:
			pause = backoff
		case reread && rereadBefore:
			pause = max(f.interval, backoff)
		}
		if pause > 0 {
			o.sleep(pause)
		}
	}
}

func (o *Owner) followOnce(f *feed) error {
	ctx, cancel := context.WithTimeout(o.ctx, feedWait+feedMargin)
	defer cancel()
	snapshot, err := o.store.Follow(ctx, f.table, f.version, feedWait)
	if err != nil {
		return err
	}
	f.version = max(f.version, snapshot.Version)
	if len(snapshot.Rows) > 0 {
		o.put(f.newEvent(snapshot.Rows, false))
	}
	return nil
}

func (o *Owner) reread(f *feed) error {
	ctx, cancel := context.WithTimeout(o.ctx, readTimeout)
	defer cancel()
	all, err := o.readAll(ctx, newReadLimiter(len(f.ranges), o.config.MaxReads), f.ranges...)
	if err != nil {
		return err
	}
	f.version = all.version
	o.put(f.newEvent(all.rows, true))
	return nil
}

func (o *Owner) sleep(d time.Duration) {
	timer := o.timers.After(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-o.ctx.Done():
	}
}
