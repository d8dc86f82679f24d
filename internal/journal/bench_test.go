package journal_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/journal"
	"cicadabarrow.example/cicadabarrow/internal/lease"
	"cicadabarrow.example/cicadabarrow/internal/platform"
	"cicadabarrow.example/cicadabarrow/internal/pool"
	"cicadabarrow.example/cicadabarrow/internal/standin"
	"cicadabarrow.example/cicadabarrow/internal/timer"
)

// recordsPerRow is the number of records per commit at 250 starts and 20 commits
// per second, with an intent and an ending for each start.
const recordsPerRow = 25

// benchJournal fills a journal with running and ended tasks.
type benchJournal struct {
	stores  *stores
	records []pool.Record
	rows    int
}

// addJobs adds the jobs [from, to), of one started task each. With end, the tasks
// and jobs have ended.
func (j *benchJournal) addJobs(b *testing.B, from, to int, end bool) {
	b.Helper()
	for n := from; n < to; n++ {
		spec := job.Spec{
			ID: fmt.Sprintf("edition-%08d", n), Team: "editorial", Name: "edition", Kind: job.KindBatch, Tasks: 1,
			Size: job.Size{MilliCores: 1000, MemoryMB: 2000}, RunTime: time.Hour,
		}
		attempt := platform.Attempt{Task: job.TaskID{Job: spec.ID}, Number: 1}
		records := []pool.Record{
			{Kind: pool.RecordAccepted, Spec: spec},
			{
				Kind: pool.RecordIntent, Attempt: attempt, Worker: fmt.Sprintf("worker-%03d", n%580), Size: spec.Size,
				Until: epochStart,
			},
		}
		if end {
			records = append(records,
				pool.Record{Kind: pool.RecordEnded, Attempt: attempt, Ending: pool.EndingDone},
				pool.Record{Kind: pool.RecordJobEnded, Job: spec.ID, State: job.StateDone})
		}
		j.records = append(j.records, records...)
		if len(j.records) >= recordsPerRow {
			j.write(b)
		}
	}
	j.write(b)
}

func (j *benchJournal) write(b *testing.B) {
	b.Helper()
	if len(j.records) == 0 {
		return
	}
	j.rows++
	key := fmt.Sprintf("%s%016x/%016x", journal.Prefix(dataCentre, unit), 1, j.rows)
	_, err := j.stores.table.Commit(b.Context(), platform.Commit{
		ID: key, Writes: []platform.Write{{Key: key, Value: journal.Encode(j.records)}},
	})
	if err != nil {
		b.Fatal(err)
	}
	j.records = nil
}

// compact replaces all rows by a snapshot, as an owner does.
func (j *benchJournal) compact(b *testing.B) {
	b.Helper()
	ctx := b.Context()
	version, err := j.stores.table.Commit(ctx, platform.Commit{
		ID: "take", Writes: []platform.Write{{Key: lease.UnitKey(dataCentre, unit)}},
	})
	if err != nil {
		b.Fatal(err)
	}
	h, err := journal.Read(ctx, j.stores.table, j.stores.objects, dataCentre, unit)
	if err != nil {
		b.Fatal(err)
	}
	g := lease.Gained{Unit: unit, Epoch: 1, Version: version}
	w := journal.New(j.stores.table, j.stores.objects, dataCentre, g, "owner", h, func() {}, j.stores.timers, zap.NewNop())
	defer w.Close()
	live := pool.New(pool.DefaultConfig(), pool.Takeover{Epoch: 1}, h.Recovered, time.Now())
	live.Tick(time.Now())
	snapshot, ok := live.Snapshot()
	if !ok {
		b.Fatal("the pool has records that no PersistRecords action carries")
	}
	done, ok := w.Compact(snapshot, nil)
	if !ok {
		b.Fatal("the writer refused the snapshot")
	}
	<-done
}

// countingTable counts the calls and the bytes that a recovery reads.
type countingTable struct {
	*standin.Table
	calls, bytes int
}

func (m *countingTable) Get(ctx context.Context, key string) (platform.Row, error) {
	row, err := m.Table.Get(ctx, key)
	m.calls++
	m.bytes += len(row.Value)
	return row, err
}

func (m *countingTable) List(ctx context.Context, prefix string, after uint64, limit int) ([]platform.Row, error) {
	rows, err := m.Table.List(ctx, prefix, after, limit)
	m.calls++
	for _, r := range rows {
		m.bytes += len(r.Value)
	}
	return rows, err
}

// BenchmarkRecovery measures the rebuilding of a pool with and without a snapshot,
// for several numbers of running tasks and of ended tasks per running task. With
// a snapshot, the records after it are as many as SnapshotDue allows.
func BenchmarkRecovery(b *testing.B) {
	for _, tasks := range []int{100, 1000, 4100} {
		for _, ended := range []int{0, 50} {
			for _, snapshots := range []bool{false, true} {
				b.Run(fmt.Sprintf("running=%d/ended=%d/snapshots=%t", tasks, tasks*ended, snapshots), func(b *testing.B) {
					benchmarkRecovery(b, tasks, tasks*ended, snapshots)
				})
			}
		}
	}
}

func benchmarkRecovery(b *testing.B, tasks, ended int, snapshots bool) {
	timers := timer.NewSystem()
	j := &benchJournal{stores: &stores{timers: timers, table: standin.NewTable(timers), objects: standin.NewObjects(timers)}}
	const recordsOfEnded = 4
	tail := min(ended, max(4096, 8*tasks)/recordsOfEnded)
	j.addJobs(b, 0, tasks, false)
	j.addJobs(b, tasks, tasks+ended-tail, true)
	if snapshots {
		j.compact(b)
	}
	j.addJobs(b, tasks+ended-tail, tasks+ended, true)
	table := &countingTable{Table: j.stores.table}
	for b.Loop() {
		h, err := journal.Read(b.Context(), table, j.stores.objects, dataCentre, unit)
		if err != nil {
			b.Fatal(err)
		}
		rebuilt := pool.New(pool.DefaultConfig(), pool.Takeover{Epoch: 2}, h.Recovered, time.Now())
		if rebuilt.OpenTasks() != tasks {
			b.Fatalf("rebuilt %d tasks; want %d", rebuilt.OpenTasks(), tasks)
		}
	}
	b.ReportMetric(float64(table.calls)/float64(b.N), "calls/op")
	b.ReportMetric(float64(table.bytes)/float64(b.N)/1024, "tableKB/op")
	objectBytes := 0
	for _, name := range j.stores.objects.Names() {
		content, err := j.stores.objects.Get(b.Context(), name)
		if err != nil {
			b.Fatal(err)
		}
		objectBytes += len(content)
	}
	b.ReportMetric(float64(objectBytes)/1024, "objectKB/op")
}
