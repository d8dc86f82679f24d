package journal_test

import (
	"testing"
	"testing/synctest"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/journal"
	"cicadabarrow.example/cicadabarrow/internal/platform"
	"cicadabarrow.example/cicadabarrow/internal/pool"
)

// TestCommitsAreBounded hands over a record each millisecond. Six owners must
// stay within the several hundred writes a second of the table service, and a
// single start must not wait for others.
func TestCommitsAreBounded(t *testing.T) {
	const (
		owners      = 6
		storeWrites = 300
		seconds     = 4
	)
	for kind, perSecond := range map[pool.RecordKind]uint64{
		pool.RecordIntent: storeWrites / owners, pool.RecordEnded: 10,
	} {
		synctest.Test(t, func(t *testing.T) {
			s := newStores(t)
			w, _ := s.take()
			defer w.Close()
			time.Sleep(time.Second)
			record := pool.Record{Kind: kind, Attempt: platform.Attempt{Task: job.TaskID{Job: "build"}, Number: 1}}
			before := s.table.Counts().Writes
			handed, durable := time.Now(), make(chan struct{})
			w.Append(journal.Batch{Records: []pool.Record{record}, OnDurable: func() { close(durable) }})
			<-durable
			if waited := time.Since(handed); waited > 0 {
				t.Errorf("%s: the first record waited %v", kind, waited)
			}
			for range seconds * 1000 {
				time.Sleep(time.Millisecond)
				w.Append(journal.Batch{Records: []pool.Record{record}})
			}
			if n := s.table.Counts().Writes - before; n > perSecond*seconds+1 {
				t.Errorf("%s: %d commits in %d s; want at most %d a second", kind, n, seconds, perSecond)
			}
		})
	}
}
