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
	// answeredAt is when the store last answered with the changes up to version.
	answeredAt time.Time
	// newEvent returns an event for changed rows.
	newEvent func(changes) event
}

// changes are rows of a table that have changed.
type changes struct {
	rows []rowstore.Row
	// complete is set when they are all rows of the table.
	complete bool
	// version is that up to which the rows tell the changes of the table.
	version uint64
	// after is when the store last answered without these changes; zero if that is not
	// known.
	after time.Time
}

type rowsChanged struct {
	changes
	handle func(o *Owner, now time.Time, changed changes)
}

func (e rowsChanged) apply(o *Owner, now time.Time) { e.handle(o, now, e.changes) }

func intakeChanged(changed changes) event {
	take := func(o *Owner, now time.Time, changed changes) {
		l := o.rowLoader(o.cell)
		rows := o.deletedJobs.withoutDeleted(changed.rows)
		if outdated := len(changed.rows) - len(rows); outdated > 0 {
			o.log.Info("rows of jobs were read before they were deleted", zap.Int("Rows", outdated))
		}
		l.loadJobs(now, rows)
		l.loadCancels(now, rows)
		o.tombstones.note(now, changed.rows)
		o.deletedJobs.forget(now, changed.version)
	}
	return rowsChanged{changes: changed, handle: take}
}

func workersChanged(changed changes) event {
	take := func(o *Owner, now time.Time, changed changes) {
		o.rowLoader(o.cell).loadWorkers(now, changed.rows, changed.after)
		if changed.complete {
			o.unlistMissing(now, changed.rows)
		}
	}
	return rowsChanged{changes: changed, handle: take}
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
	after := f.answeredAt
	f.answeredAt = o.timers.Now()
	if len(snapshot.Rows) > 0 {
		o.put(f.newEvent(changes{rows: snapshot.Rows, version: f.version, after: after}))
	}
	return nil
}

func (o *Owner) reread(f *feed) error {
	ctx, cancel := context.WithTimeout(o.ctx, readTimeout)
	defer cancel()
	begun := o.timers.Now()
	all, err := o.readAll(ctx, newReadLimiter(len(f.ranges), o.config.MaxReads), f.ranges...)
	if err != nil {
		return err
	}
	f.version, f.answeredAt = all.version, begun
	o.put(f.newEvent(changes{rows: all.rows, version: all.version, complete: true}))
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
