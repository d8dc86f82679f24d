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
	// renewGrace is short, so that the tests soon reach its end.
	renewGrace = 5 * time.Minute
)

// fixture is one data centre whose pool is served by successive owners. It runs in
// the virtual time of a synctest bubble.
type fixture struct {
	t      *testing.T
	timers *timer.System
	d      *standin.Deployment
	view   *standin.View
	table  *tableHook
	hosts  *entry.HostView
	epoch  uint64
	guards []*guard
	// unreachable names the workers that the next owner to start cannot reach.
	unreachable map[string]bool
	// delayed delays the starts of all owners.
	delayed delayedStarts
}

// guard simulates the authority of one owner.
type guard struct {
	timers *timer.System
	// lapsedAt is when the authority ended, in nanoseconds since 1970; 0 while
	// it lasts.
	lapsedAt atomic.Int64
	// unjournaled is set while the owner has announced unjournaled starts.
	unjournaled atomic.Bool
	// noReplies is set if no successor responds.
	noReplies atomic.Bool
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
		return errors.New("the grace period is over")
	}
	return nil
}

func (g *guard) SetUnjournaled(on bool) { g.unjournaled.Store(on) }

func (g *guard) MayStartUnjournaled() bool {
	return g.lapsedAt.Load() == 0 && g.unjournaled.Load() && !g.noReplies.Load()
}

// workersHook lets a test make single workers unreachable for one owner and delay
// its starts.
type workersHook struct {
	*standin.WorkersView
	unreachable map[string]bool
	delayed     *delayedStarts
}

// delayedStarts delays starts: the sender gets an unknown outcome at once, and the
// starts arrive later, even if the sender has stopped.
type delayedStarts struct {
	// delay is in nanoseconds; 0 means no delay.
	delay atomic.Int64
	sent  atomic.Int64
}

func (h *workersHook) Start(
	ctx context.Context, worker platform.Host, starts []platform.Start,
) ([]error, error) {
	delay := time.Duration(h.delayed.delay.Load())
	if delay == 0 {
		return h.WorkersView.Start(ctx, worker, starts)
	}
	h.delayed.sent.Add(int64(len(starts)))
	time.AfterFunc(delay, func() {
		_, _ = h.WorkersView.Start(context.Background(), worker, starts) // Nobody waits for the outcome.
	})
	return nil, fault.New("start", platform.KindUnknown, "no answer")
}

func (h *workersHook) Report(
	ctx context.Context, worker platform.Host, r platform.ReportRequest,
) (platform.Report, error) {
	if h.unreachable[worker.Name] {
		return platform.Report{}, fault.New("report", platform.KindNotRun, "%s is unreachable", worker.Name)
	}
	return h.WorkersView.Report(ctx, worker, r)
}

// tableHook lets a test decide the outcome of a commit.
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

func newFixture(t *testing.T) *fixture {
	t.Helper()
	timers := timer.NewSystem()
	d, err := standin.NewDeployment(standin.DeploymentConfig{
		Name: "tsukushi", Workers: poolHosts, Upstreams: 1, EntryHosts: 2, DataCentres: 1, Seed: 1,
	}, timers)
	if err != nil {
		t.Fatal(err)
	}
	d.SetServerAddr(netip.MustParseAddrPort("127.0.0.1:80"))
	fx := &fixture{t: t, timers: timers, d: d, view: d.View("entry-00")}
	fx.table = &tableHook{TableView: fx.view.Table}
	fx.hosts = entry.NewHostView(fx.view.Hosts, timers, zap.NewNop())
	t.Cleanup(fx.hosts.Close)
	return fx
}

// cutOff disconnects the first owner from the stores and ends its authority.
func (fx *fixture) cutOff() {
	fx.d.Links.Set("entry-00", standin.Platform, standin.LossRequests)
	fx.guards[0].lapse()
}

// startOwner starts the next owner of the pool. Its guard is the last of guards.
func (fx *fixture) startOwner(gained lease.Gained) *entry.PoolOwner {
	fx.t.Helper()
	fx.epoch++
	version, err := fx.d.Table.Commit(fx.t.Context(), platform.Commit{
		ID: fmt.Sprintf("take-%d", fx.epoch), Writes: []platform.Write{{Key: lease.UnitKey(dataCentre, poolUnit)}},
	})
	if err != nil {
		fx.t.Fatal(err)
	}
	gained.Unit, gained.Epoch, gained.Version = poolUnit, fx.epoch, version
	view, table := fx.view, fx.table
	if fx.epoch > 1 {
		view = fx.d.View("entry-01")
		table = &tableHook{TableView: view.Table}
	}
	plat := entry.Platform{
		Table: table, Objects: view.Objects, Hosts: view.Hosts, Workers: &workersHook{WorkersView: view.Workers, unreachable: fx.unreachable, delayed: &fx.delayed}, Upstreams: view.Upstreams,
	}
	g := &guard{timers: fx.timers}
	fx.guards = append(fx.guards, g)
	id := fmt.Sprintf("owner-%d", fx.epoch)
	cfg := pool.DefaultConfig()
	cfg.RenewGrace = renewGrace
	o := entry.NewPoolOwner(dataCentre, gained, cfg, id, plat, fx.hosts, g, nopStartObserver{}, fx.timers, zap.NewNop())
	fx.t.Cleanup(o.Close)
	return o
}

// submit submits a job within a timeout.
func (fx *fixture) submit(o *entry.PoolOwner, s job.Spec, timeout time.Duration) message.Submitted {
	ctx, cancel := context.WithTimeout(fx.t.Context(), timeout)
	defer cancel()
	return o.Submit(ctx, s)
}

// mustSubmit submits a job and fails if the job is not accepted.
func (fx *fixture) mustSubmit(o *entry.PoolOwner, s job.Spec) {
	fx.t.Helper()
	if out := fx.submit(o, s, time.Minute); out.Outcome != message.OutcomeAnswered {
		fx.t.Fatalf("job %s: %+v", s.ID, out)
	}
}

// starts returns the number of attempts of a job that have started.
func (fx *fixture) starts(id string) int {
	n := 0
	for _, r := range fx.d.Journal.Tasks() {
		if r.Attempt.Task.Job == id {
			n++
		}
	}
	return n
}

// running returns the number of attempts of a job that run now.
func (fx *fixture) running(id string) int {
	fx.d.Workers.AdvanceTo(fx.timers.Now())
	n := 0
	for _, r := range fx.d.Journal.Tasks() {
		if r.Attempt.Task.Job == id && r.State == platform.TaskRunning {
			n++
		}
	}
	return n
}

// workerOf returns the worker that runs the only task of a job.
func (fx *fixture) workerOf(id string) string {
	for _, r := range fx.d.Journal.Tasks() {
		if r.Attempt.Task.Job == id && r.State == platform.TaskRunning {
			return r.Worker
		}
	}
	return ""
}

// row returns the row of a job.
func (fx *fixture) row(id string) (platform.Row, bool) {
	row, err := fx.d.Table.Get(fx.t.Context(), "job/"+id)
	return row, err == nil
}

// checkInvariants checks the journals of the simulated platform for violations of
// the invariants of the pool.
func (fx *fixture) checkInvariants() {
	fx.t.Helper()
	f := fx.d.Audit.Findings()
	if f.TasksInTwoPlaces+f.OverfullHosts+f.SplitGangs > 0 {
		fx.t.Errorf("tasks in two places %d, overfull hosts %d, split gangs %d",
			f.TasksInTwoPlaces, f.OverfullHosts, f.SplitGangs)
	}
	seen := make(map[platform.Attempt]bool)
	for _, r := range fx.d.Journal.Tasks() {
		if seen[r.Attempt] && !r.Resumed {
			fx.t.Errorf("attempt %v started twice", r.Attempt)
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

// nopStartObserver ignores first starts.
type nopStartObserver struct{}

func (nopStartObserver) FirstStarted(string, string, time.Duration) {}
