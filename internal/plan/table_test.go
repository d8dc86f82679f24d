package plan

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/platform"
)

// fakeTable is an in-memory table that can lose requests and responses.
type fakeTable struct {
	mu      sync.Mutex
	rand    *rand.Rand
	version uint64
	rows    map[string]platform.Row
	// delayed holds commits that take effect during a later call, although
	// their callers already got KindUnknown.
	delayed []platform.Commit
	// lossRate is the share of commits whose response is lost. A quarter of it
	// is the share of calls of Get that fail.
	lossRate float64
	// down makes every call fail without effect.
	down bool
}

func newFakeTable(seed uint64, lossy float64) *fakeTable {
	return &fakeTable{rand: rand.New(rand.NewPCG(seed, 1)), rows: make(map[string]platform.Row), lossRate: lossy}
}

func (f *fakeTable) Get(_ context.Context, key string) (platform.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applyDelayed()
	row, ok := f.rows[key]
	switch {
	case f.down, f.rand.Float64() < f.lossRate/4:
		return platform.Row{}, fault.New("get", platform.KindNotRun, "the table is down")
	case !ok:
		return platform.Row{}, fault.New("get", platform.KindMissing, "no row %s", key)
	}
	return row, nil
}

func (f *fakeTable) List(_ context.Context, prefix string, after uint64, limit int) ([]platform.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, fault.New("list", platform.KindNotRun, "the table is down")
	}
	var found []platform.Row
	for key, row := range f.rows {
		if strings.HasPrefix(key, prefix) && row.Version > after {
			found = append(found, row)
		}
	}
	slices.SortFunc(found, func(x, y platform.Row) int { return cmp.Compare(x.Version, y.Version) })
	if limit > 0 && len(found) > limit {
		found = found[:limit]
	}
	return found, nil
}

// Commit loses the response of some commits: the commit has taken effect, has
// been lost too, or takes effect during a later call.
func (f *fakeTable) Commit(_ context.Context, commit platform.Commit) (uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	commit.Checks, commit.Writes = slices.Clone(commit.Checks), slices.Clone(commit.Writes)
	if f.down {
		return 0, fault.New("commit", platform.KindNotRun, "the table is down")
	}
	if f.rand.Float64() >= f.lossRate {
		return f.apply(commit)
	}
	switch f.rand.IntN(3) {
	case 0:
		_, _ = f.apply(commit)
	case 1:
		f.delayed = append(f.delayed, commit)
	}
	return 0, fault.New("commit", platform.KindUnknown, "the response was lost")
}

func (f *fakeTable) applyDelayed() {
	if len(f.delayed) > 0 && f.rand.IntN(2) == 0 {
		_, _ = f.apply(f.delayed[0])
		f.delayed = f.delayed[1:]
	}
}

func (f *fakeTable) apply(commit platform.Commit) (uint64, error) {
	for _, check := range commit.Checks {
		if f.rows[check.Key].Version != check.Version {
			return 0, fault.New("commit", platform.KindConflict, "row %s has changed", check.Key)
		}
	}
	f.version++
	for _, w := range commit.Writes {
		f.rows[w.Key] = platform.Row{Key: w.Key, Version: f.version, WriteID: commit.ID, Value: w.Value}
	}
	return f.version, nil
}
