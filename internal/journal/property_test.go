package journal_test

import (
	"cmp"
	"fmt"
	"net/netip"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/journal"
	"cicadabarrow.example/cicadabarrow/internal/platform"
	"cicadabarrow.example/cicadabarrow/internal/pool"
)

const workers = 3

var (
	epochStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	capacity   = job.Size{MilliCores: 4000, MemoryMB: 4000}
)

// poolDriver applies random events to a pool and collects the records that the
// pool asks to persist.
type poolDriver struct {
	pool     *pool.Pool
	now      time.Time
	records  []pool.Record
	batchIDs []uint64
	sent     []platform.Attempt
	workerOf map[platform.Attempt]string
	jobs     int
	snapshot []byte
	covered  int
}

func newPoolDriver() *poolDriver {
	d := &poolDriver{now: epochStart, workerOf: make(map[platform.Attempt]string)}
	d.pool = pool.New(pool.DefaultConfig(), pool.Takeover{Epoch: 1, First: true}, pool.RecoveredState{}, d.now)
	var hosts []platform.Host
	for i := range workers {
		hosts = append(hosts, platform.Host{
			Name: fmt.Sprintf("worker-%d", i), Role: platform.RoleWorker, Capacity: capacity,
			Addr: netip.MustParseAddrPort("127.0.0.1:80"),
		})
	}
	d.pool.SetWorkers(hosts, d.now)
	d.perform(d.pool.Tick(d.now))
	return d
}

func (d *poolDriver) perform(actions []pool.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case pool.PersistRecords:
			d.records = append(d.records, a.Records...)
			d.batchIDs = append(d.batchIDs, a.BatchID)
		case pool.StartTasks:
			for _, s := range a.Starts {
				d.sent = append(d.sent, s.Attempt)
				d.workerOf[s.Attempt] = a.Worker.Name
			}
		case pool.RequestReport:
			d.perform(d.pool.Reported(a.Worker.Name, a.Request.Since, platform.Report{Now: d.now, BootID: "b"}, d.now))
		case pool.StopTasks:
		}
	}
}

func (d *poolDriver) step(t *rapid.T) {
	switch rapid.IntRange(0, 9).Draw(t, "event") {
	case 0, 1:
		d.accept(t)
	case 2, 3:
		d.perform(d.pool.Schedule(d.now))
	case 4, 5:
		if len(d.batchIDs) > 0 {
			token := d.batchIDs[0]
			d.batchIDs = d.batchIDs[1:]
			d.perform(d.pool.Durable(token, d.now))
		}
	case 6:
		d.outcome(t)
	case 7:
		d.report(t)
	case 8:
		id := fmt.Sprintf("job-%d", rapid.IntRange(0, max(d.jobs-1, 0)).Draw(t, "cancelled"))
		actions, _ := d.pool.Cancel(id, d.now) // The error says that the job has ended.
		d.perform(actions)
	case 9:
		d.now = d.now.Add(time.Duration(rapid.IntRange(10, 4000).Draw(t, "ms")) * time.Millisecond)
		d.perform(d.pool.Tick(d.now))
	}
}

func (d *poolDriver) accept(t *rapid.T) {
	spec := job.Spec{
		ID: fmt.Sprintf("job-%d", d.jobs), Team: "payments", Tasks: rapid.IntRange(1, 3).Draw(t, "tasks"),
		Kind: rapid.SampledFrom([]job.Kind{job.KindBatch, job.KindService, job.KindAllAtOnce}).Draw(t, "kind"),
		Size: job.Size{MilliCores: 1000, MemoryMB: 500}, RunTime: time.Minute,
		Replayable:  rapid.Bool().Draw(t, "replayable"),
		MaxAttempts: rapid.IntRange(0, 2).Draw(t, "attempts"),
	}
	d.jobs++
	d.pool.Accept(spec, d.now)
	d.records = append(d.records, pool.Record{Kind: pool.RecordAccepted, Spec: spec})
}

func (d *poolDriver) drawAttempt(t *rapid.T) (platform.Attempt, bool) {
	if len(d.sent) == 0 {
		return platform.Attempt{}, false
	}
	return rapid.SampledFrom(d.sent).Draw(t, "attempt"), true
}

func (d *poolDriver) outcome(t *rapid.T) {
	if a, ok := d.drawAttempt(t); ok {
		o := rapid.SampledFrom([]pool.StartOutcome{pool.StartAccepted, pool.StartNotRun, pool.StartUnknown}).Draw(t, "start")
		d.perform(d.pool.Started([]pool.StartResult{{Attempt: a, Outcome: o}}, d.now))
	}
}

func (d *poolDriver) report(t *rapid.T) {
	a, ok := d.drawAttempt(t)
	if !ok {
		return
	}
	state := rapid.SampledFrom([]platform.TaskState{
		platform.TaskRunning, platform.TaskDone, platform.TaskFailed, platform.TaskStopped, platform.TaskLapsed,
	}).Draw(t, "state")
	r := platform.Report{Now: d.now, BootID: "b", Tasks: []platform.TaskReport{{Attempt: a, State: state}}}
	d.perform(d.pool.Reported(d.workerOf[a], d.now.Add(-time.Second), r, d.now))
}

// takeSnapshot takes a snapshot that covers all records so far.
func (d *poolDriver) takeSnapshot(t *rapid.T) {
	s, ok := d.pool.Snapshot()
	if !ok {
		t.Fatal("the pool has records that no PersistRecords action carries")
	}
	d.snapshot, d.covered = journal.EncodeSnapshot(s), len(d.records)
}

// openState returns the jobs and tasks of a pool that have not ended, in a form
// that can be compared. Until is cleared, since renewals move the end of a task's
// lease and no record names them. Jobs are sorted, since their order may differ.
func openState(t *rapid.T, p *pool.Pool) pool.Snapshot {
	s, ok := p.Snapshot()
	if !ok {
		t.Fatal("the pool has records that no PersistRecords action carries")
	}
	for _, j := range s.Jobs {
		for i := range j.Tasks {
			j.Tasks[i].Until = time.Time{}
		}
	}
	// The rebuilt pool may end the jobs that are about to end in another order.
	slices.Sort(s.Ended)
	slices.SortFunc(s.Jobs, func(a, b pool.JobSnapshot) int { return cmp.Compare(a.Spec.ID, b.Spec.ID) })
	return s
}

func rebuild(recovered pool.RecoveredState, now time.Time) *pool.Pool {
	p := pool.New(pool.DefaultConfig(), pool.Takeover{Epoch: 2}, recovered, now)
	p.Tick(now)
	return p
}

// A snapshot and the records after it must rebuild the same pool as all records,
// and both must equal the open state of the pool that wrote them.
func TestSnapshotAndTailRebuildThePool(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newPoolDriver()
		d.takeSnapshot(t)
		steps := rapid.IntRange(1, 120).Draw(t, "steps")
		at := rapid.IntRange(0, steps).Draw(t, "snapshot")
		for i := range steps {
			d.step(t)
			if i == at {
				d.takeSnapshot(t)
			}
		}
		d.perform(d.pool.Tick(d.now))
		snapshot, err := journal.DecodeSnapshot("object", d.snapshot)
		if err != nil {
			t.Fatal(err)
		}
		tail, err := journal.Decode("row", journal.Encode(d.records[d.covered:]))
		if err != nil {
			t.Fatal(err)
		}
		live := openState(t, d.pool)
		fromRecords := openState(t, rebuild(pool.RecoveredState{Records: d.records}, d.now))
		// The new owner has recorded its own epoch.
		live.RenewalsEnded, live.Reconciled = fromRecords.RenewalsEnded, fromRecords.Reconciled
		if !reflect.DeepEqual(fromRecords, live) {
			t.Fatalf("rebuilt from all records:\n%+v\nopen state of the owner:\n%+v", fromRecords, live)
		}
		fromSnapshot := openState(t, rebuild(pool.RecoveredState{Snapshot: snapshot, Records: tail}, d.now))
		if !reflect.DeepEqual(fromSnapshot, fromRecords) {
			t.Fatalf("rebuilt from the snapshot and the tail:\n%+v\nrebuilt from all records:\n%+v", fromSnapshot, fromRecords)
		}
	})
}

// A job whose attempts are used up stays failed, also for the successor, when the
// last attempt failed without a message. TestSnapshotAndTailRebuildThePool found
// with seed 1 that such a job was shown as done and went on.
func TestFailureWithoutMessageStaysFailed(t *testing.T) {
	p := pool.New(pool.DefaultConfig(), pool.Takeover{Epoch: 1, First: true}, pool.RecoveredState{}, epochStart)
	p.Accept(job.Spec{
		ID: "feed", Team: "editorial", Kind: job.KindService, Tasks: 2, MaxAttempts: 1,
		Size: job.Size{MilliCores: 3000, MemoryMB: 100},
	}, epochStart)
	p.SetWorkers([]platform.Host{{Name: "worker-0", Capacity: capacity, Addr: netip.MustParseAddrPort("127.0.0.1:80")}}, epochStart)
	d := &poolDriver{pool: p, now: epochStart, workerOf: make(map[platform.Attempt]string)}
	d.perform(p.Tick(d.now))
	d.perform(p.Schedule(d.now))
	d.perform(p.Durable(d.batchIDs[len(d.batchIDs)-1], d.now))
	d.perform(p.Reported("worker-0", d.now.Add(-time.Second), platform.Report{
		Now: d.now, BootID: "b", Tasks: []platform.TaskReport{{Attempt: d.sent[0], State: platform.TaskFailed}},
	}, d.now))
	last := d.records[len(d.records)-1]
	if last.Kind != pool.RecordJobEnded || last.State != job.StateFailed {
		t.Errorf("the last record is %s %q; want the end of a failed job", last.Kind, last.State)
	}
}
