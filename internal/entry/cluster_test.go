package entry_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/entry"
	"cicadabarrow.example/cicadabarrow/internal/lease"
	"cicadabarrow.example/cicadabarrow/internal/message"
	"cicadabarrow.example/cicadabarrow/internal/plan"
	"cicadabarrow.example/cicadabarrow/internal/platform"
	"cicadabarrow.example/cicadabarrow/internal/standin"
	"cicadabarrow.example/cicadabarrow/internal/timer"
	"cicadabarrow.example/cicadabarrow/internal/upstream"
)

var errCut = errors.New("the link is cut")

// network connects the entry hosts of a test in memory.
type network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	cut       map[[2]string]bool
	conns     map[[2]string][]net.Conn
}

// listener accepts connections in memory.
type listener struct {
	dataCentre string
	addr       netip.AddrPort
	conns      chan net.Conn
	once       sync.Once
	done       chan struct{}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.addr) }

// hostDialer is the dialer of the entry hosts of one data centre.
type hostDialer struct {
	network    *network
	dataCentre string
}

func (d hostDialer) DialContext(_ context.Context, _, address string) (net.Conn, error) {
	d.network.mu.Lock()
	l := d.network.listeners[address]
	if l == nil || d.network.cut[[2]string{d.dataCentre, l.dataCentre}] {
		d.network.mu.Unlock()
		return nil, errCut
	}
	here, there := newPipe()
	pair := [2]string{d.dataCentre, l.dataCentre}
	d.network.conns[pair] = append(d.network.conns[pair], here)
	d.network.mu.Unlock()
	select {
	case l.conns <- there:
		return here, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// setCut cuts or restores the connections between two data centres.
func (n *network) setCut(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, pair := range [][2]string{{a, b}, {b, a}} {
		n.cut[pair] = cut
		for _, c := range n.conns[pair] {
			_ = c.Close()
		}
		n.conns[pair] = nil
	}
}

// uncancellableUpstreams continue a request after its caller has given up.
type uncancellableUpstreams struct{ *standin.UpstreamsView }

func (s uncancellableUpstreams) Send(
	ctx context.Context, h platform.Host, r platform.UpstreamRequest,
) (platform.UpstreamResponse, error) {
	type result struct {
		a   platform.UpstreamResponse
		err error
	}
	done := make(chan result, 1)
	go func() {
		a, err := s.UpstreamsView.Send(context.WithoutCancel(ctx), h, r)
		done <- result{a, err}
	}()
	select {
	case got := <-done:
		return got.a, got.err
	case <-ctx.Done():
		return platform.UpstreamResponse{}, &platform.Error{Op: "send", Kind: platform.KindUnknown, Err: ctx.Err()}
	}
}

// cluster is a deployment whose entry hosts run in the process of the test.
type cluster struct {
	t       *testing.T
	d       *standin.Deployment
	network *network
	timers  timer.Service
	random  *rand.Rand
	mu      sync.Mutex
	hosts   map[string]*entry.Host
	callers sync.WaitGroup
	stop    chan struct{}
	// unknown counts the answers with an unknown outcome by reason.
	unknown map[string]int
}

// callEvery is the pause of a caller between two requests.
const callEvery = 40 * time.Millisecond

// settleTime is how long the hosts need to divide the units among themselves.
const settleTime = 15 * time.Second

func newCluster(t *testing.T, cfg standin.DeploymentConfig) *cluster {
	t.Helper()
	timers := timer.NewSystem()
	cfg.Name, cfg.Workers, cfg.HostLag, cfg.Seed = "tsukushi", 2, 500*time.Millisecond, 3
	d, err := standin.NewDeployment(cfg, timers)
	if err != nil {
		t.Fatal(err)
	}
	c := &cluster{
		t: t, d: d, timers: timers, hosts: map[string]*entry.Host{}, unknown: map[string]int{}, stop: make(chan struct{}),
		network: &network{listeners: map[string]*listener{}, cut: map[[2]string]bool{}, conns: map[[2]string][]net.Conn{}},
		random:  rand.New(rand.NewPCG(1, 2)),
	}
	for _, h := range d.EntryHosts {
		c.start(h)
	}
	time.Sleep(settleTime)
	return c
}

func (c *cluster) start(h platform.Host, seedAddrs ...netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(10_000+len(c.network.listeners)))
	l := &listener{dataCentre: h.DataCentre, addr: addr, conns: make(chan net.Conn), done: make(chan struct{})}
	c.network.mu.Lock()
	c.network.listeners[addr.String()] = l
	c.network.mu.Unlock()
	if err := c.d.SetEntryAddr(h.Name, addr); err != nil {
		c.t.Fatal(err)
	}
	view := c.d.View(h.Name)
	cfg := entry.Config{
		Name: h.Name, Region: h.Region, DataCentre: h.DataCentre, Advertise: addr,
		Lease: lease.DefaultConfig(), Groups: upstream.DefaultConfig(), SeedAddrs: seedAddrs,
		OnSectionAdopted: func(s plan.Section) { c.d.Audit.SectionAdopted(h.Name, s.Team, s.Revision) },
	}
	plat := entry.Platform{
		Table: view.Table, Hosts: view.Hosts, Workers: view.Workers, Upstreams: uncancellableUpstreams{view.Upstreams},
	}
	c.hosts[h.Name] = entry.New(cfg, plat, l, hostDialer{c.network, h.DataCentre}, c.timers, tally.NoopScope, zap.NewNop())
}

// kill stops an entry host at once.
func (c *cluster) kill(name string) {
	c.mu.Lock()
	h := c.hosts[name]
	delete(c.hosts, name)
	c.mu.Unlock()
	h.Close()
}

// stopGracefully stops an entry host gracefully, after the load balancer has stopped
// sending to it.
func (c *cluster) stopGracefully(name string) error {
	c.mu.Lock()
	h := c.hosts[name]
	delete(c.hosts, name)
	c.mu.Unlock()
	time.Sleep(2 * time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	return h.Stop(ctx)
}

// pick returns a random entry host, one in the data centre if one is running there.
func (c *cluster) pick(dataCentre string) *entry.Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	var near, all []*entry.Host
	for _, h := range c.d.EntryHosts {
		if up := c.hosts[h.Name]; up != nil {
			all = append(all, up)
			if h.DataCentre == dataCentre {
				near = append(near, up)
			}
		}
	}
	if len(near) == 0 {
		near = all
	}
	return near[c.random.IntN(len(near))]
}

// load sends requests from a number of callers in each data centre until the load
// is stopped.
func (c *cluster) load(callers int) {
	for _, dc := range c.d.DataCentres {
		for n := range callers {
			c.callers.Go(func() {
				for i := 0; ; i++ {
					select {
					case <-c.stop:
						return
					case <-time.After(callEvery):
					}
					c.request(dc.Name, (n+i)%2 == 0)
				}
			})
		}
	}
}

// request sends a request with the same key to random entry hosts until it is
// answered, up to four times.
func (c *cluster) request(dataCentre string, idempotent bool) {
	key := uuid.Must(uuid.NewV7()).String()
	body := []byte("deposit " + key)
	c.d.Audit.RequestSent(key)
	outcome := standin.OutcomeNotRun
	for range 4 {
		a := c.pick(dataCentre).Requests().Do(context.Background(), message.Request{
			ID: uuid.NewString(), Service: c.d.Service, Key: dataCentre + ":" + key, Idempotent: idempotent,
			Timeout: time.Second, Method: "POST", Path: "/check", Body: body,
		})
		switch a.Outcome {
		case message.OutcomeAnswered:
			if !standin.IsCompleteResponse(key, body, a.Body) {
				c.t.Errorf("key %s got another answer: %q", key, a.Body)
			}
			c.d.Audit.OutcomeReturned(key, standin.OutcomeAnswered)
			return
		case message.OutcomeUnknown:
			outcome = standin.OutcomeUnknown
			c.mu.Lock()
			c.unknown[a.Reason]++
			c.mu.Unlock()
		case message.OutcomeNotRun:
			if a.RetryAfter <= 0 {
				c.t.Errorf("refused without a retry time: %s", a.Reason)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	c.d.Audit.OutcomeReturned(key, outcome)
}

// stopAndCheck stops the load and the hosts, and checks the guarantees to callers.
func (c *cluster) stopAndCheck(minAnswered float64) {
	close(c.stop)
	c.callers.Wait()
	time.Sleep(time.Second)
	f := c.d.Audit.Findings()
	c.mu.Lock()
	hosts := c.hosts
	c.hosts = nil
	c.mu.Unlock()
	for _, h := range hosts {
		h.Close()
	}
	// The upstreams finish the requests that still run.
	time.Sleep(15 * time.Second)
	if f.Lost+f.Doubled+f.RefusedButRan+f.OverfullUpstreams > 0 {
		c.t.Errorf("lost %d, doubled %d, refused but ran %d, overfull upstreams %d",
			f.Lost, f.Doubled, f.RefusedButRan, f.OverfullUpstreams)
	}
	if got := float64(f.Answered) / float64(max(f.Accepted, 1)); got < minAnswered || f.Accepted == 0 {
		c.t.Errorf("%d of %d requests were answered", f.Answered, f.Accepted)
	}
	c.t.Logf("accepted %d, answered %d, not run %d, unknown %d: %v",
		f.Accepted, f.Answered, f.NotRun, f.Unknown, c.unknown)
}

// owner returns the name of an entry host that owns a unit with the prefix.
func (c *cluster) owner(prefix string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range c.d.EntryHosts {
		if up := c.hosts[h.Name]; up != nil {
			for _, u := range up.Status().Units {
				if len(u) > len(prefix) && u[:len(prefix)] == prefix {
					return h.Name
				}
			}
		}
	}
	c.t.Fatalf("no entry host owns a unit %s*", prefix)
	return ""
}

// bubbleCount counts the tests in virtual time.
var bubbleCount atomic.Int64

// inBubble runs a test in virtual time. Each test begins an hour later than the one
// before, because the generator of keys never goes back in time.
func inBubble(t *testing.T, name string, f func(t *testing.T)) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			time.Sleep(time.Duration(bubbleCount.Add(1)) * time.Hour)
			f(t)
		})
	})
}
