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
	// recoverRetry is the mean wait before a journal that could not be reached
	// is read again.
	recoverRetry = 500 * time.Millisecond
	// tornRetry is the mean wait before a torn journal is read again, so that
	// an operator's repair is taken up.
	tornRetry = 10 * time.Second
	// handOverRows is the number of journal rows from which on a snapshot is
	// written before the unit is given up.
	handOverRows = 64
	// handOverTimeout bounds the wait for that snapshot.
	handOverTimeout = 2 * time.Second
)

// recover rebuilds the pool from the snapshot and the journal. It reports false
// when the duty was closed first. While they cannot be read, the pool stays
// closed: it starts nothing, and every question is answered with the reason.
func (o *PoolOwner) recover() bool {
	for {
		began := o.timers.Now()
		h, err := journal.Read(o.ctx, o.plat.Table, o.plat.Objects, o.dataCentre, o.gained.Unit)
		if err == nil {
			o.rebuild(h, began)
			return true
		}
		if o.ctx.Err() != nil {
			return false
		}
		o.trouble.Store(&err)
		o.log.Error("cannot read the journal; the pool stays closed", zap.Error(err))
		wait := recoverRetry
		if fault.Is(err, journal.KindTorn) {
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

func (o *PoolOwner) rebuild(h journal.History, began time.Time) {
	now := o.timers.Now()
	o.pool = pool.New(o.cfg, pool.Takeover{
		Epoch: o.gained.Epoch, First: o.gained.First, Clean: o.gained.Clean, Unjournaled: o.gained.Unjournaled,
	}, h.Recovered, now)
	o.setWorkers(now)
	o.writer = journal.New(
		o.plat.Table, o.plat.Objects, o.dataCentre, o.gained, o.id, h, o.cancel, o.timers, o.log,
	)
	o.log.Info("rebuilt the pool", zap.Duration("Took", now.Sub(began)),
		zap.Int("SnapshotTasks", h.Recovered.Snapshot.Tasks()), zap.Int("Records", len(h.Recovered.Records)),
		zap.Int("Jobs", len(o.pool.Jobs())))
}

// compactIfDue lets a snapshot replace the journal rows once they have grown.
func (o *PoolOwner) compactIfDue() {
	if o.writer.SnapshotDue(o.pool.OpenTasks(), len(o.accepts)) {
		o.compact(o.pool)
	}
}

// compact hands a snapshot to the journal. The channel is closed once the
// snapshot has replaced the rows; it is nil when no snapshot could be taken now.
func (o *PoolOwner) compact(p *pool.Pool) <-chan struct{} {
	s, ok := p.Snapshot()
	if !ok {
		return nil
	}
	done, ok := o.writer.Compact(s, slices.Sorted(maps.Keys(o.accepts)))
	if !ok {
		return nil
	}
	clear(o.accepts)
	return done
}

// handOver makes everything durable for the next owner, and leaves it a
// snapshot when there is much to read. It reports whether the next owner can
// know of everything that may run: after unjournaled starts it waits for the
// journal as long as its context allows.
func (o *PoolOwner) handOver(ctx context.Context) bool {
	o.yielding.Store(true)
	flushCtx, cancel := context.WithTimeout(ctx, yieldTimeout)
	defer cancel()
	if err := o.flush(flushCtx); err != nil {
		o.log.Info("gives up the pool with records unwritten", zap.Error(err))
		unjournaled, askErr := ask(ctx, o, func(*pool.Pool, time.Time) bool { return o.unjournaled })
		if askErr != nil {
			return false
		}
		// What was not written was not started either, unless unjournaled.
		return !unjournaled || o.flush(ctx) == nil
	}
	if o.writer.Rows() < handOverRows {
		return true
	}
	ctx, cancel = context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	done, err := ask(ctx, o, func(p *pool.Pool, _ time.Time) <-chan struct{} { return o.compact(p) })
	if err != nil || done == nil {
		return true
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
	return true
}
