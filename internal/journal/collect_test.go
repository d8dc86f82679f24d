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

// TestCommitRateIsBounded appends a record each millisecond. The commits of six
// owners must stay within the several hundred writes per second that the table
// service takes, and a single start must not wait for others to share its row.
func TestCommitRateIsBounded(t *testing.T) {
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
			w, _ := s.takeOver()
			defer w.Close()
			time.Sleep(time.Second)
			record := pool.Record{Kind: kind, Attempt: platform.Attempt{Task: job.TaskID{Job: "build"}, Number: 1}}
			before := s.table.Counts().Writes
			appendedAt, durable := time.Now(), make(chan struct{})
			w.Append(journal.Batch{Records: []pool.Record{record}, OnDurable: func() { close(durable) }})
			<-durable
			if waited := time.Since(appendedAt); waited > 0 {
				t.Errorf("%s: the first record waited %v", kind, waited)
			}
			for range seconds * 1000 {
				time.Sleep(time.Millisecond)
				w.Append(journal.Batch{Records: []pool.Record{record}})
			}
			if n := s.table.Counts().Writes - before; n > perSecond*seconds+1 {
				t.Errorf("%s: %d commits in %d s; want at most %d per second", kind, n, seconds, perSecond)
			}
		})
	}
}
