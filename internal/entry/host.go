package entry

import (
	"context"
	"maps"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/burn"
	"cicadabarrow.example/cicadabarrow/internal/lease"
	"cicadabarrow.example/cicadabarrow/internal/message"
	"cicadabarrow.example/cicadabarrow/internal/peer"
	"cicadabarrow.example/cicadabarrow/internal/plan"
	"cicadabarrow.example/cicadabarrow/internal/platform"
	"cicadabarrow.example/cicadabarrow/internal/pool"
	"cicadabarrow.example/cicadabarrow/internal/timer"
	"cicadabarrow.example/cicadabarrow/internal/upstream"
)

// Config configures an entry host.
type Config struct {
	Name       string
	Region     string
	DataCentre string
	// Advertise is the address at which peers reach this host.
	Advertise netip.AddrPort
	Lease     lease.Config
	Groups    upstream.Config
	Pool      pool.Config
	// SeedAddrs are the addresses of entry hosts to get the plan from while the
	// table service and the host list cannot be reached.
	SeedAddrs []netip.AddrPort
	// OnSectionAdopted is called with each section that comes into force; it may
	// be nil.
	OnSectionAdopted func(plan.Section)
}

// Host is an entry host with all its components.
type Host struct {
	cfg      Config
	location Location
	id       lease.Incarnation
	log      *zap.Logger
	timers   timer.Service
	plat     Platform

	built       chan struct{}
	net         *peer.Transport
	hosts       *HostView
	owned       *OwnedUnits
	leases      *Leases
	requests    *Requests
	jobs        *Jobs
	plans       *Plans
	recorder    *burn.Recorder
	keyHandoffs *KeyHandoffs
}

// New returns a running entry host. It takes ownership of the listener, on which
// it serves its peers.
func New(
	cfg Config, plat Platform, listen net.Listener, dialer peer.Dialer, timers timer.Service,
	scope tally.Scope, log *zap.Logger,
) *Host {
	id := lease.Incarnation(uuid.Must(uuid.NewV7()).String())
	log = log.With(zap.String("Host", cfg.Name))
	h := &Host{
		cfg: cfg, location: Location{Region: cfg.Region, DataCentre: cfg.DataCentre}, id: id, log: log, timers: timers,
		plat: plat, built: make(chan struct{}),
	}
	self := peer.Host{Name: cfg.Name, DataCentre: cfg.DataCentre, Incarnation: string(id)}
	h.net = peer.New(self, listen, dialer, h, scope, log)
	h.hosts = NewHostView(plat.Hosts, timers, log)
	h.owned = NewOwnedUnits(cfg.DataCentre, string(id), plat, h.hosts, cfg.Pool, cfg.Groups, timers, log)
	keeper := lease.New(cfg.Lease, cfg.DataCentre, lease.Peer{
		Incarnation: id, Name: cfg.Name, Addr: cfg.Advertise,
	}, nil)
	h.leases = NewLeases(keeper, plat.Table, h.net, h.owned, h.built, timers, log)
	h.keyHandoffs = NewKeyHandoffs(h.leases, h.net)
	h.owned.SetKeyHandoffs(h.keyHandoffs)
	h.owned.SetGuard(h.leases)
	h.hosts.Watch(func(hosts []platform.Host) {
		h.leases.SetUnits(unitsOf(cfg.DataCentre, hosts))
	})
	h.requests = NewRequests(h.location, h.leases, h.owned, h.hosts, h.net, timers)
	h.jobs = NewJobs(h.location, h.leases, h.owned, h.hosts, h.net, plat.Table)
	onAdopted := cfg.OnSectionAdopted
	if onAdopted == nil {
		onAdopted = func(plan.Section) {}
	}
	h.plans = NewPlans(
		plan.NewStore(plat.Table, timers), h.leases, h.owned, h.hosts, h.location, h.net, cfg.Advertise, cfg.SeedAddrs, onAdopted, timers, log,
	)
	h.owned.SetPolicies(h.plans.Book())
	h.recorder = burn.New(h.plans.Book(), timers, scope)
	h.owned.SetStartObserver(h.recorder)
	h.requests.SetObserver(h.recorder)
	close(h.built)
	return h
}

// Incarnation returns the incarnation of the host. Each call of New creates a new
// one.
func (h *Host) Incarnation() lease.Incarnation { return h.id }

// Requests returns the router of callers' requests.
func (h *Host) Requests() *Requests { return h.requests }

// Jobs returns the router of jobs.
func (h *Host) Jobs() *Jobs { return h.jobs }

// Plans returns the component that keeps the plan in force up to date.
func (h *Host) Plans() *Plans { return h.plans }

// Bytes returns the numbers of bytes sent and received between this host and its
// peers.
func (h *Host) Bytes() map[peer.Flow]uint64 { return h.net.Bytes() }

// Status returns the plan revisions in force on this host and the units that it
// owns.
func (h *Host) Status() message.StatusAnswer {
	out := message.StatusAnswer{Name: h.cfg.Name, DataCentre: h.cfg.DataCentre, Units: h.leases.Units()}
	revisions := h.plans.Book().Revisions()
	for _, team := range slices.Sorted(maps.Keys(revisions)) {
		out.Revisions = append(out.Revisions, message.TeamRevision{Team: team, Revision: revisions[team]})
	}
	return out
}

// Statuses asks every entry host of the host list for its status. Unreached
// names those that did not respond.
func (h *Host) Statuses(ctx context.Context) (reached []message.StatusAnswer, unreached []string) {
	const statusTimeout = time.Second
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	reached = append(reached, h.Status())
	for _, e := range h.hosts.All() {
		if e.Role != platform.RoleEntry || e.Name == h.cfg.Name {
			continue
		}
		reply, err := h.net.Call(ctx, e.Addr, message.EncodeStatusQuery(message.StatusQuery{}))
		if err != nil {
			unreached = append(unreached, e.Name)
			continue
		}
		s, err := message.DecodeStatusAnswer(reply)
		if err != nil {
			unreached = append(unreached, e.Name)
			continue
		}
		reached = append(reached, s)
	}
	return reached, unreached
}

// Stop releases all units gracefully and closes the host. Requests that are in
// progress on this host have to finish before it is called.
func (h *Host) Stop(ctx context.Context) error {
	err := h.leases.ReleaseAll(ctx)
	h.Close()
	return err
}

// Done is closed when the host can no longer act: a peer has fenced it, or it was
// closed.
func (h *Host) Done() <-chan struct{} { return h.leases.Done() }

// Err returns why the host can no longer act.
func (h *Host) Err() error { return h.leases.Err() }

// Close stops the host at once, as if its process were killed.
func (h *Host) Close() {
	h.net.Close()
	h.requests.Close()
	h.plans.Close()
	h.leases.Close()
	h.owned.Close()
	h.hosts.Close()
}

// dataCentres returns the data centres of a host list, sorted by name.
func dataCentres(hosts []platform.Host) []string {
	names := make(map[string]bool)
	for _, host := range hosts {
		names[host.DataCentre] = true
	}
	return slices.Sorted(maps.Keys(names))
}

// Hosts returns the view of the platform's host list.
func (h *Host) Hosts() *HostView { return h.hosts }

// UnitCount returns the number of units that are divided among the entry hosts of
// this data centre, according to the last host list.
func (h *Host) UnitCount() int { return len(unitsOf(h.cfg.DataCentre, h.hosts.All())) }
