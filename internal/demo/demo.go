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

// Config says what to run.
type Config struct {
	// Deployment is "tsukushi" or "tiras".
	Deployment string
	Seed       uint64
	// Duration is how long the load lasts.
	Duration time.Duration
	// Faults brings about faults from the seed.
	Faults bool
	// Idle leaves out the callers, the jobs and the edits.
	Idle bool
	// Workers, Upstreams, EntryHosts and DataCentres are counts; 0 stands for
	// today's sizes.
	Workers, Upstreams, EntryHosts, DataCentres int
	// Progress receives a line a second; it may be io.Discard.
	Progress io.Writer
	Log      *zap.Logger
}

const (
	hostLag = 500 * time.Millisecond
	// readyTimeout bounds the start of the entry hosts.
	readyTimeout = 15 * time.Second
	pollEvery    = 100 * time.Millisecond
	progressTick = time.Second
	// inForceWithin is the bound on an accepted edit coming into force.
	inForceWithin = 12 * time.Second
)

// run is one run of a deployment.
type run struct {
	cfg        Config
	timers     timer.Service
	deployment *standin.Deployment
	cluster    *Cluster
	work       *Load
	editor     *editor
	// begun is when the entry hosts began, started when the load did.
	begun, started time.Time
}

// Run runs a deployment under load and returns what it found.
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
	r := &run{cfg: cfg, timers: timers, deployment: d, cluster: cluster, begun: begun}
	r.build()
	if err := r.ready(ctx); err != nil {
		cluster.Close()
		return Summary{}, err
	}
	r.started = timers.Now()
	r.load(ctx)
	summary := r.finish(ctx)
	return summary, nil
}

func (r *run) say(format string, args ...any) {
	_, _ = fmt.Fprintf(r.cfg.Progress, format+"\n", args...)
}

// build prepares the callers, the submitters and the editor.
func (r *run) build() {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConns}}
	r.work = NewLoad(r.deployment, r.cluster, r.timers, r.cfg.Seed, "")
	r.editor = &editor{
		cluster: r.cluster, client: client, timers: r.timers, newest: make(map[string]uint64),
		random: rand.New(rand.NewPCG(r.cfg.Seed, 1<<32)),
	}
}

// ready waits until every unit has an owner.
func (r *run) ready(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for pause(ctx, r.timers, pollEvery) {
		owned := 0
		for _, m := range r.cluster.Up("") {
			owned += len(m.entry.Status().Units)
		}
		if owned >= r.units() {
			r.say("%d entry hosts own %d units", len(r.cluster.Up("")), owned)
			return nil
		}
	}
	return fmt.Errorf("the entry hosts own not all units after %v", readyTimeout)
}

// units returns the number of units of all data centres.
func (r *run) units() int {
	n := 0
	for _, dc := range r.deployment.DataCentres {
		if up := r.cluster.Up(dc.Name); len(up) > 0 {
			n += up[0].entry.UnitCount()
		}
	}
	return n
}

// load runs callers, submitters, the editor and the faults for the duration.
func (r *run) load(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.Duration)
	defer cancel()
	var work sync.WaitGroup
	if r.cfg.Idle {
		<-ctx.Done()
		return
	}
	work.Go(func() { r.work.Run(ctx) })
	work.Go(func() { r.editor.run(ctx) })
	work.Go(func() { r.progress(ctx) })
	if r.cfg.Faults {
		b := &breaker{
			cluster: r.cluster, submitters: r.work.submitters, timers: r.timers,
			random: rand.New(rand.NewPCG(r.cfg.Seed, 1<<33)),
			tell:   func(text string) { r.say("fault: %s", text) },
		}
		work.Go(func() { b.run(ctx) })
	}
	work.Wait()
}

func (r *run) progress(ctx context.Context) {
	for pause(ctx, r.timers, progressTick) {
		f := r.deployment.Audit.Findings()
		r.say("%4.0f s: requests %d, answered %d, not run %d, unknown %d; packing %.0f%%",
			r.timers.Now().Sub(r.started).Seconds(), f.Accepted, f.Answered, f.NotRun, f.Unknown, f.Packing*100)
	}
}

// finish ends the services, waits for the jobs, and counts.
func (r *run) finish(ctx context.Context) Summary {
	during := r.deployment.Audit.Findings()
	r.say("the load has ended; waiting for the jobs in progress")
	if err := r.cluster.RestartFailed(); err != nil {
		r.say("%v", err)
	}
	notInForce := r.waitInForce(ctx)
	unfinished := r.drain(ctx)
	for _, id := range unfinished {
		r.say("unfinished: %s", id)
	}
	for _, h := range r.deployment.EntryHosts {
		if err := r.cluster.Stop(ctx, h.Name); err != nil {
			r.say("stop of %s: %v", h.Name, err)
		}
	}
	r.cluster.Close()
	traffic, whole := r.cluster.Network.Traffic, r.timers.Now().Sub(r.begun).Seconds()
	f := r.deployment.Audit.Findings()
	nodes := float64(len(r.deployment.EntryHosts))
	return Summary{
		Deployment: r.cfg.Deployment, Seed: r.cfg.Seed, Faults: r.cfg.Faults,
		Accepted: f.Accepted, Answered: f.Answered, NotRun: f.NotRun, Unknown: f.Unknown, Lost: f.Lost,
		Doubled: f.Doubled, RefusedButRan: f.RefusedButRan, OverfullHosts: f.OverfullHosts,
		OverfullUpstreams: f.OverfullUpstreams, TasksInTwoPlaces: f.TasksInTwoPlaces, SplitGangs: f.SplitGangs,
		RevertedSections: f.RevertedSections, JobsAccepted: r.work.JobsAccepted(), JobsUnfinished: len(unfinished),
		EditsAccepted: r.editor.accepted, EditsNotInForce: notInForce,
		StartWaitP50: f.StartWaitP50, StartWaitP99: f.StartWaitP99, UrgentStartWait: f.UrgentStartWaitP99,
		Packing: during.Packing, StoreWrites: during.StoreWritesPerSecond,
		ControlBytes:     float64(traffic.Control()) / nodes / whole,
		CrossRegionBytes: traffic.CrossRegion(),
		Traffic:          perNode(traffic, nodes*whole),
	}
}

// waitInForce waits until every host has the newest sections in force, and
// returns how many are missing at the end of the bound.
func (r *run) waitInForce(ctx context.Context) int {
	ctx, cancel := context.WithTimeout(ctx, inForceWithin)
	defer cancel()
	for {
		missing := r.editor.notInForce()
		if len(missing) == 0 || !pause(ctx, r.timers, pollEvery) {
			for _, m := range missing {
				r.say("not in force: %s", m)
			}
			return len(missing)
		}
	}
}

// perNode returns the bytes of each purpose by node and second.
func perNode(t *Traffic, nodeSeconds float64) []PurposeRate {
	var out []PurposeRate
	for _, p := range t.Purposes() {
		out = append(out, PurposeRate{Purpose: p.Purpose, BytesPerNodePerSecond: float64(p.Bytes) / nodeSeconds})
	}
	return out
}

// drain waits for the jobs in progress.
func (r *run) drain(ctx context.Context) []string {
	return r.work.Drain(ctx, func() {
		if !r.cfg.Faults {
			return
		}
		if err := r.cluster.RestartFailed(); err != nil {
			r.say("%v", err)
		}
	})
}
