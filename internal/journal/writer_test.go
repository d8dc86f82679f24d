package journal_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/journal"
	"cicadabarrow.example/cicadabarrow/internal/lease"
	"cicadabarrow.example/cicadabarrow/internal/platform"
	"cicadabarrow.example/cicadabarrow/internal/pool"
	"cicadabarrow.example/cicadabarrow/internal/standin"
	"cicadabarrow.example/cicadabarrow/internal/timer"
)

const (
	dataCentre = "kita-hakata"
	unit       = lease.Unit("pool")
)

// stores holds the table service and the object store, with a unit whose owner
// changes.
type stores struct {
	t       *testing.T
	timers  *timer.System
	table   *standin.Table
	objects *standin.Objects
	epoch   uint64
}

func newStores(t *testing.T) *stores {
	timers := timer.NewSystem()
	return &stores{t: t, timers: timers, table: standin.NewTable(timers), objects: standin.NewObjects(timers)}
}

// takeOver makes a new owner, which reads the state of its predecessor and starts
// a writer.
func (s *stores) takeOver() (*journal.Writer, journal.History) {
	s.t.Helper()
	s.epoch++
	version, err := s.table.Commit(s.t.Context(), platform.Commit{
		ID: fmt.Sprintf("take-%d", s.epoch), Writes: []platform.Write{{Key: lease.UnitKey(dataCentre, unit)}},
	})
	if err != nil {
		s.t.Fatal(err)
	}
	h, err := journal.Read(s.t.Context(), s.table, s.objects, dataCentre, unit)
	if err != nil {
		s.t.Fatal(err)
	}
	g := lease.Gained{Unit: unit, Epoch: s.epoch, Version: version}
	w := journal.New(s.table, s.objects, dataCentre, g, "owner", h, func() {}, s.timers, zap.NewNop())
	return w, h
}

func accepted(n int) []pool.Record {
	spec := job.Spec{ID: fmt.Sprintf("job-%d", n), Team: "payments", Kind: job.KindBatch, Tasks: 1}
	return []pool.Record{{Kind: pool.RecordAccepted, Spec: spec}}
}

// append commits one row for each of the jobs [from, to).
func (s *stores) append(w *journal.Writer, from, to int) {
	s.t.Helper()
	for n := from; n < to; n++ {
		w.Append(journal.Batch{Records: accepted(n)})
		if err := w.Flush(s.t.Context()); err != nil {
			s.t.Fatal(err)
		}
	}
}

func (s *stores) compact(w *journal.Writer, jobs int) {
	s.t.Helper()
	records := make([]pool.Record, 0, jobs)
	for n := range jobs {
		records = append(records, accepted(n)...)
	}
	p := pool.New(pool.DefaultConfig(), pool.Takeover{Epoch: s.epoch}, pool.RecoveredState{Records: records}, s.timers.Now())
	p.Tick(s.timers.Now())
	snapshot, ok := p.Snapshot()
	if !ok {
		s.t.Fatal("the pool has records that no PersistRecords action carries")
	}
	done, ok := w.Compact(snapshot, nil)
	if !ok {
		s.t.Fatal("the writer refused the snapshot")
	}
	<-done
}

// jobs returns the number of jobs in a history.
func jobs(h journal.History) int { return len(h.Recovered.Snapshot.Jobs) + len(h.Recovered.Records) }

func TestSnapshotReplacesRowsUnderFaults(t *testing.T) {
	faults := map[string]func(*stores){
		"none":             func(*stores) {},
		"table loses":      func(s *stores) { s.table.LoseAnswers(3) },
		"objects lose":     func(s *stores) { s.objects.LoseAnswers(3) },
		"both lose":        func(s *stores) { s.table.LoseAnswers(2); s.objects.LoseAnswers(2) },
		"table is slow":    func(s *stores) { s.table.SetSlow(3 * time.Second); s.healAfter(time.Minute) },
		"objects are down": func(s *stores) { s.objects.SetDown(true); s.healAfter(time.Minute) },
		"table is silent":  func(s *stores) { s.table.SetSilent(true); s.healAfter(time.Minute) },
	}
	for name, inject := range faults {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newStores(t)
				w, _ := s.takeOver()
				s.append(w, 0, 5)
				inject(s)
				s.compact(w, 5)
				if w.Rows() != 0 {
					t.Errorf("%d rows are not replaced by the snapshot", w.Rows())
				}
				s.append(w, 5, 7)
				w.Close()
				w, h := s.takeOver()
				defer w.Close()
				if len(h.Recovered.Snapshot.Jobs) != 5 || len(h.Recovered.Records) != 2 {
					t.Errorf("recovered %d jobs and %d records; want 5 and 2", len(h.Recovered.Snapshot.Jobs), len(h.Recovered.Records))
				}
			})
		})
	}
}

// healAfter ends the faults after d.
func (s *stores) healAfter(d time.Duration) {
	go func() {
		time.Sleep(d)
		s.table.SetSlow(0)
		s.table.SetSilent(false)
		s.objects.SetDown(false)
	}()
}

// The owner is deposed while its snapshot waits for the object store. The
// snapshot must then replace no rows.
func TestDeposedOwnerReplacesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStores(t)
		old, _ := s.takeOver()
		s.append(old, 0, 3)
		s.objects.SetDown(true)
		done, ok := old.Compact(pool.Snapshot{}, nil)
		if !ok {
			t.Fatal("the writer refused the snapshot")
		}
		synctest.Wait()
		s.objects.SetDown(false)
		next, _ := s.takeOver()
		<-done
		s.append(next, 3, 4)
		next.Close()
		old.Close()
		last, h := s.takeOver()
		defer last.Close()
		if jobs(h) != 4 {
			t.Errorf("recovered %d jobs; want 4", jobs(h))
		}
	})
}

// Neither the journal nor the object store may grow with the number of owners
// and snapshots.
func TestStoresDoNotGrowWithHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStores(t)
		for range 20 {
			w, _ := s.takeOver()
			s.append(w, 0, 10)
			s.compact(w, 10)
			w.Close()
		}
		rows, err := journal.ListAll(t.Context(), s.table, journal.Prefix(dataCentre, unit))
		if err != nil || len(rows) != 0 {
			t.Errorf("%d journal rows are left, %v", len(rows), err)
		}
		if n := len(s.objects.Names()); n != 1 {
			t.Errorf("%d objects are left; want 1", n)
		}
	})
}

// A corrupt row, pointer or object, and a missing object, make Read fail instead of
// going on without them.
func TestTornStateIsAnError(t *testing.T) {
	corruptions := map[string]func(*stores, *testing.T){
		"row": func(s *stores, t *testing.T) {
			s.corruptRows(t, journal.Prefix(dataCentre, unit))
		},
		"pointer": func(s *stores, t *testing.T) {
			s.corruptRows(t, journal.PointerKey(dataCentre, unit))
		},
		"object": func(s *stores, t *testing.T) {
			for _, name := range s.objects.Names() {
				content, err := s.objects.Get(t.Context(), name)
				if err != nil {
					t.Fatal(err)
				}
				content[len(content)-1] ^= 1
				_ = s.objects.Put(t.Context(), name, content)
			}
		},
		"missing object": func(s *stores, t *testing.T) {
			for _, name := range s.objects.Names() {
				_ = s.objects.Delete(t.Context(), name)
			}
		},
	}
	for name, corrupt := range corruptions {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newStores(t)
				w, _ := s.takeOver()
				s.append(w, 0, 2)
				s.compact(w, 2)
				s.append(w, 2, 4)
				w.Close()
				corrupt(s, t)
				_, err := journal.Read(t.Context(), s.table, s.objects, dataCentre, unit)
				if !fault.Is(err, journal.KindCorrupt) {
					t.Errorf("read: %v; want an error of KindCorrupt", err)
				}
			})
		})
	}
}

// corruptRows flips a bit in the last byte of each row under a prefix.
func (s *stores) corruptRows(t *testing.T, prefix string) {
	t.Helper()
	rows, err := s.table.List(t.Context(), prefix, 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range rows {
		value := bytes.Clone(r.Value)
		value[len(value)-1] ^= 1
		_, err := s.table.Commit(t.Context(), platform.Commit{
			ID: "tear", Writes: []platform.Write{{Key: r.Key, Value: value}},
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}

// FuzzDecode demands that neither decoder panics and that each returns errors of
// KindCorrupt only.
func FuzzDecode(f *testing.F) {
	f.Add(journal.Encode(accepted(1)))
	f.Add(journal.EncodeSnapshot(pool.Snapshot{Ended: []string{"a"}}))
	f.Add([]byte{0x93, 1, 2, 3})
	f.Fuzz(func(t *testing.T, value []byte) {
		_, rowErr := journal.Decode("row", value)
		_, objectErr := journal.DecodeSnapshot("object", value)
		for _, err := range []error{rowErr, objectErr} {
			if err != nil && !fault.Is(err, journal.KindCorrupt) {
				t.Errorf("error %v is not of KindCorrupt", err)
			}
		}
	})
}

func TestFlushEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStores(t)
		w, _ := s.takeOver()
		defer w.Close()
		s.table.SetDown(true)
		w.Append(journal.Batch{Records: accepted(1)})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := w.Flush(ctx); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("flush ended with %v", err)
		}
		if w.StalledSince().IsZero() {
			t.Error("StalledSince is zero although commits fail")
		}
	})
}

// A pool that waits for its snapshot must not wait forever when the writer stops.
func TestCompactionEndsWithTheWriter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStores(t)
		w, _ := s.takeOver()
		s.table.SetDown(true)
		w.Append(journal.Batch{Records: accepted(1)})
		synctest.Wait()
		done, ok := w.Compact(pool.Snapshot{}, nil)
		if !ok {
			t.Fatal("the writer refused the snapshot")
		}
		w.Close()
		select {
		case <-done:
		default:
			t.Error("the compaction has not ended with the writer")
		}
		if _, ok := w.Compact(pool.Snapshot{}, nil); ok {
			t.Error("a closed writer took a snapshot")
		}
	})
}
