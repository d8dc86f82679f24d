package peer

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/fault"
)

// silentNetwork connects hosts in a process. Its connections can fall silent without a
// reset: what is sent on them is read by nobody, and their ends are not closed.
type silentNetwork struct {
	incoming chan net.Conn
	closed   chan struct{}

	mu    sync.Mutex
	links []*link
	// newSilent is set if new connections are silent from the beginning.
	newSilent bool
}

// link is a connection of the network.
type link struct {
	ends   []net.Conn
	silent atomic.Bool
	// held is closed when a frozen host continues; nil if none is frozen.
	held atomic.Pointer[chan struct{}]
}

func newSilentNetwork() *silentNetwork {
	return &silentNetwork{incoming: make(chan net.Conn), closed: make(chan struct{})}
}

func (s *silentNetwork) DialContext(ctx context.Context, _, _ string) (net.Conn, error) {
	client, clientEnd := net.Pipe()
	server, serverEnd := net.Pipe()
	l := &link{ends: []net.Conn{client, clientEnd, server, serverEnd}}
	s.mu.Lock()
	l.silent.Store(s.newSilent)
	s.links = append(s.links, l)
	s.mu.Unlock()
	go l.forward(serverEnd, clientEnd)
	go l.forward(clientEnd, serverEnd)
	select {
	case s.incoming <- server:
		return client, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// bufferedChunks is how many writes a link holds for a frozen host.
const bufferedChunks = 1024

// forward passes on what is read from one end, unless the link is silent.
func (l *link) forward(to, from net.Conn) {
	chunks := make(chan []byte, bufferedChunks)
	go func() {
		for chunk := range chunks {
			if held := l.held.Load(); held != nil {
				<-*held
			}
			if !l.silent.Load() {
				_, _ = to.Write(chunk)
			}
		}
		if !l.silent.Load() {
			_ = to.Close()
		}
	}()
	defer close(chunks)
	for {
		buffer := make([]byte, 4096)
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		chunks <- buffer[:n]
	}
}

func (s *silentNetwork) Accept() (net.Conn, error) {
	select {
	case c := <-s.incoming:
		return c, nil
	case <-s.closed:
		return nil, net.ErrClosed
	}
}

func (s *silentNetwork) Close() error {
	close(s.closed)
	return nil
}

func (s *silentNetwork) Addr() net.Addr { return &net.TCPAddr{} }

// link returns a connection, by the order in which they were opened.
func (s *silentNetwork) link(i int) *link {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.links[i]
}

func (s *silentNetwork) opened() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.links)
}

// setNewSilent sets whether new connections are silent.
func (s *silentNetwork) setNewSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.newSilent = silent
}

// withSilentNetwork runs a test in virtual time with two hosts on a network.
func withSilentNetwork(t *testing.T, h handlerFunc, test func(t *testing.T, network *silentNetwork, client, server *Transport)) {
	synctest.Test(t, func(t *testing.T) {
		network := newSilentNetwork()
		server := New(Host{Name: "server", Incarnation: "server-1"}, network, network, h, tally.NoopScope, zap.NewNop())
		client := New(Host{Name: "client", Incarnation: "client-1"}, idleListener{closed: make(chan struct{})}, network,
			handlerFunc(echo), tally.NoopScope, zap.NewNop())
		defer func() {
			client.Close()
			server.Close()
			for i := range network.opened() {
				for _, end := range network.link(i).ends {
					_ = end.Close()
				}
			}
		}()
		test(t, network, client, server)
	})
}

// askWithin makes a call and returns its error and how long it took.
func askWithin(t *testing.T, client *Transport, timeout time.Duration) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	begin := time.Now()
	_, _, err := client.Ask(ctx, unresponsiveAddr, Message{Kind: 1})
	return time.Since(begin), err
}

func mustAsk(t *testing.T, client *Transport, what string) {
	t.Helper()
	if _, err := askWithin(t, client, time.Second); err != nil {
		t.Fatalf("%s: %v", what, err)
	}
}

// longestSilence is how long calls may go to a silent connection. Hosts suspect an owner
// after 0.9 s without a renewal.
const longestSilence = 900 * time.Millisecond

// Guards against a host that makes all its calls to a peer on a connection that has fallen
// silent without a reset, while a new one works: the cell made no progress for the rest of
// the day (review case 1).
func TestSilentConnectionIsReplaced(t *testing.T) {
	withSilentNetwork(t, echo, func(t *testing.T, network *silentNetwork, client, _ *Transport) {
		mustAsk(t, client, "before")
		network.link(0).silent.Store(true)
		took, err := askWithin(t, client, time.Minute)
		if !fault.Is(err, KindUnknown) || took > longestSilence {
			t.Errorf("the call on the silent connection ends after %v: %v", took, err)
		}
		mustAsk(t, client, "after")
		if n := network.opened(); n != 2 {
			t.Errorf("%d connections were opened", n)
		}
	})
}

// Guards against silence that is not noticed since no call waits long enough, as pings do
// not: each call gives up before the connection is found silent.
func TestSilenceIsNoticedByCallsThatGiveUp(t *testing.T) {
	withSilentNetwork(t, echo, func(t *testing.T, network *silentNetwork, client, _ *Transport) {
		mustAsk(t, client, "before")
		time.Sleep(30 * time.Second) // a connection that was idle has not been silent
		network.link(0).silent.Store(true)
		begin := time.Now()
		for {
			if _, err := askWithin(t, client, 50*time.Millisecond); err == nil {
				break
			}
			if time.Since(begin) > longestSilence {
				t.Fatalf("calls fail for %v", time.Since(begin))
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
}

// Guards against connections that are closed under calls whose answer takes long, as that
// of a hold call does.
func TestConnectionWithASlowCallIsKept(t *testing.T) {
	slow := func(_ context.Context, _ Host, m Message) (Message, error) {
		time.Sleep(10 * time.Second)
		return m, nil
	}
	withSilentNetwork(t, slow, func(t *testing.T, network *silentNetwork, client, _ *Transport) {
		if took, err := askWithin(t, client, time.Minute); err != nil || network.opened() != 1 {
			t.Errorf("after %v: %v; %d connections were opened", took, err, network.opened())
		}
	})
}

// Guards against a call that waits long on a connection that falls silent under it, as
// hold calls do: the lease of a worker ends while its hold call waits.
func TestSilenceUnderAWaitingCallIsNoticed(t *testing.T) {
	slow := func(_ context.Context, _ Host, m Message) (Message, error) {
		time.Sleep(10 * time.Second)
		return m, nil
	}
	withSilentNetwork(t, slow, func(t *testing.T, network *silentNetwork, client, _ *Transport) {
		time.AfterFunc(3500*time.Millisecond, func() { network.link(0).silent.Store(true) })
		took, err := askWithin(t, client, time.Minute)
		if limit := 3500*time.Millisecond + waitingHeartbeatAfter + longestSilence; !fault.Is(err, KindUnknown) || took > limit {
			t.Errorf("the call ends after %v: %v", took, err)
		}
	})
}

// Guards against calls that are given up because their peer is frozen for a while: it
// answers on no connection, and a new one would be no better.
func TestConnectionToAFrozenPeerIsKept(t *testing.T) {
	withSilentNetwork(t, echo, func(t *testing.T, network *silentNetwork, client, _ *Transport) {
		mustAsk(t, client, "before")
		held := make(chan struct{})
		network.link(0).held.Store(&held)
		network.setNewSilent(true)
		time.AfterFunc(5*time.Second, func() {
			network.setNewSilent(false)
			network.link(0).held.Store(nil)
			close(held)
		})
		if took, err := askWithin(t, client, time.Minute); err != nil || took < 5*time.Second {
			t.Errorf("the call to the frozen peer ends after %v: %v", took, err)
		}
		mustAsk(t, client, "after")
	})
}

// Guards against a peer that is cut off and back, to which no call gets through since its
// connection is silent: the new connection is tried again and again.
func TestSilentConnectionIsReplacedOncePeerIsBack(t *testing.T) {
	withSilentNetwork(t, echo, func(t *testing.T, network *silentNetwork, client, _ *Transport) {
		mustAsk(t, client, "before")
		network.link(0).silent.Store(true)
		network.setNewSilent(true)
		time.AfterFunc(10*time.Second, func() { network.setNewSilent(false) })
		took, err := askWithin(t, client, time.Minute)
		// A dial that is in progress when the peer is back takes until helloTimeout.
		if limit := 10*time.Second + helloTimeout + probeInterval + longestSilence; !fault.Is(err, KindUnknown) || took > limit {
			t.Errorf("the call ends after %v: %v", took, err)
		}
		mustAsk(t, client, "after")
	})
}

// Guards against peers of earlier releases, which refuse a heartbeat: their connections
// would be taken for silent.
func TestRefusedHeartbeatIsAnAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		local, remote := net.Pipe()
		n := New(Host{Name: "client", Incarnation: "client-1"}, idleListener{closed: make(chan struct{})},
			newPipeDialer(local), handlerFunc(echo), tally.NoopScope, zap.NewNop())
		defer n.Close()
		heartbeats := 0
		go func() {
			_, _ = remote.Read(make([]byte, maxHello))
			_, _ = remote.Write(frameOf(t, validHello()))
			_, r := readerOf(remote)
			for {
				var e envelope
				if _, err := readFrame(r, MaxFrame, &e); err != nil {
					return
				}
				if e.Kind == kindHeartbeat {
					heartbeats++
					_, _ = remote.Write(frameOf(t, refusal(e, errClosed)))
					continue
				}
				time.AfterFunc(5*time.Second, func() { _, _ = remote.Write(frameOf(t, envelope{Call: e.Call, Answer: true, Kind: e.Kind})) })
			}
		}()
		if took, err := askWithin(t, n, time.Minute); err != nil || heartbeats < 2 {
			t.Errorf("after %v and %d heartbeats: %v", took, heartbeats, err)
		}
		_ = remote.Close()
	})
}

// Guards against connections that are kept for ever although the other end is gone
// without a reset.
func TestConnectionsWithoutCallsAreClosed(t *testing.T) {
	withSilentNetwork(t, echo, func(t *testing.T, network *silentNetwork, client, server *Transport) {
		open := func(n *Transport) int {
			n.mu.Lock()
			defer n.mu.Unlock()
			return len(n.conns)
		}
		mustAsk(t, client, "before")
		time.Sleep(outgoingIdleTimeout / 2)
		mustAsk(t, client, "in between")
		time.Sleep(outgoingIdleTimeout / 2)
		if open(client) != 1 || open(server) != 1 || network.opened() != 1 {
			t.Errorf("%d and %d connections are open of one that is used, %d were opened", open(client), open(server), network.opened())
		}
		network.link(0).silent.Store(true)
		time.Sleep(outgoingIdleTimeout + idleSweepInterval)
		if open(client) != 0 || open(server) != 1 {
			t.Errorf("%d and %d connections are open, want 0 and 1", open(client), open(server))
		}
		time.Sleep(acceptedIdleTimeout)
		if open(server) != 0 {
			t.Errorf("%d connections are open whose other end is gone", open(server))
		}
		mustAsk(t, client, "after")
	})
}

// Guards against a connection that is taken for silent while the peer's system
// acknowledges a large frame that it has not read to its end.
func TestUnacknowledgedBytesOfASocketAreKnown(t *testing.T) {
	listen, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listen.Close() }()
	client, err := net.Dial("tcp", listen.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = client.Close() }()
	server, err := listen.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	if err := boundSilence(client); err != nil {
		t.Error(err)
	}
	written := make(chan struct{})
	const size = 16 << 20
	go func() {
		defer close(written)
		_, _ = client.Write(make([]byte, size))
	}()
	for unacknowledgedBytes(client) <= bulkBytes {
		time.Sleep(time.Millisecond) // until the buffer of the server is full
	}
	if _, err := io.CopyN(io.Discard, server, size); err != nil {
		t.Fatal(err)
	}
	<-written
	for unacknowledgedBytes(client) > 0 {
		time.Sleep(time.Millisecond)
	}
}
