package entry

import (
	"context"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/journal"
	"cicadabarrow.example/cicadabarrow/internal/platform"
	"cicadabarrow.example/cicadabarrow/internal/pool"
)

const (
	// maxBacklog is the number of records beyond the journal's ring buffer from
	// which on no new task is scheduled. Running tasks add only a few more.
	maxBacklog = 65_536
	// backlogBatch limits the records that are passed to the journal in one
	// batch.
	backlogBatch = 2048
	// unjournaledAfter is how long the journal must have been stalled before
	// tasks start unjournaled.
	unjournaledAfter = 2 * time.Second
)

// backlog holds, in order, the records that the journal has not accepted yet.
// Only the event loop of the pool uses it.
type backlog struct {
	actions []pool.PersistRecords
	records int
	// enqueued and durable count the PersistRecords actions that were added so
	// far and those whose records are durable.
	enqueued uint64
	durable  uint64
	waiters  []durableWaiter
}

// durableWaiter waits until a number of PersistRecords actions is durable.
type durableWaiter struct {
	target  uint64
	reached chan struct{}
}

// appendRecords adds records to the backlog and passes the backlog on to the
// journal writer. Records are never dropped: without them the pool and its
// journal would disagree.
func (o *PoolOwner) appendRecords(a pool.PersistRecords) {
	o.backlog.actions = append(o.backlog.actions, a)
	o.backlog.records += len(a.Records)
	o.backlog.enqueued++
	o.drain()
}

// drain passes as much of the backlog to the journal as the journal accepts.
func (o *PoolOwner) drain() {
	b := &o.backlog
	for len(b.actions) > 0 {
		n, records := 1, len(b.actions[0].Records)
		for n < len(b.actions) && records+len(b.actions[n].Records) <= backlogBatch {
			records += len(b.actions[n].Records)
			n++
		}
		if !o.writer.Append(o.batchOf(b.actions[:n])) {
			return
		}
		b.actions = b.actions[n:]
		b.records -= records
	}
	b.actions = nil
}

func (o *PoolOwner) batchOf(actions []pool.PersistRecords) journal.Batch {
	var batch journal.Batch
	batchIDs := make([]uint64, 0, len(actions))
	for _, a := range actions {
		batch.Records = append(batch.Records, a.Records...)
		batchIDs = append(batchIDs, a.BatchID)
	}
	batch.ExtraWrites = o.jobRows(batch.Records)
	batch.OnDurable = func() { o.post(o.becameDurable(batchIDs)) }
	return batch
}

func (o *PoolOwner) becameDurable(batchIDs []uint64) poolEvent {
	return func(p *pool.Pool, now time.Time) []pool.Action {
		var out []pool.Action
		for _, id := range batchIDs {
			out = append(out, p.Durable(id, now)...)
		}
		b := &o.backlog
		b.durable += uint64(len(batchIDs))
		for len(b.waiters) > 0 && b.waiters[0].target <= b.durable {
			close(b.waiters[0].reached)
			b.waiters = b.waiters[1:]
		}
		return out
	}
}

// jobRows returns the writes that store the outcomes of ended jobs in their rows.
func (o *PoolOwner) jobRows(records []pool.Record) []platform.Write {
	var out []platform.Write
	for _, r := range records {
		if r.Kind == pool.RecordJobEnded {
			row := newJobRow(o.dataCentre, r.Spec)
			row.State, row.Message = r.State, r.Message
			out = append(out, platform.Write{Key: jobKey(r.Job), Value: encodeJobRow(row)})
		}
	}
	return out
}

// schedule starts waiting tasks. While the journal is stalled, it starts only
// replayable tasks, unjournaled, and only while every possible successor has
// confirmed that it knows of unjournaled starts.
func (o *PoolOwner) schedule(now time.Time) {
	stalled := o.writer.StalledSince()
	switch {
	case o.releasing.Load() || o.backlog.records >= maxBacklog:
	case stalled.IsZero():
		o.perform(o.pool.Schedule(now))
	case now.Sub(stalled) >= unjournaledAfter:
		o.setUnjournaled(true)
		if o.guard.MayStartUnjournaled() {
			o.perform(o.pool.ScheduleUnjournaled(now))
		}
	}
}

// catchUpJournal drains the backlog and ends the unjournaled starts once all
// records are durable.
func (o *PoolOwner) catchUpJournal() {
	o.drain()
	if o.backlog.durable == o.backlog.enqueued && o.writer.StalledSince().IsZero() {
		o.setUnjournaled(false)
	}
}

func (o *PoolOwner) setUnjournaled(on bool) {
	if o.unjournaled != on {
		o.unjournaled = on
		o.guard.SetUnjournaled(on)
	}
}

// flush waits until every record that was added so far is durable.
func (o *PoolOwner) flush(ctx context.Context) error {
	reached, err := queryPool(ctx, o, func(*pool.Pool, time.Time) <-chan struct{} {
		w := durableWaiter{target: o.backlog.enqueued, reached: make(chan struct{})}
		if o.backlog.durable >= w.target {
			close(w.reached)
			return w.reached
		}
		o.backlog.waiters = append(o.backlog.waiters, w)
		return w.reached
	})
	if err != nil {
		return err
	}
	select {
	case <-reached:
		return nil
	case <-o.done:
		return errLoopEnded
	case <-ctx.Done():
		return ctx.Err()
	}
}
