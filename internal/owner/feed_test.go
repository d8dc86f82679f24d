package owner

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/rowstore"
	"cicadabarrow.example/cicadabarrow/internal/timer"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// Rereading a table after the store has compacted its history may take as long as
// reading it in a takeover.
func TestRereadHasTheTimeoutOfATakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFakePlatform(2)
		o := p.startOwner()
		defer o.Close()
		time.Sleep(time.Second)
		p.mu.Lock()
		p.readTakes = 14 * time.Second
		p.mu.Unlock()
		f := &feed{table: tableWorkers, ranges: []rowstore.Range{{Table: tableWorkers}}, newEvent: workersChanged}
		if err := o.reread(f); err != nil || f.version == 0 {
			t.Errorf("version %d, %v", f.version, err)
		}
	})
}

// unreadableFeed has no changes to follow, and counts the calls for them.
type unreadableFeed struct {
	*fakePlatform
	follows atomic.Int32
}

func (p *unreadableFeed) Follow(context.Context, string, uint64, time.Duration) (rowstore.Snapshot, error) {
	p.follows.Add(1)
	return rowstore.Snapshot{}, fault.New("follow table", rowstore.KindCompacted, "scripted")
}

// A table whose changes cannot be read must be reread at a rate that the store bears, and
// a registration that is new must be found.
func TestTableWithoutReadableChangesIsRereadNotTooOften(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &unreadableFeed{fakePlatform: newFakePlatform(2)}
		config := fakeConfig()
		config.MaxReads = 64
		o := p.startOwnerOn(config, portsOf(p, fakeRegistrations{}), timer.NewSystem())
		defer o.Close()
		p.mu.Lock()
		p.version++
		key := rowstore.Key{Table: tableWorkers, Name: "late"}
		p.rows[key] = rowstore.Row{Key: key, Version: p.version}
		p.workers["late"] = &fakeWorker{running: make(map[workload.TaskID]fakeRun)}
		p.mu.Unlock()
		const seconds = 10
		time.Sleep(seconds * time.Second)
		if n, most := p.follows.Load(), int32(2*seconds*time.Second/(feedBackoff/2)); n > most {
			t.Errorf("%d calls for changes in %d s, more than %d", n, seconds, most)
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		if !p.held["late"] {
			t.Error("the worker that registered later gets no calls")
		}
	})
}
