package demo

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/entry"
	"cicadabarrow.example/cicadabarrow/internal/gateway"
	"cicadabarrow.example/cicadabarrow/internal/lease"
	"cicadabarrow.example/cicadabarrow/internal/plan"
	"cicadabarrow.example/cicadabarrow/internal/platform"
	"cicadabarrow.example/cicadabarrow/internal/platform/hostlist"
	"cicadabarrow.example/cicadabarrow/internal/platform/object"
	"cicadabarrow.example/cicadabarrow/internal/platform/table"
	"cicadabarrow.example/cicadabarrow/internal/platform/upstream"
	"cicadabarrow.example/cicadabarrow/internal/platform/worker"
	"cicadabarrow.example/cicadabarrow/internal/pool"
	"cicadabarrow.example/cicadabarrow/internal/standin"
	"cicadabarrow.example/cicadabarrow/internal/timer"
	groups "cicadabarrow.example/cicadabarrow/internal/upstream"
)

const (
	maxBody         = 1 << 20
	maxDeadline     = 10 * time.Second
	defaultDeadline = 2 * time.Second
	// idleConns limits the idle connections of one client to one server.
	idleConns = 64
)

// isStoreOrHostList reports whether a path belongs to the platform's store, which
// is the table service and the object store, or to its host list.
func isStoreOrHostList(path string) bool {
	return strings.HasPrefix(path, "/table") || strings.HasPrefix(path, "/objects") || strings.HasPrefix(path, "/hosts")
}

// Cluster runs the entry hosts of a deployment in this process.
type Cluster struct {
	Deployment *standin.Deployment
	Network    *Network

	timers timer.Service
	log    *zap.Logger
	server *standin.Server
	base   *url.URL

	mu      sync.Mutex
	members map[string]*Member
}

// Member is one entry host of the cluster with its HTTP gateway. peer and http are
// the addresses of the two.
type Member struct {
	Host    platform.Host
	URL     string
	entry   *entry.Host
	gateway *gateway.Gateway
	peer    netip.AddrPort
	http    netip.AddrPort
	up      bool
}

// NewCluster serves a deployment on loopback and starts all its entry hosts.
func NewCluster(d *standin.Deployment, timers timer.Service, log *zap.Logger) (*Cluster, error) {
	listen, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for the stand-ins: %w", err)
	}
	c := &Cluster{
		Deployment: d, Network: NewNetwork(), timers: timers, log: log, members: make(map[string]*Member),
		base: &url.URL{Scheme: "http", Host: listen.Addr().String()},
	}
	d.SetServerAddr(netip.MustParseAddrPort(listen.Addr().String()))
	c.server = standin.NewServer(d, listen, zap.NewNop())
	for _, h := range d.EntryHosts {
		c.members[h.Name] = &Member{Host: h}
	}
	for _, h := range d.EntryHosts {
		if err := c.Start(h.Name); err != nil {
			c.Close()
			return nil, err
		}
	}
	return c, nil
}

// Start starts an entry host unless it is up. A restarted entry host listens at
// its former addresses.
func (c *Cluster) Start(name string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.members[name]
	if m.up {
		return nil
	}
	peerListen, err := listenAt(m.peer)
	if err != nil {
		return err
	}
	httpListen, err := listenAt(m.http)
	if err != nil {
		_ = peerListen.Close()
		return err
	}
	m.peer = netip.MustParseAddrPort(peerListen.Addr().String())
	m.http = netip.MustParseAddrPort(httpListen.Addr().String())
	m.URL = "http://" + m.http.String()
	c.Network.SetKilled(name, false)
	c.Network.SetDataCentre(m.peer.String(), m.Host.DataCentre)
	if err := c.Deployment.SetEntryAddr(name, m.peer); err != nil {
		return err
	}
	client := &http.Client{Transport: &transport{
		net: c.Network, host: name, dataCentre: m.Host.DataCentre,
		remoteStore: m.Host.Region != c.Deployment.StoreRegion,
		next:        &http.Transport{MaxIdleConnsPerHost: idleConns},
	}}
	plat := entry.Platform{
		Table:     table.New(c.base, client, name),
		Objects:   object.New(c.base, client, name),
		Hosts:     hostlist.New(c.base, client, name),
		Workers:   worker.New(c.base, client, name),
		Upstreams: upstream.New(c.base, client, name),
	}
	cfg := entry.Config{
		Name: name, Region: m.Host.Region, DataCentre: m.Host.DataCentre, Advertise: m.peer,
		Lease: lease.DefaultConfig(), Groups: groups.DefaultConfig(), Pool: pool.DefaultConfig(),
		OnSectionAdopted: func(s plan.Section) { c.Deployment.Audit.SectionAdopted(name, s.Team, s.Revision) },
	}
	cfg.Groups.MaxRun = maxDeadline
	peerDialer := &dialer{net: c.Network, host: name, dataCentre: m.Host.DataCentre}
	m.entry = entry.New(cfg, plat, peerListen, peerDialer, c.timers, tally.NoopScope, c.log)
	m.gateway = gateway.New(gateway.Services{
		Requests: m.entry.Requests(), Jobs: m.entry.Jobs(), Plans: m.entry.Plans(), Statuses: m.entry, BurnReporter: m.entry, Hosts: m.entry.Hosts(),
	}, nil, gateway.Limits{
		MaxBody: maxBody, MaxDeadline: maxDeadline, DefaultDeadline: defaultDeadline,
	}, httpListen, nil, c.log)
	m.up = true
	return nil
}

// listenAt listens at an address, or at any loopback port if the address is not
// valid, as at the first start of an entry host.
func listenAt(at netip.AddrPort) (net.Listener, error) {
	if !at.IsValid() {
		at = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)
	}
	l, err := net.Listen("tcp", at.String())
	if err != nil {
		return nil, fmt.Errorf("listen for an entry host: %w", err)
	}
	return l, nil
}

// Kill stops an entry host abruptly. Its next start is a new incarnation.
func (c *Cluster) Kill(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.members[name]
	if !m.up {
		return
	}
	m.up = false
	c.Network.SetKilled(name, true)
	m.gateway.Close()
	m.entry.Close()
	c.addTraffic(m)
}

// Stop shuts an entry host down gracefully.
func (c *Cluster) Stop(ctx context.Context, name string) error {
	c.mu.Lock()
	m := c.members[name]
	up := m.up
	m.up = false
	c.mu.Unlock()
	if !up {
		return nil
	}
	err := m.gateway.Shutdown(ctx)
	if stopErr := m.entry.Stop(ctx); err == nil {
		err = stopErr
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addTraffic(m)
	return err
}

// addTraffic adds the bytes that a stopped entry host sent and received to the
// traffic of the network. Only the bytes sent count as cross-region traffic.
func (c *Cluster) addTraffic(m *Member) {
	own := c.regionOf(m.Host.DataCentre)
	for flow, n := range m.entry.Bytes() {
		crossed := uint64(0)
		if flow.Out && c.regionOf(flow.DataCentre) != own {
			crossed = n
		}
		c.Network.Traffic.Add(peerPurpose(flow.Kind), n, crossed)
	}
}

func (c *Cluster) regionOf(dataCentre string) string {
	for _, d := range c.Deployment.DataCentres {
		if d.Name == dataCentre {
			return d.Region
		}
	}
	return ""
}

// Up returns the entry hosts that are up in one data centre, or in all data
// centres if the name is empty.
func (c *Cluster) Up(dataCentre string) []Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []Member
	for _, h := range c.Deployment.EntryHosts {
		m := c.members[h.Name]
		if m.up && (dataCentre == "" || h.DataCentre == dataCentre) {
			out = append(out, *m)
		}
	}
	return out
}

// RestartStopped starts every entry host that is not up, and restarts every
// one that has ended by itself, for instance because a peer has fenced it, as a
// supervisor would.
func (c *Cluster) RestartStopped() error {
	for _, h := range c.Deployment.EntryHosts {
		c.mu.Lock()
		m := c.members[h.Name]
		ended := false
		if m.up {
			select {
			case <-m.entry.Done():
				ended = true
			default:
			}
		}
		c.mu.Unlock()
		if ended {
			c.Kill(h.Name)
		}
		if err := c.Start(h.Name); err != nil {
			return err
		}
	}
	return nil
}

// Close kills all entry hosts and closes the server of the stand-ins.
func (c *Cluster) Close() {
	for _, h := range c.Deployment.EntryHosts {
		c.Kill(h.Name)
	}
	c.server.Close()
}
