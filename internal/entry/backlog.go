package entry

import (
	"context"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/journal"
	"cicadabarrow.example/cicadabarrow/internal/platform"
	"cicadabarrow.example/cicadabarrow/internal/pool"
)

const (
	// maxBacklog is the number of records beyond the journal's ring from which
	// on nothing new is placed. What runs adds a few records at most.
	maxBacklog = 65_536
	// backlogBatch bounds the records that are handed over together.
	backlogBatch = 2048
	// unjournaledAfter is how long the journal must have stood still before
	// work starts unjournaled.
	unjournaledAfter = 2 * time.Second
)

// backlog holds the records that the journal has not taken yet, in order. Only
// the pool duty uses it.
type backlog struct {
	actions []pool.PersistRecords
	records int
	// handed and durable count the Journal actions so far.
	handed  uint64
	durable uint64
	waiters []durableWaiter
}

type durableWaiter struct {
	after   uint64
	reached chan struct{}
}

// journal hands records to the writer, after those that wait already. Records
// are never dropped: without them the pool and its journal would disagree.
func (o *PoolOwner) journal(a pool.PersistRecords) {
	o.backlog.actions = append(o.backlog.actions, a)
	o.backlog.records += len(a.Records)
	o.backlog.handed++
	o.drain()
}

// drain hands over as much of the backlog as the journal takes.
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
	tokens := make([]uint64, 0, len(actions))
	for _, a := range actions {
		batch.Records = append(batch.Records, a.Records...)
		tokens = append(tokens, a.BatchID)
	}
	batch.ExtraWrites = o.jobRows(batch.Records)
	batch.OnDurable = func() { o.post(o.becameDurable(tokens)) }
	return batch
}

func (o *PoolOwner) becameDurable(tokens []uint64) poolEvent {
	return func(p *pool.Pool, now time.Time) []pool.Action {
		var out []pool.Action
		for _, token := range tokens {
			out = append(out, p.Durable(token, now)...)
		}
		b := &o.backlog
		b.durable += uint64(len(tokens))
		for len(b.waiters) > 0 && b.waiters[0].after <= b.durable {
			close(b.waiters[0].reached)
			b.waiters = b.waiters[1:]
		}
		return out
	}
}

// jobRows returns the writes that give ended jobs their outcome.
func (o *PoolOwner) jobRows(records []pool.Record) []platform.Write {
	var out []platform.Write
	for _, r := range records {
		if r.Kind == pool.RecordJobEnded {
			row := rowOf(o.dataCentre, r.Spec)
			row.State, row.Message = r.State, r.Message
			out = append(out, platform.Write{Key: jobKey(r.Job), Value: encodeJobRow(row)})
		}
	}
	return out
}

// place lets waiting tasks start. While the journal stands still, it starts only
// what may run again, and only while every possible successor knows that work
// may run that no record names.
func (o *PoolOwner) place(now time.Time) {
	stalled := o.writer.StalledSince()
	switch {
	case o.yielding.Load() || o.backlog.records >= maxBacklog:
	case stalled.IsZero():
		o.perform(o.pool.Schedule(now))
	case now.Sub(stalled) >= unjournaledAfter:
		o.setUnjournaled(true)
		if o.guard.MayStartUnjournaled() {
			o.perform(o.pool.ScheduleUnjournaled(now))
		}
	}
}

// settleJournal ends the unjournaled starts once all records are durable.
func (o *PoolOwner) settleJournal() {
	o.drain()
	if o.backlog.durable == o.backlog.handed && o.writer.StalledSince().IsZero() {
		o.setUnjournaled(false)
	}
}

func (o *PoolOwner) setUnjournaled(on bool) {
	if o.unjournaled != on {
		o.unjournaled = on
		o.guard.SetUnjournaled(on)
	}
}

// flush waits until every record so far is durable.
func (o *PoolOwner) flush(ctx context.Context) error {
	reached, err := ask(ctx, o, func(*pool.Pool, time.Time) <-chan struct{} {
		w := durableWaiter{after: o.backlog.handed, reached: make(chan struct{})}
		if o.backlog.durable >= w.after {
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
		return errEnded
	case <-ctx.Done():
		return ctx.Err()
	}
}
