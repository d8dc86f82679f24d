package demo

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/standin"
	"cicadabarrow.example/cicadabarrow/internal/timer"
)

// Config configures a run.
type Config struct {
	// Deployment is "tsukushi" or "tiras".
	Deployment string
	Seed       uint64
	// Duration is how long the load lasts.
	Duration time.Duration
	// Faults injects faults, which are drawn from the seed.
	Faults bool
	// Idle disables the load: callers, jobs and edits.
	Idle bool
	// Workers, Upstreams, EntryHosts and DataCentres are counts; 0 selects the
	// default of the deployment.
	Workers, Upstreams, EntryHosts, DataCentres int
	// Progress receives a line a second; it may be io.Discard.
	Progress io.Writer
	Log      *zap.Logger
}

const (
	hostLag = 500 * time.Millisecond
	// readyTimeout bounds the time until the entry hosts own all units.
	readyTimeout     = 15 * time.Second
	pollInterval     = 100 * time.Millisecond
	progressInterval = time.Second
	// inForceTimeout bounds the time until an accepted edit is in force on all
	// entry hosts.
	inForceTimeout = 12 * time.Second
)

// run is one run of a deployment.
type run struct {
	cfg        Config
	timers     timer.Service
	deployment *standin.Deployment
	cluster    *Cluster
	load       *Load
	editor     *editor
	// hostsStartedAt is the time at which the start of the entry hosts began, and
	// loadStartedAt the time at which the load began.
	hostsStartedAt, loadStartedAt time.Time
}

// Run runs a deployment under load and returns a summary.
func Run(ctx context.Context, cfg Config) (Summary, error) {
	timers := timer.NewSystem()
	d, err := standin.NewDeployment(standin.DeploymentConfig{
		Name: cfg.Deployment, Seed: cfg.Seed, HostLag: hostLag, RunTimeFactorMin: 0.8, RunTimeFactorMax: 1.3,
		Workers: cfg.Workers, Upstreams: cfg.Upstreams, EntryHosts: cfg.EntryHosts, DataCentres: cfg.DataCentres,
	}, timers)
	if err != nil {
		return Summary{}, fmt.Errorf("build the deployment: %w", err)
	}
	begun := timers.Now()
	cluster, err := NewCluster(d, timers, cfg.Log)
	if err != nil {
		return Summary{}, err
	}
	r := &run{cfg: cfg, timers: timers, deployment: d, cluster: cluster, hostsStartedAt: begun}
	r.prepare()
	if err := r.waitOwned(ctx); err != nil {
		cluster.Close()
		return Summary{}, err
	}
	r.loadStartedAt = timers.Now()
	r.runLoad(ctx)
	summary := r.finish(ctx)
	return summary, nil
}

func (r *run) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(r.cfg.Progress, format+"\n", args...)
}

// prepare creates the callers, the submitters and the editor.
func (r *run) prepare() {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConns}}
	r.load = NewLoad(r.deployment, r.cluster, r.timers, r.cfg.Seed, "")
	r.editor = &editor{
		cluster: r.cluster, client: client, timers: r.timers, latestRevisions: make(map[string]uint64),
		random: rand.New(rand.NewPCG(r.cfg.Seed, 1<<32)),
	}
}

// waitOwned waits until every unit has an owner.
func (r *run) waitOwned(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for sleep(ctx, r.timers, pollInterval) {
		owned := 0
		for _, m := range r.cluster.Up("") {
			owned += len(m.entry.Status().Units)
		}
		if owned >= r.unitCount() {
			r.printf("%d entry hosts own %d units", len(r.cluster.Up("")), owned)
			return nil
		}
	}
	return fmt.Errorf("the entry hosts do not own all units after %v", readyTimeout)
}

// unitCount returns the number of units of all data centres.
func (r *run) unitCount() int {
	n := 0
	for _, dc := range r.deployment.DataCentres {
		if hosts := r.cluster.Up(dc.Name); len(hosts) > 0 {
			n += hosts[0].entry.UnitCount()
		}
	}
	return n
}

// runLoad runs the load, and the fault injector if it is enabled, for the
// configured duration.
func (r *run) runLoad(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.Duration)
	defer cancel()
	var work sync.WaitGroup
	if r.cfg.Idle {
		<-ctx.Done()
		return
	}
	work.Go(func() { r.load.Run(ctx) })
	work.Go(func() { r.editor.run(ctx) })
	work.Go(func() { r.reportProgress(ctx) })
	if r.cfg.Faults {
		injector := &faultInjector{
			cluster: r.cluster, submitters: r.load.submitters, timers: r.timers,
			random: rand.New(rand.NewPCG(r.cfg.Seed, 1<<33)),
			report: func(text string) { r.printf("fault: %s", text) },
		}
		work.Go(func() { injector.run(ctx) })
	}
	work.Wait()
}

func (r *run) reportProgress(ctx context.Context) {
	for sleep(ctx, r.timers, progressInterval) {
		f := r.deployment.Audit.Findings()
		r.printf("%4.0f s: requests %d, answered %d, not run %d, unknown %d; packing %.0f%%",
			r.timers.Now().Sub(r.loadStartedAt).Seconds(), f.Accepted, f.Answered, f.NotRun, f.Unknown, f.Packing*100)
	}
}

// finish waits for the edits and the jobs, stops all entry hosts, and returns the
// summary.
func (r *run) finish(ctx context.Context) Summary {
	during := r.deployment.Audit.Findings()
	r.printf("the load has ended; waiting for the jobs in progress")
	if err := r.cluster.RestartStopped(); err != nil {
		r.printf("%v", err)
	}
	notInForce := r.waitInForce(ctx)
	unfinished := r.drain(ctx)
	for _, id := range unfinished {
		r.printf("unfinished: %s", id)
	}
	for _, h := range r.deployment.EntryHosts {
		if err := r.cluster.Stop(ctx, h.Name); err != nil {
			r.printf("stop of %s: %v", h.Name, err)
		}
	}
	r.cluster.Close()
	traffic, seconds := r.cluster.Network.Traffic, r.timers.Now().Sub(r.hostsStartedAt).Seconds()
	f := r.deployment.Audit.Findings()
	nodes := float64(len(r.deployment.EntryHosts))
	return Summary{
		Deployment: r.cfg.Deployment, Seed: r.cfg.Seed, Faults: r.cfg.Faults,
		Accepted: f.Accepted, Answered: f.Answered, NotRun: f.NotRun, Unknown: f.Unknown, Lost: f.Lost,
		Doubled: f.Doubled, RefusedButRan: f.RefusedButRan, OverfullHosts: f.OverfullHosts,
		OverfullUpstreams: f.OverfullUpstreams, TasksInTwoPlaces: f.TasksInTwoPlaces, SplitGangs: f.SplitGangs,
		RevertedSections: f.RevertedSections, JobsAccepted: r.load.JobsAccepted(), JobsUnfinished: len(unfinished),
		EditsAccepted: r.editor.accepted, EditsNotInForce: notInForce,
		StartWaitP50: f.StartWaitP50, StartWaitP99: f.StartWaitP99, UrgentStartWait: f.UrgentStartWaitP99,
		Packing: during.Packing, StoreWrites: during.StoreWritesPerSecond,
		ControlBytes:     float64(traffic.Control()) / nodes / seconds,
		CrossRegionBytes: traffic.CrossRegion(),
		Traffic:          perNode(traffic, nodes*seconds),
	}
}

// waitInForce waits until every host has the newest sections in force. It returns
// how many are missing after inForceTimeout.
func (r *run) waitInForce(ctx context.Context) int {
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	for {
		missing := r.editor.notInForce()
		if len(missing) == 0 || !sleep(ctx, r.timers, pollInterval) {
			for _, m := range missing {
				r.printf("not in force: %s", m)
			}
			return len(missing)
		}
	}
}

// perNode returns the bytes of each purpose per node and second.
func perNode(t *Traffic, nodeSeconds float64) []PurposeRate {
	var out []PurposeRate
	for _, p := range t.Purposes() {
		out = append(out, PurposeRate{Purpose: p.Purpose, BytesPerNodePerSecond: float64(p.Bytes) / nodeSeconds})
	}
	return out
}

// drain waits for the jobs in progress and returns those that have not ended.
func (r *run) drain(ctx context.Context) []string {
	return r.load.Drain(ctx, func() {
		if !r.cfg.Faults {
			return
		}
		if err := r.cluster.RestartStopped(); err != nil {
			r.printf("%v", err)
		}
	})
}
