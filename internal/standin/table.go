package standin

import (
	"context"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/platform"
	"cicadabarrow.example/cicadabarrow/internal/timer"
)

// minLogEntries is the length below which the log of versions is not compacted.
const minLogEntries = 1024

// HistoryRow is one write of a row under a prefix whose history is kept.
type HistoryRow struct {
	platform.Row
	// Deleted is set if the write deleted the row.
	Deleted bool
	// At is the time of the commit.
	At time.Time
}

// Counts holds the numbers of operations on a store.
type Counts struct {
	// Reads counts get and list calls.
	Reads uint64
	// Writes counts commits that reached the store, including those whose checks
	// failed.
	Writes uint64
	// RowsWritten counts the rows of successful commits.
	RowsWritten uint64
}

// Table stands in for the table service. It does not deduplicate commits by their
// ID: a commit that is sent twice is applied twice if its checks pass.
type Table struct {
	Faults
	prefixes []string

	mu      sync.Mutex
	version uint64
	rows    map[string]platform.Row
	// log lists the writes in order. An entry is stale if its row has been written
	// or deleted since.
	log     []logEntry
	history []HistoryRow
	counts  Counts
}

type logEntry struct {
	version uint64
	key     string
}

// NewTable returns an empty table that keeps the history of the rows under the
// given prefixes.
func NewTable(timers timer.Service, historyPrefixes ...string) *Table {
	return &Table{Faults: Faults{timers: timers}, prefixes: historyPrefixes, rows: make(map[string]platform.Row)}
}

// Get returns the row with a key, or an error of KindMissing.
func (t *Table) Get(ctx context.Context, key string) (platform.Row, error) {
	return withFaults(ctx, &t.Faults, "get", func() (platform.Row, error) {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.counts.Reads++
		row, ok := t.rows[key]
		if !ok {
			return platform.Row{}, fault.New("get", platform.KindMissing, "no row %q", key)
		}
		return cloneRow(row), nil
	})
}

// List returns the rows under a prefix that were written after a version, ordered
// by version. A limit above 0 bounds the number of rows, but never splits the rows
// of one commit, so that a reader can continue after the last version that it
// received.
func (t *Table) List(ctx context.Context, prefix string, after uint64, limit int) ([]platform.Row, error) {
	return withFaults(ctx, &t.Faults, "list", func() ([]platform.Row, error) {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.counts.Reads++
		return t.list(prefix, after, limit), nil
	})
}

func (t *Table) list(prefix string, after uint64, limit int) []platform.Row {
	var rows []platform.Row
	first := sort.Search(len(t.log), func(i int) bool { return t.log[i].version > after })
	for _, entry := range t.log[first:] {
		row, ok := t.rows[entry.key]
		if !ok || row.Version != entry.version || !strings.HasPrefix(entry.key, prefix) {
			continue
		}
		if n := len(rows); limit > 0 && n >= limit && rows[n-1].Version != row.Version {
			break
		}
		rows = append(rows, cloneRow(row))
	}
	return rows
}

// Commit applies a transaction and returns its version, or an error of
// KindConflict that names the key whose check failed.
func (t *Table) Commit(ctx context.Context, c platform.Commit) (uint64, error) {
	return withFaults(ctx, &t.Faults, "commit", func() (uint64, error) {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.counts.Writes++
		return t.commit(c)
	})
}

func (t *Table) commit(c platform.Commit) (uint64, error) {
	if err := checkCommit(c); err != nil {
		return 0, err
	}
	for _, check := range c.Checks {
		if got := t.rows[check.Key].Version; got != check.Version {
			return 0, fault.New("commit", platform.KindConflict,
				"row %q is at version %d, not %d", check.Key, got, check.Version)
		}
	}
	t.version++
	for _, w := range c.Writes {
		t.write(c.ID, w)
	}
	t.counts.RowsWritten += uint64(len(c.Writes))
	t.compact()
	return t.version, nil
}

func checkCommit(c platform.Commit) error {
	if c.ID == "" {
		return invalid("commit", "the commit has no ID")
	}
	if len(c.Writes) == 0 {
		return invalid("commit", "commit %q writes nothing", c.ID)
	}
	seen := make(map[string]bool, len(c.Writes))
	for i, w := range c.Writes {
		if w.Key == "" || seen[w.Key] {
			return invalid("commit", "write %d of commit %q has an empty or repeated key %q", i, c.ID, w.Key)
		}
		seen[w.Key] = true
	}
	return nil
}

func (t *Table) write(id string, w platform.Write) {
	row := platform.Row{Key: w.Key, Version: t.version, WriteID: id}
	if w.Delete {
		delete(t.rows, w.Key)
	} else {
		row.Value = slices.Clone(w.Value)
		t.rows[w.Key] = row
		t.log = append(t.log, logEntry{version: t.version, key: w.Key})
	}
	for _, prefix := range t.prefixes {
		if strings.HasPrefix(w.Key, prefix) {
			t.history = append(t.history, HistoryRow{Row: row, Deleted: w.Delete, At: t.timers.Now()})
			break
		}
	}
}

// compact removes the stale entries of the log once they outnumber the rows.
func (t *Table) compact() {
	if len(t.log) < minLogEntries || len(t.log) < 2*len(t.rows) {
		return
	}
	t.log = slices.DeleteFunc(t.log, func(e logEntry) bool {
		row, ok := t.rows[e.key]
		return !ok || row.Version != e.version
	})
}

// History returns all writes so far under the prefixes whose history is kept.
func (t *Table) History() []HistoryRow {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.history)
}

// Counts returns the numbers of operations on the table.
func (t *Table) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts
}

func cloneRow(r platform.Row) platform.Row {
	r.Value = slices.Clone(r.Value)
	return r
}
