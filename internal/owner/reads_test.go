package owner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/rowstore"
	"cicadabarrow.example/cicadabarrow/internal/timer"
)

func TestHedgeDelayFollowsTheOtherReads(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name    string
		readers int
		reads   []time.Duration
		want    time.Duration
	}{
		{"no read has completed", 22, nil, maxHedgeDelay},
		{"fewer than half have completed", 22, []time.Duration{20 * ms}, maxHedgeDelay},
		{"a fast store", 22, []time.Duration{20 * ms, 30 * ms}, 500 * ms},
		{"a slow store", 22, []time.Duration{700 * ms, 500 * ms, 2 * time.Second}, 2100 * ms},
		{"a very slow store", 22, []time.Duration{2 * time.Second, 2 * time.Second}, maxHedgeDelay},
		{"one reader on a link of low bandwidth", 1, []time.Duration{20 * ms, 30 * ms}, 2600 * ms},
	} {
		t.Run(c.name, func(t *testing.T) {
			limiter := newReadLimiter(4, c.readers)
			for _, took := range c.reads {
				limiter.observe(took)
			}
			if got := limiter.hedgeDelay(); got != c.want {
				t.Errorf("hedge delay %v, want %v", got, c.want)
			}
		})
	}
}

// failingReads fails a number of reads before it answers.
type failingReads struct {
	Store
	kind  rowstore.Kind
	fails int
}

func (f *failingReads) Read(context.Context, rowstore.Range) (rowstore.Snapshot, error) {
	if f.fails > 0 {
		f.fails--
		return rowstore.Snapshot{}, fault.New("read", f.kind, "scripted")
	}
	return rowstore.Snapshot{}, nil
}

// A new owner must not release the cell because a store that breaks connections has broken
// a few of its reads, since no other host would fare better. A store that rejects the
// reads of this host may serve another one.
func TestReadsOutlastBrokenConnections(t *testing.T) {
	for _, c := range []struct {
		name  string
		kind  rowstore.Kind
		fails int
		ok    bool
	}{
		{"a few broken connections", rowstore.KindUnknown, maxBrokenCalls - 1, true},
		{"all connections broken", rowstore.KindUnknown, maxBrokenCalls, false},
		{"rejected twice", rowstore.KindNotDone, maxRejectedCalls - 1, true},
		{"rejected", rowstore.KindNotDone, maxRejectedCalls, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := &Owner{store: &failingReads{kind: c.kind, fails: c.fails}, timers: timer.NewSystem(), log: zap.NewNop()}
				if _, err := o.hedgedRead(t.Context(), rowstore.Range{}, newReadLimiter(1, 1)); (err == nil) != c.ok {
					t.Errorf("the read gives %v", err)
				}
			})
		})
	}
}

// busyReads rejects all reads until a time.
type busyReads struct {
	Store
	until time.Time
}

func (b *busyReads) Read(context.Context, rowstore.Range) (rowstore.Snapshot, error) {
	if time.Now().Before(b.until) {
		return rowstore.Snapshot{}, fault.New("read", rowstore.KindNotDone, "scripted")
	}
	return rowstore.Snapshot{}, nil
}

// A new owner must not release the cell because the store has rejected one of its reads for
// a moment, as a store at its rate limit does.
func TestReadsOutlastAShortRejection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &busyReads{until: time.Now().Add(150 * time.Millisecond)}
		o := &Owner{store: store, timers: timer.NewSystem(), log: zap.NewNop()}
		if _, err := o.hedgedRead(t.Context(), rowstore.Range{}, newReadLimiter(1, 1)); err != nil {
			t.Errorf("the read gives %v", err)
		}
	})
}
