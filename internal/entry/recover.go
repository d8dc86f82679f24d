package entry

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/journal"
	"cicadabarrow.example/cicadabarrow/internal/pool"
)

const (
	// recoverRetry is the mean wait before a journal that could not be read is
	// read again.
	recoverRetry = 500 * time.Millisecond
	// tornRetry is the mean wait before a torn journal is read again, so that an
	// operator's repair takes effect.
	tornRetry = 10 * time.Second
	// handoverSnapshotRows is the number of journal rows from which on a
	// snapshot is written before the unit is released.
	handoverSnapshotRows = 64
	// handoverSnapshotTimeout limits the wait for that snapshot.
	handoverSnapshotTimeout = 2 * time.Second
)

// recover rebuilds the pool from the snapshot and the journal. While these cannot
// be read, the pool stays closed: it starts nothing, and every query fails with the
// reason. recover returns false if the owner was closed first.
func (o *PoolOwner) recover() bool {
	for {
		start := o.timers.Now()
		h, err := journal.Read(o.ctx, o.plat.Table, o.plat.Objects, o.dataCentre, o.gained.Unit)
		if err == nil {
			o.rebuild(h, start)
			return true
		}
		if o.ctx.Err() != nil {
			return false
		}
		o.recoverErr.Store(&err)
		o.log.Error("cannot read the journal; the pool stays closed", zap.Error(err))
		wait := recoverRetry
		if fault.Is(err, journal.KindCorrupt) {
			wait = tornRetry
		}
		sub := o.timers.After(wait/2 + rand.N(wait))
		select {
		case <-sub.C:
		case <-o.ctx.Done():
			sub.Stop()
			return false
		}
	}
}

func (o *PoolOwner) rebuild(h journal.History, start time.Time) {
	now := o.timers.Now()
	o.pool = pool.New(o.cfg, pool.Takeover{
		Epoch: o.gained.Epoch, First: o.gained.First, Clean: o.gained.Clean, Unjournaled: o.gained.Unjournaled,
	}, h.Recovered, now)
	o.setWorkers(now)
	o.writer = journal.New(
		o.plat.Table, o.plat.Objects, o.dataCentre, o.gained, o.id, h, o.cancel, o.timers, o.log,
	)
	o.log.Info("rebuilt the pool", zap.Duration("Took", now.Sub(start)),
		zap.Int("SnapshotTasks", h.Recovered.Snapshot.Tasks()), zap.Int("Records", len(h.Recovered.Records)),
		zap.Int("Jobs", len(o.pool.Jobs())))
}

// compactIfDue starts to replace the journal rows by a snapshot once they have
// grown enough.
func (o *PoolOwner) compactIfDue() {
	if o.writer.SnapshotDue(o.pool.OpenTasks(), len(o.acceptKeys)) {
		o.compact(o.pool)
	}
}

// compact passes a snapshot to the journal. The channel is closed once the snapshot
// has replaced the rows; it is nil if no snapshot could be taken now.
func (o *PoolOwner) compact(p *pool.Pool) <-chan struct{} {
	s, ok := p.Snapshot()
	if !ok {
		return nil
	}
	done, ok := o.writer.Compact(s, slices.Sorted(maps.Keys(o.acceptKeys)))
	if !ok {
		return nil
	}
	clear(o.acceptKeys)
	return done
}

// handover makes all records durable for the successor and writes a snapshot if
// the journal has many rows. It reports whether the successor can know of
// everything that may be running: after unjournaled starts it waits for the
// journal until its context ends.
func (o *PoolOwner) handover(ctx context.Context) bool {
	o.releasing.Store(true)
	flushCtx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	if err := o.flush(flushCtx); err != nil {
		o.log.Info("releasing the pool with records that are not durable", zap.Error(err))
		unjournaled, askErr := queryPool(ctx, o, func(*pool.Pool, time.Time) bool { return o.unjournaled })
		if askErr != nil {
			return false
		}
		// A start whose record is not durable was not sent, unless it was
		// unjournaled.
		return !unjournaled || o.flush(ctx) == nil
	}
	if o.writer.Rows() < handoverSnapshotRows {
		return true
	}
	ctx, cancel = context.WithTimeout(ctx, handoverSnapshotTimeout)
	defer cancel()
	done, err := queryPool(ctx, o, func(p *pool.Pool, _ time.Time) <-chan struct{} { return o.compact(p) })
	if err != nil || done == nil {
		return true
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
	return true
}
