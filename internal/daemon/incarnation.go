package daemon

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"net/url"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/entry"
	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/gateway"
	"cicadabarrow.example/cicadabarrow/internal/kernel"
	"cicadabarrow.example/cicadabarrow/internal/lease"
	"cicadabarrow.example/cicadabarrow/internal/platform/hostlist"
	"cicadabarrow.example/cicadabarrow/internal/platform/object"
	"cicadabarrow.example/cicadabarrow/internal/platform/table"
	"cicadabarrow.example/cicadabarrow/internal/platform/upstream"
	"cicadabarrow.example/cicadabarrow/internal/platform/worker"
	"cicadabarrow.example/cicadabarrow/internal/pool"
	"cicadabarrow.example/cicadabarrow/internal/settings"
	"cicadabarrow.example/cicadabarrow/internal/timer"
	groups "cicadabarrow.example/cicadabarrow/internal/upstream"
)

// Names under which the services of an incarnation are registered.
const (
	nameTimers      = "timers"
	nameMetrics     = "metrics"
	nameMetricsPage = "metrics page"
	nameKeys        = "keys"
	namePlatform    = "platform"
	nameEntry       = "entry"
	nameRequests    = "requests"
	nameJobs        = "jobs"
	namePlans       = "plans"
	nameHosts       = "hosts"
	nameGateway     = "gateway"
	nameStopper     = "stopper"
	nameMeter       = "meter"
)

// maxIdleConns is the maximum number of idle connections to one address of the
// platform.
const maxIdleConns = 64

// incarnation is one run of the entry host, from its start until it stops or a
// peer fences it.
type incarnation struct {
	settings settings.Settings
	log      *zap.Logger
	kernel   *kernel.Kernel
	stopper  *stopper
}

// newIncarnation opens the listeners and starts the services of an incarnation.
func (d *Daemon) newIncarnation(log *zap.Logger) (*incarnation, error) {
	peers, err := listen("PeerAddr", d.settings.PeerAddr)
	if err != nil {
		return nil, err
	}
	callers, err := listen("HTTPAddr", d.settings.HTTPAddr)
	if err != nil {
		_ = peers.Close()
		return nil, err
	}
	inc := &incarnation{settings: d.settings, log: log, kernel: kernel.New(log)}
	given := map[string]any{
		nameTimers: d.timers, nameMetrics: d.scope, nameMetricsPage: d.metrics, nameKeys: d.keys,
	}
	for name, service := range given {
		if err := inc.kernel.Provide(name, service); err != nil {
			return nil, err
		}
	}
	for _, start := range []func() error{
		inc.providePlatform,
		func() error { return inc.startEntry(peers) },
		func() error { return inc.startGateway(d, callers) },
		func() error { return inc.startStopper(d) },
	} {
		if err := start(); err != nil {
			return nil, err
		}
	}
	d.incarnations.Inc(1)
	return inc, nil
}

func listen(field string, at netip.AddrPort) (net.Listener, error) {
	l, err := net.Listen("tcp", at.String())
	if err != nil {
		return nil, fault.New("start", KindSettings, "%s: %w", field, err)
	}
	return l, nil
}

func (inc *incarnation) providePlatform() error {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns}}
	from := inc.settings.Name
	var bases [3]*url.URL
	urls := inc.settings.Platform
	for i, text := range []string{urls.TableURL, urls.ObjectsURL, urls.HostsURL} {
		base, err := url.Parse(text)
		if err != nil {
			return fault.New("start", KindSettings, "Platform: %w", err)
		}
		bases[i] = base
	}
	return inc.kernel.Provide(namePlatform, entry.Platform{
		Table:     table.New(bases[0], client, from),
		Objects:   object.New(bases[1], client, from),
		Hosts:     hostlist.New(bases[2], client, from),
		Workers:   worker.New(bases[2], client, from),
		Upstreams: upstream.New(bases[2], client, from),
	})
}

func (inc *incarnation) startEntry(listener net.Listener) error {
	plat, err := kernel.Find[entry.Platform](inc.kernel, namePlatform)
	if err != nil {
		return err
	}
	timers, err := kernel.Find[timer.Service](inc.kernel, nameTimers)
	if err != nil {
		return err
	}
	scope, err := kernel.Find[tally.Scope](inc.kernel, nameMetrics)
	if err != nil {
		return err
	}
	host := entry.New(inc.entryConfig(), plat, listener, &net.Dialer{}, timers, scope, inc.log)
	inc.log.Named("daemon").Info("entry host started",
		zap.String("Host", inc.settings.Name), zap.String("Incarnation", string(host.Incarnation())),
		zap.Stringer("PeerAddr", inc.settings.PeerAddr), zap.Stringer("HTTPAddr", inc.settings.HTTPAddr))
	inc.kernel.AddRunner(nameEntry, host)
	inc.kernel.AddRunner(nameMeter, newMeter(host, scope, timers))
	for name, service := range map[string]any{
		nameEntry: host, nameRequests: host.Requests(), nameJobs: host.Jobs(), namePlans: host.Plans(),
		nameHosts: host.Hosts(),
	} {
		if err := inc.kernel.Provide(name, service); err != nil {
			return err
		}
	}
	return nil
}

func (inc *incarnation) entryConfig() entry.Config {
	s := inc.settings
	cfg := entry.Config{
		Name: s.Name, Region: s.Region, DataCentre: s.DataCentre, Advertise: s.Advertise, SeedAddrs: s.Peers,
		Lease: lease.DefaultConfig(), Groups: groups.DefaultConfig(), Pool: pool.DefaultConfig(),
	}
	cfg.Lease.HostTTL = s.Lease.HostTTL
	cfg.Lease.RenewEvery = s.Lease.RenewEvery
	cfg.Lease.PromiseFor = s.Lease.PromiseFor
	cfg.Groups.Queue = s.Limits.Queue
	cfg.Groups.CallerQueue = max(s.Limits.Queue/2, 1)
	cfg.Groups.MaxRun = s.Limits.MaxDeadline
	cfg.Pool.TaskLease = s.Lease.TaskLease
	cfg.Pool.ReportEvery = s.Lease.ReportEvery
	return cfg
}

func (inc *incarnation) startGateway(d *Daemon, listener net.Listener) error {
	services, err := inc.findServices()
	if err != nil {
		return err
	}
	keys, err := kernel.Find[gateway.Keys](inc.kernel, nameKeys)
	if err != nil {
		return err
	}
	limits := gateway.Limits{
		MaxBody: inc.settings.Limits.MaxBody, MaxDeadline: inc.settings.Limits.MaxDeadline,
		DefaultDeadline: inc.settings.Limits.DefaultDeadline,
	}
	g := gateway.New(services, keys, limits, listener, d.certificate, inc.log)
	inc.kernel.AddRunner(nameGateway, &gracefulGateway{Gateway: g, ctx: d.endCtx, timeout: inc.settings.Limits.MaxDeadline})
	return inc.kernel.Provide(nameGateway, g)
}

func (inc *incarnation) findServices() (s gateway.Services, err error) {
	if s.Requests, err = kernel.Find[gateway.Requests](inc.kernel, nameRequests); err != nil {
		return s, err
	}
	if s.Jobs, err = kernel.Find[gateway.Jobs](inc.kernel, nameJobs); err != nil {
		return s, err
	}
	if s.Plans, err = kernel.Find[gateway.Plans](inc.kernel, namePlans); err != nil {
		return s, err
	}
	if s.Statuses, err = kernel.Find[gateway.Statuses](inc.kernel, nameEntry); err != nil {
		return s, err
	}
	if s.BurnReporter, err = kernel.Find[gateway.BurnReporter](inc.kernel, nameEntry); err != nil {
		return s, err
	}
	if s.Hosts, err = kernel.Find[gateway.Hosts](inc.kernel, nameHosts); err != nil {
		return s, err
	}
	if s.Scope, err = kernel.Find[tally.Scope](inc.kernel, nameMetrics); err != nil {
		return s, err
	}
	s.Metrics, err = kernel.Find[http.Handler](inc.kernel, nameMetricsPage)
	return s, err
}

func (inc *incarnation) startStopper(d *Daemon) error {
	g, err := kernel.Find[drainable](inc.kernel, nameGateway)
	if err != nil {
		return err
	}
	host, err := kernel.Find[stoppable](inc.kernel, nameEntry)
	if err != nil {
		return err
	}
	inc.stopper = newStopper(d.stopCtx, d.endCtx, g, host, inc.settings, d.timers, inc.log)
	inc.kernel.AddRunner(nameStopper, inc.stopper)
	return nil
}

// wait waits for the end of the incarnation and returns its cause; nil after a
// graceful stop.
func (inc *incarnation) wait() error {
	err := inc.kernel.Wait(context.Background())
	if inc.stopper.waitStarted() {
		return inc.stopper.Err()
	}
	return err
}
