package command

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/google/uuid"
	"github.com/oklog/run"
	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/election"
	"cicadabarrow.example/cicadabarrow/internal/host"
	"cicadabarrow.example/cicadabarrow/internal/httplimit"
	"cicadabarrow.example/cicadabarrow/internal/logging"
	"cicadabarrow.example/cicadabarrow/internal/message"
	"cicadabarrow.example/cicadabarrow/internal/metrics"
	"cicadabarrow.example/cicadabarrow/internal/owner"
	"cicadabarrow.example/cicadabarrow/internal/peer"
	"cicadabarrow.example/cicadabarrow/internal/settings"
	"cicadabarrow.example/cicadabarrow/internal/timer"
	"cicadabarrow.example/cicadabarrow/platform"
)

// settingsVariable is the environment variable with the path of the settings
// file.
const settingsVariable = "CICADABARROW_NODE_FILE"

func hostCommand(signals *Signals) *cli.Command {
	return &cli.Command{
		Name:        "host",
		Usage:       "runs an entry host on the users' platform until SIGTERM",
		Description: example("cicadabarrow host --settings host.json") + "\nThe log goes to standard output, one JSON object a line.",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name: flagSettings, Usage: "settings `FILE` in JSON", Required: true,
				Sources: cli.EnvVars(settingsVariable),
			},
			formatFlag(),
		},
		Action: serveAction(signals, func(ctx context.Context, file string) error {
			return runHost(ctx, signals.hangups, file)
		}),
	}
}

const (
	// memoryLimitShare is the share of the host's memory that is set as the soft
	// memory limit, near which the garbage collector runs more often.
	memoryLimitShare = 0.7
	megabyte         = 1 << 20
	// jobShare is the share of the host's memory for the jobs that it keeps while it owns
	// the cell. The deployments submit about 30 jobs of 16 tasks, 5 of 34 and 0.3 of 20 a
	// second and keep them for 2 minutes: 37 MB, which is a fifth of 184 MB.
	jobShare = 0.35
	// heapGrowth is by how many percent the heap may grow between two garbage
	// collections, and ownerHeapGrowth the same while the host owns the cell: the heap
	// of the owner is larger and gets garbage with each call, and its processor limits
	// the cell. Other hosts save memory. The memory limit holds in both cases.
	heapGrowth      = 100
	ownerHeapGrowth = 200

	// workerLease is the duration of the lease that each call grants a worker.
	workerLease       = 3200 * time.Millisecond
	contactTimeout    = 1500 * time.Millisecond
	stopRetryInterval = 800 * time.Millisecond
	renewInterval     = 400 * time.Millisecond
	ownerTimeout      = 600 * time.Millisecond

	// balancerDelay is the time for which the balancer may still send connections
	// after the host has reported that it is not ready.
	balancerDelay = 2500 * time.Millisecond
	// shutdownTimeout is the timeout of requests in progress after balancerDelay.
	shutdownTimeout = 2 * time.Second
)

// setHeapGrowth sets how often the garbage collector runs.
func setHeapGrowth(owning bool) {
	percent := heapGrowth
	if owning {
		percent = ownerHeapGrowth
	}
	debug.SetGCPercent(percent)
}

func runHost(ctx context.Context, hangups <-chan os.Signal, file string) error {
	// A SIGHUP that arrived before the settings are read needs no second read.
	select {
	case <-hangups:
	default:
	}
	s, err := settings.LoadHost(file)
	if err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(float64(s.MemoryMB) * megabyte * memoryLimitShare))
	log, endLog := logging.New(s.LogLevel, os.Stdout)
	defer endLog()
	page := metrics.New()
	defer page.Close()
	p, err := newHostProcess(s, page, log)
	if err != nil {
		return err
	}
	return p.run(ctx, hangups)
}

// hostProcess is an entry host with its transport and its HTTP servers.
type hostProcess struct {
	settings settings.Host
	log      *zap.Logger
	timers   timer.Service
	peers    *peer.Transport
	host     *host.Host
	clients  guardedServer
	health   guardedServer
	metrics  guardedServer
}

// deferredHandler passes the calls that a transport receives to a host that is
// created after the transport. Calls wait until the host is set.
type deferredHandler struct {
	ready chan struct{}
	host  *host.Host
}

func (d *deferredHandler) Handle(ctx context.Context, from peer.Host, m peer.Message) (peer.Message, error) {
	select {
	case <-d.ready:
		return d.host.Handle(ctx, from, m)
	case <-ctx.Done():
		return peer.Message{}, ctx.Err()
	}
}

func newHostProcess(s settings.Host, page metrics.Exporter, log *zap.Logger) (*hostProcess, error) {
	listen, err := net.Listen("tcp", s.PeerAddr.String())
	if err != nil {
		return nil, fmt.Errorf("PeerAddr: %w", err)
	}
	timers := timer.NewSystem()
	self := peer.Host{Name: s.Name, DataCentre: s.DataCentre, Incarnation: s.Name + "/" + uuid.NewString()}
	handler := &deferredHandler{ready: make(chan struct{})}
	scope := page.Scope
	peers := peer.New(self, listen, &net.Dialer{}, handler, scope, log, peer.Immediate(message.KindHostPing, message.KindManifestRequest), peer.WithLimits(peerLimits(s)))
	client := platform.NewClient(scope)
	h := host.New(hostConfig(s, self), host.Platform{
		Ports: owner.Ports{
			Store: platform.NewStore(client, s.StoreAddr), Workers: platform.NewWorkers(platform.NewWorkerClient(scope)),
			Registrations: platform.Registrations{}, Advisor: platform.NewAdvisor(client, s.AdviceAddr),
			Machines: platform.NewMachines(client, s.MachinesAddr, s.Name), WaveRows: platform.Manifests{},
		},
		Manifests: platform.Manifests{},
	}, peers, timers, scope, log)
	handler.host = h
	close(handler.ready)
	return &hostProcess{
		settings: s, log: log.Named("process"), timers: timers, peers: peers, host: h,
		clients: newClientServer(s, h, timers, scope, log),
		health:  newPageServer("health", platform.NewReadiness(h.Ready), timers, scope, log),
		metrics: newPageServer("operators", httplimit.AtOnce(pagesAtOnce, newOperatorHandler(page.Handler, h)), timers, scope, log),
	}, nil
}

func hostConfig(s settings.Host, self peer.Host) host.Config {
	capacity := election.Capacity{Cores: s.Cores, LinkMbps: s.LinkMbps}
	var revokeWithin time.Duration
	if s.Bounds.StrictRevocation {
		revokeWithin = s.Bounds.RevokeWithin
	}
	return host.Config{
		Self: self, Addr: s.PeerAddr, Seeds: s.Seeds, OwnerTimeout: ownerTimeout, Capacity: capacity, OnTenure: setHeapGrowth,
		RevokeWithin: revokeWithin, StoreWrites: s.StoreWrites,
		Owner: owner.Config{
			RenewEvery: renewInterval, MaxReads: capacity.MaxReads(), Cores: s.Cores, JobBytes: int64(jobShare * float64(s.MemoryMB) * megabyte),
			Cell: cell.Config{
				Lease: min(workerLease, s.Bounds.MaxLease), MaxLease: s.Bounds.MaxLease, ContactTimeout: contactTimeout,
				StopRetryInterval: stopRetryInterval, KeepEnded: s.Bounds.KeepEnded, Unfenced: !s.Fenced, Interference: s.Interference,
			},
		},
	}
}

// run serves until the context ends, and then stops gracefully.
func (p *hostProcess) run(ctx context.Context, hangups <-chan os.Signal) error {
	p.log.Info("started", zap.String("Host", p.settings.Name), zap.String("DataCentre", p.settings.DataCentre),
		zap.Stringer("PeerAddr", p.settings.PeerAddr), zap.Stringer("ClientAddr", p.settings.ClientAddr))
	if !p.settings.Fenced {
		p.log.Info("workers do not check fencing tokens, so this host relies on stops and on time limits")
	}
	var group run.Group
	ctx, cancel := context.WithCancel(ctx)
	group.Add(func() error { return p.stopWhenDone(ctx) }, func(error) { cancel() })
	group.Add(p.health.actor(p.settings.HealthAddr))
	group.Add(p.clients.actor(p.settings.ClientAddr))
	if p.settings.MetricsAddr.IsValid() {
		group.Add(p.metrics.actor(p.settings.MetricsAddr))
	}
	// An actor that returns ends the whole group, so this one returns only when
	// it is interrupted and does not end the graceful stop early.
	ended := make(chan struct{})
	group.Add(func() error { return p.watchHangups(ended, hangups) }, func(error) { close(ended) })
	err := group.Run()
	p.host.Close()
	p.peers.Close()
	p.log.Info("stopped", zap.Error(err))
	return err
}

// stopWhenDone waits for the context to end and then stops the host gracefully:
// the host reports that it is not ready and releases the cell to another host.
// Once the balancer sends no more connections, stopWhenDone shuts down the server
// of the clients, which finishes the requests in progress.
func (p *hostProcess) stopWhenDone(ctx context.Context) error {
	<-ctx.Done()
	p.log.Info("stopping")
	stop, cancel := context.WithTimeout(context.Background(), p.settings.Bounds.StopGrace)
	defer cancel()
	p.host.Leave(stop)
	<-p.timers.After(balancerDelay).C
	finish, cancel := context.WithTimeout(stop, shutdownTimeout)
	defer cancel()
	if err := p.clients.shutDown(finish); err != nil {
		return fmt.Errorf("requests in progress were interrupted: %w", err)
	}
	return nil
}

// watchHangups logs each SIGHUP, which tells that the settings file has changed.
// The settings are read at the start only.
func (p *hostProcess) watchHangups(ended <-chan struct{}, hangups <-chan os.Signal) error {
	for {
		select {
		case <-hangups:
			p.log.Info("the settings file has changed; it is read at the next start")
		case <-ended:
			return nil
		}
	}
}

// httpActor returns an actor that runs a server. A server that shuts down accepts no more
// connections but still finishes its requests, so the actor goes on until it is
// interrupted: an actor that returns would have the whole group interrupted at once.
func httpActor(server *http.Server, open func() (net.Listener, error)) (execute func() error, interrupt func(error)) {
	interrupted := make(chan struct{})
	execute = func() error {
		listen, err := open()
		if err != nil {
			return err
		}
		if err := server.Serve(listen); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		<-interrupted
		return nil
	}
	return execute, func(error) {
		close(interrupted)
		_ = server.Close()
	}
}
