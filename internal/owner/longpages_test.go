package owner

import (
	"context"
	"fmt"
	"testing"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/rowstore"
	"cicadabarrow.example/cicadabarrow/internal/timer"
)

// longRows is a store whose pages have up to 500 rows, of which a client takes fewer.
type longRows struct {
	Store
	rows, taken int
	calls       int
}

// Read returns a page of rows.
func (s *longRows) Read(_ context.Context, r rowstore.Range) (rowstore.Snapshot, error) {
	const pageRows = 500
	s.calls++
	limit := pageRows
	if r.Limit > 0 {
		limit = min(limit, r.Limit)
	}
	var out rowstore.Snapshot
	for i := range s.rows {
		key := rowstore.Key{Table: r.Table, Name: fmt.Sprintf("%04d", i)}
		if key.Name < r.From {
			continue
		}
		if len(out.Rows) == limit {
			out.More = true
			break
		}
		out.Rows = append(out.Rows, rowstore.Row{Key: key})
	}
	if len(out.Rows) > s.taken {
		return rowstore.Snapshot{}, fault.New("read", rowstore.KindUnknown, "%w", rowstore.ErrTooLong)
	}
	return out, nil
}

// Rows that clients make large must not keep a new owner from reading the store.
func TestPagesThatAreTooLongAreReadInShorterOnes(t *testing.T) {
	for _, c := range []struct{ rows, taken, maxCalls int }{
		{1000, 500, 3}, {1000, 100, 18}, {300, 10, 42}, {50, 1, 54},
	} {
		store := &longRows{rows: c.rows, taken: c.taken}
		o := &Owner{store: store, timers: timer.NewSystem(), log: zap.NewNop()}
		got, err := o.readAll(t.Context(), newReadLimiter(1, 1), rowstore.Range{Table: "t"})
		if err != nil || len(got.rows) != c.rows || store.calls > c.maxCalls {
			t.Errorf("%d rows, of which %d are taken at once: %d rows, %d calls, %v", c.rows, c.taken, len(got.rows), store.calls, err)
		}
	}
	store := &longRows{rows: 3, taken: 0}
	o := &Owner{store: store, timers: timer.NewSystem(), log: zap.NewNop()}
	if _, err := o.readAll(t.Context(), newReadLimiter(1, 1), rowstore.Range{Table: "t"}); err == nil {
		t.Error("a row that is too long is no error")
	}
}
