package journal

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/lease"
	"cicadabarrow.example/cicadabarrow/internal/platform"
	"cicadabarrow.example/cicadabarrow/internal/pool"
)

// readPage is the number of rows that one List call requests.
const readPage = 500

// History is the state that the previous owners of a unit left in the table service
// and the object store.
type History struct {
	Recovered pool.RecoveredState
	// pointer names the snapshot in Recovered; pointerVersion is platform.Absent
	// when there is none.
	pointer        pointer
	pointerVersion uint64
	// rows are the keys of the rows that hold the records of Recovered.
	rows []string
}

// Read returns the state that the previous owners of a unit left: the last
// snapshot and the records after it, in order. The caller must own the unit, so
// that nothing changes meanwhile. A corrupt row or snapshot is an error: without its
// records, the new owner could start a task twice.
func Read(ctx context.Context, table Table, objects Objects, dataCentre string, u lease.Unit) (History, error) {
	h, err := readSnapshot(ctx, table, objects, PointerKey(dataCentre, u))
	if err != nil {
		return History{}, err
	}
	prefix := Prefix(dataCentre, u)
	rows, err := ListAll(ctx, table, prefix)
	if err != nil {
		return History{}, err
	}
	slices.SortFunc(rows, func(a, b platform.Row) int { return compareRows(prefix, a, b) })
	for _, r := range rows {
		records, err := Decode(r.Key, r.Value)
		if err != nil {
			return History{}, err
		}
		h.Recovered.Records = append(h.Recovered.Records, records...)
		h.rows = append(h.rows, r.Key)
	}
	return h, nil
}

func readSnapshot(ctx context.Context, table Table, objects Objects, key string) (History, error) {
	row, err := table.Get(ctx, key)
	if fault.Is(err, platform.KindMissing) {
		return History{}, nil
	}
	if err != nil {
		return History{}, fault.New("read", KindUnreadable, "row %s: %w", key, err)
	}
	p, err := decodePointer(key, row.Value)
	if err != nil {
		return History{}, err
	}
	content, err := objects.Get(ctx, p.Object)
	if fault.Is(err, platform.KindMissing) {
		return History{}, fault.New("read", KindCorrupt, "object %s, to which row %s points, does not exist", p.Object, key)
	}
	if err != nil {
		return History{}, fault.New("read", KindUnreadable, "object %s: %w", p.Object, err)
	}
	s, err := DecodeSnapshot(p.Object, content)
	if err != nil {
		return History{}, err
	}
	return History{Recovered: pool.RecoveredState{Snapshot: s}, pointer: p, pointerVersion: row.Version}, nil
}

// compareRows orders rows by epoch and then by the order of their commits. Within
// an epoch, acceptance rows come before batch rows, so that a job is known before
// the other records that refer to it.
func compareRows(prefix string, a, b platform.Row) int {
	epochA, nameA, _ := strings.Cut(strings.TrimPrefix(a.Key, prefix), "/")
	epochB, nameB, _ := strings.Cut(strings.TrimPrefix(b.Key, prefix), "/")
	return cmp.Or(
		cmp.Compare(epochA, epochB),
		-compareBool(isAccept(nameA), isAccept(nameB)),
		cmp.Compare(a.Version, b.Version),
	)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

const acceptPrefix = "+"

func isAccept(name string) bool { return strings.HasPrefix(name, acceptPrefix) }

// AcceptKey returns the key of the row that holds the acceptance of a job.
func AcceptKey(dataCentre string, u lease.Unit, epoch uint64, id string) string {
	return fmt.Sprintf("%s%016x/%s%s", Prefix(dataCentre, u), epoch, acceptPrefix, id)
}

// ListAll returns all rows under a prefix.
func ListAll(ctx context.Context, table Table, prefix string) ([]platform.Row, error) {
	var out []platform.Row
	var after uint64
	for {
		page, err := table.List(ctx, prefix, after, readPage)
		if err != nil {
			return nil, fault.New("read", KindUnreadable, "rows under %s: %w", prefix, err)
		}
		out = append(out, page...)
		if len(page) < readPage {
			return out, nil
		}
		after = page[len(page)-1].Version
	}
}
