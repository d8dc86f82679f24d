package plan

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/platform"
	"cicadabarrow.example/cicadabarrow/internal/timer"
)

func newTestStore(table Table) *Store {
	return NewStore(table, timer.NewManual(time.Unix(1_800_000_000, 0)))
}

// sectionWithLimit returns a section that the tests identify by its limit.
func sectionWithLimit(limit int64) Section {
	return Section{Team: "payments", Quota: Quota{Limit: job.Size{MilliCores: limit}}}
}

// registerInput is an operation on one section: a read if write is 0, else an
// edit.
type registerInput struct {
	base, write int64
}

type registerOutput struct {
	read     int64
	accepted bool
	unknown  bool
	notRun   bool
}

var editModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{int64(0)} },
	Step: func(state, input, output any) []any {
		current, in, out := state.(int64), input.(registerInput), output.(registerOutput)
		switch {
		case in.write == 0 && out.read == current, in.write != 0 && !out.accepted && !out.unknown && current != in.base:
			return []any{current}
		case out.notRun:
			return []any{current}
		case in.write != 0 && out.unknown && current == in.base:
			return []any{current, in.write}
		case in.write != 0 && out.unknown:
			return []any{current}
		case out.accepted && current == in.base:
			return []any{in.write}
		}
		return nil
	},
}

// TestEditsAreLinearizable runs concurrent editors of one section on a table
// that loses responses, and checks that the history is that of a
// compare-and-set register.
func TestEditsAreLinearizable(t *testing.T) {
	const seeds, editors, edits = 40, 4, 12
	accepted, unknown := 0, 0
	for seed := range uint64(seeds) {
		store := newTestStore(newFakeTable(seed, 0.5))
		var clock, lastWrite atomic.Int64
		var mu sync.Mutex
		var history []porcupine.Operation
		record := func(client int, in registerInput, call int64, out registerOutput) {
			mu.Lock()
			defer mu.Unlock()
			ret := clock.Add(1)
			if out.unknown { // The edit may take effect at any later time.
				ret += 1 << 40
				unknown++
			}
			if out.accepted {
				accepted++
			}
			history = append(history, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: ret})
		}
		var wg sync.WaitGroup
		for client := range editors {
			wg.Go(func() {
				for range edits {
					call := clock.Add(1)
					current, err := store.Section(t.Context(), "payments")
					if err != nil && !fault.Is(err, KindMissing) {
						continue
					}
					base := current.Quota.Limit.MilliCores
					record(client, registerInput{}, call, registerOutput{read: base})
					in := registerInput{base: base, write: lastWrite.Add(1)}
					call = clock.Add(1)
					_, err = store.Edit(t.Context(), Edit{Team: "payments", Base: current.Revision, Section: sectionWithLimit(in.write)})
					out := registerOutput{accepted: err == nil, unknown: fault.Is(err, KindUnknown), notRun: fault.Is(err, KindNotRun)}
					if err != nil && !out.unknown && !out.notRun && !fault.Is(err, KindConflict) {
						t.Errorf("edit: %v", err)
						return
					}
					record(client, in, call, out)
				}
			})
		}
		wg.Wait()
		if !porcupine.CheckOperations(editModel.ToModel(), history) {
			t.Fatalf("seed %d: the history is not linearizable: %v", seed, history)
		}
	}
	t.Logf("%d edits accepted, %d unknown", accepted, unknown)
	if accepted == 0 || unknown == 0 {
		t.Fatalf("%d edits accepted, %d unknown; neither may be 0", accepted, unknown)
	}
}

// TestEditResolvesLostResponses loses the response of every commit that took
// effect. The edit must find its own history row and report success, after
// exactly one commit.
func TestEditResolvesLostResponses(t *testing.T) {
	table := newFakeTable(1, 0)
	store := newTestStore(&lostResponseTable{fakeTable: table})
	got, err := store.Edit(t.Context(), Edit{Team: "payments", Section: sectionWithLimit(1), Author: "ops"})
	if err != nil || got.Revision != table.version || table.version != 1 {
		t.Fatalf("accepted %+v, %v after %d commits", got, err, table.version)
	}
	history, err := store.History(t.Context(), "payments", 10)
	if err != nil || len(history) != 1 || history[0].Author != "ops" || history[0].Section.Revision != 1 {
		t.Fatalf("history %+v, %v", history, err)
	}
}

type lostResponseTable struct{ *fakeTable }

func (l *lostResponseTable) Commit(ctx context.Context, commit platform.Commit) (uint64, error) {
	if _, err := l.fakeTable.Commit(ctx, commit); err != nil {
		return 0, err
	}
	return 0, fault.New("commit", platform.KindUnknown, "the response was lost")
}

func TestConflictShowsTheConcurrentEdit(t *testing.T) {
	store := newTestStore(newFakeTable(1, 0))
	base := mustEdit(t, store, 0, sectionWithLimit(1))
	theirs := sectionWithLimit(1)
	theirs.Services = []Service{{Name: "escrow-desk", MaxDeadline: time.Second, Priority: job.PriorityNormal}}
	mustEdit(t, store, base, theirs)
	_, err := store.Edit(t.Context(), Edit{Team: "payments", Base: base, Section: sectionWithLimit(2)})
	var conflict *Conflict
	if !fault.Is(err, KindConflict) || !errors.As(err, &conflict) {
		t.Fatalf("no conflict: %v", err)
	}
	fields := make([]string, 0, len(conflict.Differences))
	for _, d := range conflict.Differences {
		fields = append(fields, fmt.Sprint(d.Field, " ", d.Conflicting))
	}
	if got := fmt.Sprint(conflict.Base, conflict.Current, fields); got != "1 2 [Quota false Services false]" {
		t.Fatalf("conflict %s\n%v", got, conflict)
	}
	merged, ok := Merge(sectionWithLimit(1), theirs, sectionWithLimit(2))
	if !ok || merged.Quota.Limit.MilliCores != 2 || len(merged.Services) != 1 {
		t.Fatalf("merged %+v, %v", merged, ok)
	}
	if _, ok := Merge(sectionWithLimit(1), sectionWithLimit(3), sectionWithLimit(2)); ok {
		t.Fatal("merged two edits of one field")
	}
}

// TestConcurrentEditsStayWithinTotalCapacity commits a second team's edit
// between the validation of the first team's edit and its commit. The two
// guarantees together exceed the total capacity, so the first edit must fail.
func TestConcurrentEditsStayWithinTotalCapacity(t *testing.T) {
	capacity := Capacity{Total: job.Size{MilliCores: 100}}
	guaranteed := func(team string) Section {
		half := job.Size{MilliCores: 60}
		return Section{Team: team, Quota: Quota{Guaranteed: half, Limit: half}}
	}
	table := newFakeTable(1, 0)
	store := newTestStore(table)
	racing := &beforeCommitTable{fakeTable: table, hook: func() {
		if _, err := store.Edit(t.Context(), Edit{Team: "editorial", Section: guaranteed("editorial"), Capacity: capacity}); err != nil {
			t.Errorf("the second team: %v", err)
		}
	}}
	_, err := newTestStore(racing).Edit(t.Context(), Edit{Team: "payments", Section: guaranteed("payments"), Capacity: capacity})
	if !fault.Is(err, KindInvalid) {
		t.Fatalf("the first team: %v", err)
	}
}

// beforeCommitTable calls its hook once, just before the first commit.
type beforeCommitTable struct {
	*fakeTable
	hook func()
}

func (b *beforeCommitTable) Commit(ctx context.Context, commit platform.Commit) (uint64, error) {
	if hook := b.hook; hook != nil {
		b.hook = nil
		hook()
	}
	return b.fakeTable.Commit(ctx, commit)
}

func TestFetchSkipsMalformedRows(t *testing.T) {
	table := newFakeTable(1, 0)
	store := newTestStore(table)
	mustEdit(t, store, 0, sectionWithLimit(1))
	malformed := platform.Commit{ID: "torn", Writes: []platform.Write{{Key: "plan/editorial", Value: []byte(`{"Team":`)}}}
	if _, err := table.Commit(t.Context(), malformed); err != nil {
		t.Fatal(err)
	}
	sections, next, err := store.Fetch(t.Context(), 0)
	if len(sections) != 1 || next != 2 || !fault.Is(err, KindInvalid) {
		t.Fatalf("fetched %v up to %d, %v", sections, next, err)
	}
	table.down = true
	if _, next, err = store.Fetch(t.Context(), 2); next != 2 || !fault.Is(err, KindNotRun) {
		t.Fatalf("fetched up to %d, %v from an unavailable table", next, err)
	}
	_, err = store.Edit(t.Context(), Edit{Team: "payments", Base: 1, Section: sectionWithLimit(2)})
	if !fault.Is(err, KindNotRun) {
		t.Fatalf("edit on an unavailable table: %v", err)
	}
}

func mustEdit(t *testing.T, store *Store, base uint64, s Section) uint64 {
	t.Helper()
	got, err := store.Edit(t.Context(), Edit{Team: s.Team, Base: base, Section: s})
	if err != nil {
		t.Fatal(err)
	}
	return got.Revision
}
