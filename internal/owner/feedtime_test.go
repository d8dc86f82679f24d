package owner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/ring"
	"cicadabarrow.example/cicadabarrow/internal/rowstore"
	"cicadabarrow.example/cicadabarrow/internal/timer"
)

// scriptedFeed answers calls for changes with a row each, or fails them.
type scriptedFeed struct {
	*fakePlatform
	fails bool
	takes time.Duration
}

func (p *scriptedFeed) Follow(_ context.Context, table string, version uint64, _ time.Duration) (rowstore.Snapshot, error) {
	time.Sleep(p.takes)
	if p.fails {
		return rowstore.Snapshot{}, fault.New("follow table", rowstore.KindUnknown, "scripted")
	}
	row := rowstore.Row{Key: rowstore.Key{Table: table, Name: "w"}, Version: version + 1}
	return rowstore.Snapshot{Rows: []rowstore.Row{row}, Version: row.Version}, nil
}

// Guards against entries that count as newer than they may be: an entry that was written
// before an outage of the store, and read after it, does not show that its worker existed
// in between. A lost run of a worker that crashed then would not be counted as a crash.
func TestChangesAreKnownToBeNewerThanTheLastAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &scriptedFeed{fakePlatform: newFakePlatform(0)}
		o := &Owner{ctx: t.Context(), store: store, timers: timer.NewSystem(), events: ring.New[queuedEvent](8)}
		var last changes
		f := &feed{table: tableWorkers, newEvent: func(c changes) event {
			last = c
			return workersChanged(c)
		}}
		follow := func(fails bool) {
			store.fails, store.takes = fails, 100*time.Millisecond
			if err := o.followOnce(f); (err != nil) != fails {
				t.Fatal(err)
			}
			time.Sleep(time.Second)
		}
		follow(false)
		if !last.after.IsZero() {
			t.Errorf("the first changes are said to be newer than %v", last.after)
		}
		begun := time.Now()
		follow(false)
		answered := time.Now().Add(-time.Second)
		if want := begun.Add(-time.Second); !last.after.Equal(want) {
			t.Errorf("the changes are newer than %v, want the first answer at %v", last.after, want)
		}
		follow(true)
		follow(true)
		follow(false)
		if !last.after.Equal(answered) {
			t.Errorf("after an outage the changes are newer than %v, want the last answer at %v", last.after, answered)
		}
	})
}
