package owner

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/ledger"
	"cicadabarrow.example/cicadabarrow/internal/rowstore"
)

const (
	// minTombstoneLifetime is the least time for which a tombstone is kept. A submission
	// that is in flight takes effect within seconds, or not at all.
	minTombstoneLifetime = 1 * time.Minute
	// maxTombstonesPerCommit keeps a transaction, which has a condition and a deletion for
	// each, within the store's limit of 100 entries.
	maxTombstonesPerCommit = 45
	// tombstoneRetryDelay is the delay after a deletion that failed.
	tombstoneRetryDelay = 5 * time.Second
)

// tombstones has the tombstones in the store, which the owner deletes when they are old.
// Only the event loop uses it.
type tombstones struct {
	lifetime time.Duration
	// versions has the version of each tombstone, and queue all of them in the order in
	// which this owner has received them. Entries of other versions are out of date.
	versions map[rowstore.Key]uint64
	queue    []tombstone
	// deleting is set while some are being deleted, and retryAt is when that may be tried
	// again.
	deleting bool
	retryAt  time.Time
}

type tombstone struct {
	key     rowstore.Key
	version uint64
	// since is when this owner has received it.
	since time.Time
}

func newTombstones(keepEnded time.Duration) *tombstones {
	return &tombstones{lifetime: max(keepEnded, minTombstoneLifetime), versions: make(map[rowstore.Key]uint64)}
}

// note takes rows of the table of jobs.
func (t *tombstones) note(now time.Time, rows []rowstore.Row) {
	for _, row := range rows {
		switch {
		case row.Deleted || !ledger.IsTombstone(row.Value):
			delete(t.versions, row.Key)
		case t.versions[row.Key] != row.Version:
			t.versions[row.Key] = row.Version
			t.queue = append(t.queue, tombstone{key: row.Key, version: row.Version, since: now})
		}
	}
}

// current reports whether a tombstone is in the store, as far as is known.
func (t *tombstones) current(e tombstone) bool { return t.versions[e.key] == e.version }

// due returns tombstones of one partition that are to be deleted now.
func (t *tombstones) due(now time.Time) []tombstone {
	for len(t.queue) > 0 && !t.current(t.queue[0]) {
		t.queue = t.queue[1:]
	}
	if t.deleting || now.Before(t.retryAt) {
		return nil
	}
	var out []tombstone
	for _, e := range t.queue {
		if now.Sub(e.since) <= t.lifetime || len(out) == maxTombstonesPerCommit {
			break
		}
		if t.current(e) && e.key.Partition == t.queue[0].key.Partition {
			out = append(out, e)
		}
	}
	return out
}

// forget removes the tombstones that are not in the store any more, given the rows there.
func (t *tombstones) forget(deleted []tombstone, rows []rowstore.Row) {
	there := make(map[rowstore.Key]uint64, len(rows))
	for _, row := range rows {
		there[row.Key] = row.Version
	}
	for _, e := range deleted {
		if t.current(e) && there[e.key] != e.version {
			delete(t.versions, e.key)
		}
	}
}

// deleteTombstones deletes old tombstones. A row that has changed since is left alone.
func (o *Owner) deleteTombstones(now time.Time) {
	due := o.tombstones.due(now)
	if len(due) == 0 {
		return
	}
	var t rowstore.Transaction
	for _, e := range due {
		t.Conditions = append(t.Conditions, rowstore.Condition{Key: e.key, Version: e.version})
		t.Deletes = append(t.Deletes, e.key)
	}
	o.tombstones.deleting = true
	o.calls.Go(func() {
		ctx, cancel := context.WithTimeout(o.ctx, commitTimeout)
		defer cancel()
		_, err := o.store.Commit(ctx, t)
		o.put(tombstonesDeleted{tombstones: due, err: err})
	})
}

// tombstonesDeleted is the outcome of the deletion of tombstones.
type tombstonesDeleted struct {
	tombstones []tombstone
	err        error
}

func (e tombstonesDeleted) apply(o *Owner, now time.Time) {
	o.tombstones.deleting = false
	var conflict *rowstore.ConflictError
	switch {
	case e.err == nil:
		o.tombstones.forget(e.tombstones, nil)
	case errors.As(e.err, &conflict):
		o.tombstones.forget(e.tombstones, conflict.Rows)
	default:
		o.tombstones.retryAt = now.Add(tombstoneRetryDelay)
		if o.ctx.Err() == nil {
			o.log.Warn("tombstones of cancelled jobs could not be deleted", zap.Int("Tombstones", len(e.tombstones)), zap.Error(e.err))
		}
		return
	}
	if len(e.tombstones) == maxTombstonesPerCommit {
		o.deleteTombstones(now)
	}
}
