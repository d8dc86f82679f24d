package entry_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/entry"
	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/lease"
	"cicadabarrow.example/cicadabarrow/internal/message"
	"cicadabarrow.example/cicadabarrow/internal/platform"
	"cicadabarrow.example/cicadabarrow/internal/pool"
	"cicadabarrow.example/cicadabarrow/internal/standin"
	"cicadabarrow.example/cicadabarrow/internal/timer"
)

const (
	poolUnit   = lease.Unit("pool")
	dataCentre = "kita-hakata"
	poolHosts  = 4
	// renewGrace is short, so that the tests reach its end soon.
	renewGrace = 5 * time.Minute
)

// world is one data centre whose pool changes hands. It runs in the virtual
// time of a synctest bubble.
type world struct {
	t      *testing.T
	timers *timer.System
	d      *standin.Deployment
	view   *standin.View
	table  *tableHook
	hosts  *entry.HostView
	epoch  uint64
	guards []*guard
	// cut names the workers that the next owner cannot reach.
	cut map[string]bool
	// late delays the starts of all owners.
	late lateStarts
}

// guard is the authority of one owner.
type guard struct {
	timers *timer.System
	// lapsedAt is when the authority ended, in nanoseconds since 1970; 0 while
	// it lasts.
	lapsedAt atomic.Int64
	// unjournaled is set once the successors were told.
	unjournaled atomic.Bool
	// deaf is set when no successor answers.
	deaf atomic.Bool
}

func (g *guard) lapse() { g.lapsedAt.Store(g.timers.Now().UnixNano()) }

func (g *guard) MayAct(lease.Unit, uint64) error {
	if g.lapsedAt.Load() != 0 {
		return errors.New("the authority has lapsed")
	}
	return nil
}

func (g *guard) MayRenew(_ lease.Unit, _ uint64, grace time.Duration) error {
	at := g.lapsedAt.Load()
	if at != 0 && !g.timers.Now().Before(time.Unix(0, at).Add(grace)) {
		return errors.New("the grace is over")
	}
	return nil
}

func (g *guard) SetUnjournaled(on bool) { g.unjournaled.Store(on) }

func (g *guard) MayStartUnjournaled() bool {
	return g.lapsedAt.Load() == 0 && g.unjournaled.Load() && !g.deaf.Load()
}

// workersHook lets a test cut single workers off from one owner, and delay its
// starts.
type workersHook struct {
	*standin.WorkersView
	cut  map[string]bool
	late *lateStarts
}

// lateStarts delays starts: their outcome is unknown at once, and they arrive
// later, whatever becomes of who sent them.
type lateStarts struct {
	// by is the delay in nanoseconds; 0 for none.
	by   atomic.Int64
	sent atomic.Int64
}

func (h *workersHook) Start(
	ctx context.Context, worker platform.Host, starts []platform.Start,
) ([]error, error) {
	by := time.Duration(h.late.by.Load())
	if by == 0 {
		return h.WorkersView.Start(ctx, worker, starts)
	}
	h.late.sent.Add(int64(len(starts)))
	time.AfterFunc(by, func() {
		_, _ = h.WorkersView.Start(context.Background(), worker, starts) // Nobody waits for the outcome.
	})
	return nil, fault.New("start", platform.KindUnknown, "no answer")
}

func (h *workersHook) Report(
	ctx context.Context, worker platform.Host, r platform.ReportRequest,
) (platform.Report, error) {
	if h.cut[worker.Name] {
		return platform.Report{}, fault.New("report", platform.KindNotRun, "no way to %s", worker.Name)
	}
	return h.WorkersView.Report(ctx, worker, r)
}

// tableHook lets a test decide what becomes of a commit.
type tableHook struct {
	*standin.TableView
	commit func(ctx context.Context, c platform.Commit) (uint64, error)
}

func (h *tableHook) Commit(ctx context.Context, c platform.Commit) (uint64, error) {
	if h.commit != nil {
		return h.commit(ctx, c)
	}
	return h.TableView.Commit(ctx, c)
}

func newWorld(t *testing.T) *world {
	t.Helper()
	timers := timer.NewSystem()
	d, err := standin.NewDeployment(standin.DeploymentConfig{
		Name: "tsukushi", Workers: poolHosts, Upstreams: 1, EntryHosts: 2, DataCentres: 1, Seed: 1,
	}, timers)
	if err != nil {
		t.Fatal(err)
	}
	d.SetServerAddr(netip.MustParseAddrPort("127.0.0.1:80"))
	w := &world{t: t, timers: timers, d: d, view: d.View("entry-00")}
	w.table = &tableHook{TableView: w.view.Table}
	w.hosts = entry.NewHostView(w.view.Hosts, timers, zap.NewNop())
	t.Cleanup(w.hosts.Close)
	return w
}

// cutOff cuts the first owner off from the stores and ends its authority.
func (w *world) cutOff() {
	w.d.Links.Set("entry-00", standin.Platform, standin.LossRequests)
	w.guards[0].lapse()
}

// own lets a new host own the pool; the last guard is its authority.
func (w *world) own(how lease.Gained) *entry.PoolOwner {
	w.t.Helper()
	w.epoch++
	version, err := w.d.Table.Commit(w.t.Context(), platform.Commit{
		ID: fmt.Sprintf("take-%d", w.epoch), Writes: []platform.Write{{Key: lease.UnitKey(dataCentre, poolUnit)}},
	})
	if err != nil {
		w.t.Fatal(err)
	}
	how.Unit, how.Epoch, how.Version = poolUnit, w.epoch, version
	view, table := w.view, w.table
	if w.epoch > 1 {
		view = w.d.View("entry-01")
		table = &tableHook{TableView: view.Table}
	}
	plat := entry.Platform{
		Table: table, Objects: view.Objects, Hosts: view.Hosts, Workers: &workersHook{WorkersView: view.Workers, cut: w.cut, late: &w.late}, Upstreams: view.Upstreams,
	}
	g := &guard{timers: w.timers}
	w.guards = append(w.guards, g)
	id := fmt.Sprintf("owner-%d", w.epoch)
	cfg := pool.DefaultConfig()
	cfg.RenewGrace = renewGrace
	o := entry.NewPoolOwner(dataCentre, how, cfg, id, plat, w.hosts, g, noStarts{}, w.timers, zap.NewNop())
	w.t.Cleanup(o.Close)
	return o
}

// submit submits a job within a timeout.
func (w *world) submit(o *entry.PoolOwner, s job.Spec, timeout time.Duration) message.Submitted {
	ctx, cancel := context.WithTimeout(w.t.Context(), timeout)
	defer cancel()
	return o.Submit(ctx, s)
}

// accepted submits a job that must be accepted.
func (w *world) accepted(o *entry.PoolOwner, s job.Spec) {
	w.t.Helper()
	if out := w.submit(o, s, time.Minute); out.Outcome != message.OutcomeAnswered {
		w.t.Fatalf("job %s: %+v", s.ID, out)
	}
}

// starts returns how many attempts of a job have started.
func (w *world) starts(id string) int {
	n := 0
	for _, r := range w.d.Journal.Tasks() {
		if r.Attempt.Task.Job == id {
			n++
		}
	}
	return n
}

// running returns how many attempts of a job run now.
func (w *world) running(id string) int {
	w.d.Workers.AdvanceTo(w.timers.Now())
	n := 0
	for _, r := range w.d.Journal.Tasks() {
		if r.Attempt.Task.Job == id && r.State == platform.TaskRunning {
			n++
		}
	}
	return n
}

// placeOf returns the worker that runs the only task of a job.
func (w *world) placeOf(id string) string {
	for _, r := range w.d.Journal.Tasks() {
		if r.Attempt.Task.Job == id && r.State == platform.TaskRunning {
			return r.Worker
		}
	}
	return ""
}

// row returns the row of a job.
func (w *world) row(id string) (platform.Row, bool) {
	row, err := w.d.Table.Get(w.t.Context(), "job/"+id)
	return row, err == nil
}

// promises checks the promises against the stand-ins' journals.
func (w *world) promises() {
	w.t.Helper()
	f := w.d.Audit.Findings()
	if f.TasksInTwoPlaces+f.OverfullHosts+f.SplitGangs > 0 {
		w.t.Errorf("tasks in two places %d, overfull hosts %d, split gangs %d",
			f.TasksInTwoPlaces, f.OverfullHosts, f.SplitGangs)
	}
	seen := make(map[platform.Attempt]bool)
	for _, r := range w.d.Journal.Tasks() {
		if seen[r.Attempt] && !r.Resumed {
			w.t.Errorf("attempt %v started twice", r.Attempt)
		}
		seen[r.Attempt] = true
	}
}

func batch(id string, tasks int, runTime time.Duration) job.Spec {
	return job.Spec{
		ID: id, Team: "editorial", Name: "edition", Kind: job.KindBatch, Tasks: tasks, RunTime: runTime,
		Size: job.Size{MilliCores: 1000, MemoryMB: 500}, Replayable: true,
	}
}

// noStarts is told of first starts and keeps nothing.
type noStarts struct{}

func (noStarts) FirstStarted(string, string, time.Duration) {}
