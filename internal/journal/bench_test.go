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

// recordsPerRow is what one commit carried at 250 starts a second and 20
// commits a second: an intent and an ending for each start.
const recordsPerRow = 25

// past is a journal with a number of running tasks.
type past struct {
	stores  *stores
	records []pool.Record
	rows    int
}

// run adds jobs of one task that start, and end if they are to.
func (p *past) run(b *testing.B, from, to int, end bool) {
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
		p.records = append(p.records, records...)
		if len(p.records) >= recordsPerRow {
			p.write(b)
		}
	}
	p.write(b)
}

func (p *past) write(b *testing.B) {
	b.Helper()
	if len(p.records) == 0 {
		return
	}
	p.rows++
	key := fmt.Sprintf("%s%016x/%016x", journal.Prefix(dataCentre, unit), 1, p.rows)
	_, err := p.stores.table.Commit(b.Context(), platform.Commit{
		ID: key, Writes: []platform.Write{{Key: key, Value: journal.Encode(p.records)}},
	})
	if err != nil {
		b.Fatal(err)
	}
	p.records = nil
}

// compact replaces everything so far by a snapshot, as an owner does.
func (p *past) compact(b *testing.B) {
	b.Helper()
	ctx := b.Context()
	version, err := p.stores.table.Commit(ctx, platform.Commit{
		ID: "take", Writes: []platform.Write{{Key: lease.UnitKey(dataCentre, unit)}},
	})
	if err != nil {
		b.Fatal(err)
	}
	h, err := journal.Read(ctx, p.stores.table, p.stores.objects, dataCentre, unit)
	if err != nil {
		b.Fatal(err)
	}
	g := lease.Gained{Unit: unit, Epoch: 1, Version: version}
	w := journal.New(p.stores.table, p.stores.objects, dataCentre, g, "owner", h, func() {}, p.stores.timers, zap.NewNop())
	defer w.Close()
	live := pool.New(pool.DefaultConfig(), pool.Takeover{Epoch: 1}, h.Recovered, time.Now())
	live.Tick(time.Now())
	snapshot, ok := live.Snapshot()
	if !ok {
		b.Fatal("no snapshot was taken")
	}
	done, ok := w.Compact(snapshot, nil)
	if !ok {
		b.Fatal("no snapshot was taken")
	}
	<-done
}

// metered counts what a recovery reads.
type metered struct {
	*standin.Table
	calls, bytes int
}

func (m *metered) Get(ctx context.Context, key string) (platform.Row, error) {
	row, err := m.Table.Get(ctx, key)
	m.calls++
	m.bytes += len(row.Value)
	return row, err
}

func (m *metered) List(ctx context.Context, prefix string, after uint64, limit int) ([]platform.Row, error) {
	rows, err := m.Table.List(ctx, prefix, after, limit)
	m.calls++
	for _, r := range rows {
		m.bytes += len(r.Value)
	}
	return rows, err
}

// BenchmarkRecovery measures the rebuilding of a pool by the number of running
// tasks, the tasks that ended before for each of them, and whether snapshots
// are written. With snapshots the tail is the longest that is left.
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
	p := &past{stores: &stores{timers: timers, table: standin.NewTable(timers), objects: standin.NewObjects(timers)}}
	const recordsOfEnded = 4
	tail := min(ended, max(4096, 8*tasks)/recordsOfEnded)
	p.run(b, 0, tasks, false)
	p.run(b, tasks, tasks+ended-tail, true)
	if snapshots {
		p.compact(b)
	}
	p.run(b, tasks+ended-tail, tasks+ended, true)
	table := &metered{Table: p.stores.table}
	for b.Loop() {
		h, err := journal.Read(b.Context(), table, p.stores.objects, dataCentre, unit)
		if err != nil {
			b.Fatal(err)
		}
		rebuilt := pool.New(pool.DefaultConfig(), pool.Takeover{Epoch: 2}, h.Recovered, time.Now())
		if rebuilt.OpenTasks() != tasks {
			b.Fatalf("rebuilt %d tasks, not %d", rebuilt.OpenTasks(), tasks)
		}
	}
	b.ReportMetric(float64(table.calls)/float64(b.N), "calls/op")
	b.ReportMetric(float64(table.bytes)/float64(b.N)/1024, "tableKB/op")
	objectBytes := 0
	for _, name := range p.stores.objects.Names() {
		content, err := p.stores.objects.Get(b.Context(), name)
		if err != nil {
			b.Fatal(err)
		}
		objectBytes += len(content)
	}
	b.ReportMetric(float64(objectBytes)/1024, "objectKB/op")
}
