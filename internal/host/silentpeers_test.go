package host

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"cicadabarrow.example/cicadabarrow/internal/message"
	"cicadabarrow.example/cicadabarrow/internal/peer"
)

// pipeNetwork connects the transports of hosts in virtual time. Its connections can fall
// silent without a reset: what is sent on them reaches nobody.
type pipeNetwork struct {
	mu        sync.Mutex
	listeners map[string]*pipeListener
	links     []*pipeLink
}

func newPipeNetwork() *pipeNetwork { return &pipeNetwork{listeners: make(map[string]*pipeListener)} }

// pipeLink is a connection between two hosts.
type pipeLink struct {
	hosts  [2]string
	silent atomic.Bool
	ends   []net.Conn
}

type pipeListener struct {
	addr     netip.AddrPort
	incoming chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.incoming:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.addr) }

// pipeDialer opens the connections of one host.
type pipeDialer struct {
	network *pipeNetwork
	from    string
}

func (d pipeDialer) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	d.network.mu.Lock()
	listener, known := d.network.listeners[address]
	d.network.mu.Unlock()
	if !known {
		return nil, errors.New("connection refused")
	}
	client, clientEnd := net.Pipe()
	server, serverEnd := net.Pipe()
	l := &pipeLink{hosts: [2]string{d.from, address}, ends: []net.Conn{client, clientEnd, server, serverEnd}}
	go l.forward(serverEnd, clientEnd)
	go l.forward(clientEnd, serverEnd)
	select {
	case listener.incoming <- server:
		d.network.mu.Lock()
		d.network.links = append(d.network.links, l)
		d.network.mu.Unlock()
		return client, nil
	case <-listener.closed:
		l.close()
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		l.close()
		return nil, ctx.Err()
	}
}

func (l *pipeLink) close() {
	for _, end := range l.ends {
		_ = end.Close()
	}
}

// forward passes on what is read from one end, unless the link is silent.
func (l *pipeLink) forward(to, from net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			if !l.silent.Load() {
				_ = to.Close()
			}
			return
		}
		if !l.silent.Load() {
			time.Sleep(peerLatency)
			_, _ = to.Write(buffer[:n])
		}
	}
}

// join returns the peers of a host that starts, and a function that closes its transport.
func (n *pipeNetwork) join(h *fakeHost, self peer.Host, log *zap.Logger, handle func() *Host) (Peers, func()) {
	listener := &pipeListener{addr: h.addr, incoming: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	n.listeners[h.addr.String()] = listener
	n.mu.Unlock()
	t := peer.New(self, listener, pipeDialer{n, h.addr.String()}, startedHandler(handle), tally.NoopScope, log,
		peer.Immediate(message.KindHostPing))
	return t, t.Close
}

// startedHandler handles the calls of peers once the host has started.
type startedHandler func() *Host

func (s startedHandler) Handle(ctx context.Context, from peer.Host, m peer.Message) (peer.Message, error) {
	if h := s(); h != nil {
		return h.Handle(ctx, from, m)
	}
	return peer.Message{}, errors.New("not started")
}

// silence has every second connection of a host fall silent.
func (n *pipeNetwork) silence(h *fakeHost) {
	n.mu.Lock()
	defer n.mu.Unlock()
	even := false
	for _, l := range n.links {
		if l.hosts[0] != h.addr.String() && l.hosts[1] != h.addr.String() || l.silent.Load() {
			continue
		}
		if even = !even; even {
			l.silent.Store(true)
		}
	}
}

func (n *pipeNetwork) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.links {
		l.close()
	}
}

// forgetHolds forgets the hold calls but the last one to each worker.
func (w *fakeCluster) forgetHolds() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, worker := range w.workers {
		worker.holds = worker.holds[len(worker.holds)-1:]
	}
}

// Guards against a cell that makes no progress for the rest of the day, since half of the
// connections of one host after the other have fallen silent without a reset, while new
// ones work (review case 1). After that no worker may lose its lease, and no host may go
// on to suspect the owner or a relay.
func TestSilentConnectionsBetweenHostsCostNothingForGood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		logged, logs := observer.New(zap.InfoLevel)
		w := newFakeCluster(6, 12)
		w.network, w.logs = newPipeNetwork(), logged
		for _, h := range w.order {
			w.seeds = append(w.seeds, h.addr)
		}
		defer time.Sleep(time.Second) // until nothing is on its way
		defer w.network.close()
		defer w.stopAll()
		for _, h := range w.order {
			w.start(h)
		}
		time.Sleep(10 * time.Second)
		if len(w.owners()) != 1 || len(w.relays(w.owners()[0])) == 0 {
			t.Fatalf("%d owners before", len(w.owners()))
		}
		const (
			times    = 40
			interval = 400 * time.Millisecond
		)
		for i := range times {
			w.network.silence(w.order[i%len(w.order)])
			time.Sleep(interval)
		}
		time.Sleep(5 * time.Second)
		logs.TakeAll()
		w.forgetHolds()
		time.Sleep(30 * time.Second)
		for _, message := range []string{"the owner is suspected", "relay is suspected", "relay is lost: it does not ping the owner"} {
			if n := logs.FilterMessage(message).Len(); n > 0 {
				t.Errorf("long after the last silence: %q %d times", message, n)
			}
		}
		if owners := w.owners(); len(owners) != 1 || len(w.relays(owners[0])) == 0 {
			t.Errorf("%d owners after", len(owners))
		}
		if gap := w.leaseGap(); gap > 0 {
			t.Errorf("long after the last silence a worker had no lease for %v", gap)
		}
	})
}
