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
	room       = job.Size{MilliCores: 4000, MemoryMB: 4000}
)

// driven is a pool under random events, with the records that it gave out.
type driven struct {
	pool     *pool.Pool
	now      time.Time
	records  []pool.Record
	tokens   []uint64
	sent     []platform.Attempt
	where    map[platform.Attempt]string
	jobs     int
	snapshot []byte
	covered  int
}

func newDriven() *driven {
	d := &driven{now: epochStart, where: make(map[platform.Attempt]string)}
	d.pool = pool.New(pool.DefaultConfig(), pool.Takeover{Epoch: 1, First: true}, pool.RecoveredState{}, d.now)
	var hosts []platform.Host
	for i := range workers {
		hosts = append(hosts, platform.Host{
			Name: fmt.Sprintf("worker-%d", i), Role: platform.RoleWorker, Room: room,
			Addr: netip.MustParseAddrPort("127.0.0.1:80"),
		})
	}
	d.pool.SetWorkers(hosts, d.now)
	d.perform(d.pool.Tick(d.now))
	return d
}

func (d *driven) perform(actions []pool.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case pool.PersistRecords:
			d.records = append(d.records, a.Records...)
			d.tokens = append(d.tokens, a.BatchID)
		case pool.StartTasks:
			for _, s := range a.Starts {
				d.sent = append(d.sent, s.Attempt)
				d.where[s.Attempt] = a.Worker.Name
			}
		case pool.RequestReport:
			d.perform(d.pool.Reported(a.Worker.Name, a.Request.Since, platform.Report{Now: d.now, Boot: "b"}, d.now))
		case pool.StopTasks:
		}
	}
}

func (d *driven) step(t *rapid.T) {
	switch rapid.IntRange(0, 9).Draw(t, "event") {
	case 0, 1:
		d.accept(t)
	case 2, 3:
		d.perform(d.pool.Schedule(d.now))
	case 4, 5:
		if len(d.tokens) > 0 {
			token := d.tokens[0]
			d.tokens = d.tokens[1:]
			d.perform(d.pool.Durable(token, d.now))
		}
	case 6:
		d.outcome(t)
	case 7:
		d.report(t)
	case 8:
		id := fmt.Sprintf("job-%d", rapid.IntRange(0, max(d.jobs-1, 0)).Draw(t, "cancelled"))
		actions, _ := d.pool.Cancel(id, d.now) // The job may have ended.
		d.perform(actions)
	case 9:
		d.now = d.now.Add(time.Duration(rapid.IntRange(10, 4000).Draw(t, "ms")) * time.Millisecond)
		d.perform(d.pool.Tick(d.now))
	}
}

func (d *driven) accept(t *rapid.T) {
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

func (d *driven) pick(t *rapid.T) (platform.Attempt, bool) {
	if len(d.sent) == 0 {
		return platform.Attempt{}, false
	}
	return rapid.SampledFrom(d.sent).Draw(t, "attempt"), true
}

func (d *driven) outcome(t *rapid.T) {
	if a, ok := d.pick(t); ok {
		o := rapid.SampledFrom([]pool.StartOutcome{pool.StartAccepted, pool.StartNotRun, pool.StartUnknown}).Draw(t, "start")
		d.perform(d.pool.Started([]pool.StartResult{{Attempt: a, Outcome: o}}, d.now))
	}
}

func (d *driven) report(t *rapid.T) {
	a, ok := d.pick(t)
	if !ok {
		return
	}
	state := rapid.SampledFrom([]platform.TaskState{
		platform.TaskRunning, platform.TaskDone, platform.TaskFailed, platform.TaskStopped, platform.TaskLapsed,
	}).Draw(t, "state")
	r := platform.Report{Now: d.now, Boot: "b", Tasks: []platform.TaskReport{{Attempt: a, State: state}}}
	d.perform(d.pool.Reported(d.where[a], d.now.Add(-time.Second), r, d.now))
}

// snap takes a snapshot of everything so far.
func (d *driven) snap(t *rapid.T) {
	s, ok := d.pool.Snapshot()
	if !ok {
		t.Fatal("records were left that no action names")
	}
	d.snapshot, d.covered = journal.EncodeSnapshot(s), len(d.records)
}

// open returns the open state of a pool in a form that can be compared. The end
// of a lease is left out: renewals move it, and no record names them. So is the
// order of the jobs.
func open(t *rapid.T, p *pool.Pool) pool.Snapshot {
	s, ok := p.Snapshot()
	if !ok {
		t.Fatal("records were left that no action names")
	}
	for _, j := range s.Jobs {
		for i := range j.Tasks {
			j.Tasks[i].Until = time.Time{}
		}
	}
	// Jobs that the last records left to be ended may end in another order.
	slices.Sort(s.Ended)
	slices.SortFunc(s.Jobs, func(a, b pool.JobSnapshot) int { return cmp.Compare(a.Spec.ID, b.Spec.ID) })
	return s
}

func rebuilt(past pool.RecoveredState, now time.Time) *pool.Pool {
	p := pool.New(pool.DefaultConfig(), pool.Takeover{Epoch: 2}, past, now)
	p.Tick(now)
	return p
}

// Whatever happened, the snapshot and the records after it rebuild what all
// records rebuild, and that is the open state of the owner that wrote them.
func TestSnapshotAndTailRebuildThePool(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDriven()
		d.snap(t)
		steps := rapid.IntRange(1, 120).Draw(t, "steps")
		at := rapid.IntRange(0, steps).Draw(t, "snapshot")
		for i := range steps {
			d.step(t)
			if i == at {
				d.snap(t)
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
		live := open(t, d.pool)
		all := open(t, rebuilt(pool.RecoveredState{Records: d.records}, d.now))
		// The new owner records its own epoch.
		live.RenewalsEnded, live.Reconciled = all.RenewalsEnded, all.Reconciled
		if !reflect.DeepEqual(all, live) {
			t.Fatalf("all records rebuild\n%+v\nthe owner has\n%+v", all, live)
		}
		both := open(t, rebuilt(pool.RecoveredState{Snapshot: snapshot, Records: tail}, d.now))
		if !reflect.DeepEqual(both, all) {
			t.Fatalf("snapshot and tail rebuild\n%+v\nall records rebuild\n%+v", both, all)
		}
	})
}

// A job that used up its attempts without a message must stay failed, also for
// the next owner. Seed 1 found it shown as done and going on.
func TestFailureWithoutMessageStaysFailed(t *testing.T) {
	p := pool.New(pool.DefaultConfig(), pool.Takeover{Epoch: 1, First: true}, pool.RecoveredState{}, epochStart)
	p.Accept(job.Spec{
		ID: "feed", Team: "editorial", Kind: job.KindService, Tasks: 2, MaxAttempts: 1,
		Size: job.Size{MilliCores: 3000, MemoryMB: 100},
	}, epochStart)
	p.SetWorkers([]platform.Host{{Name: "worker-0", Room: room, Addr: netip.MustParseAddrPort("127.0.0.1:80")}}, epochStart)
	d := &driven{pool: p, now: epochStart, where: make(map[platform.Attempt]string)}
	d.perform(p.Tick(d.now))
	d.perform(p.Schedule(d.now))
	d.perform(p.Durable(d.tokens[len(d.tokens)-1], d.now))
	d.perform(p.Reported("worker-0", d.now.Add(-time.Second), platform.Report{
		Now: d.now, Boot: "b", Tasks: []platform.TaskReport{{Attempt: d.sent[0], State: platform.TaskFailed}},
	}, d.now))
	last := d.records[len(d.records)-1]
	if last.Kind != pool.RecordJobEnded || last.State != job.StateFailed {
		t.Errorf("the job ended as %s %q, not as failed", last.Kind, last.State)
	}
}
