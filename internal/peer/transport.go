package peer

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"sync"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/fault"
)

// Host identifies an entry host, as its hello does.
type Host struct {
	Name        string
	DataCentre  string
	Incarnation string
}

// Message is the kind and the encoded body of a call or an answer.
type Message struct {
	Kind uint8
	Body []byte
}

// Handler answers the calls of peers.
type Handler interface {
	Handle(ctx context.Context, from Host, m Message) (Message, error)
}

// Dialer opens connections to peers.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// maxServing bounds the number of peers' calls that are served at the same time.
const maxServing = 1024

// Transport carries the calls between one entry host and its peers.
type Transport struct {
	self    Host
	log     *zap.Logger
	scope   tally.Scope
	dialer  Dialer
	handler Handler
	listen  net.Listener

	serving  chan struct{}
	background  sync.WaitGroup
	cancel context.CancelFunc
	ctx    context.Context
	done   chan struct{}

	mu       sync.Mutex
	outgoing map[netip.AddrPort]*outgoingConn
	conns    map[*conn]struct{}
	bytes    map[Flow]uint64
}

// outgoingConn is the outgoing connection to one address. At most one dial is in
// progress at a time.
type outgoingConn struct {
	mu   sync.Mutex
	conn *conn
	// dialing is set while a dial is in progress.
	dialing *dialAttempt
}

// dialAttempt is a dial in progress, which all calls to the address wait for. It
// continues when a call gives up, so that a slow peer is connected for the next
// call.
type dialAttempt struct {
	done chan struct{}
	conn *conn
	err  error
}

// Flow is the class by which traffic is counted: the data centre of the peer,
// the kind of message and the direction.
type Flow struct {
	DataCentre string
	Kind       uint8
	Out        bool
}

const (
	directionIn  = false
	directionOut = true
)

// New returns a transport and starts to accept connections on the listener.
func New(self Host, listen net.Listener, dialer Dialer, handler Handler, scope tally.Scope, log *zap.Logger) *Transport {
	ctx, cancel := context.WithCancel(context.Background())
	t := &Transport{
		self: self, log: log.Named("peer"), scope: scope.SubScope("peer"), dialer: dialer, handler: handler,
		listen: listen, serving: make(chan struct{}, maxServing), cancel: cancel, ctx: ctx, done: make(chan struct{}),
		outgoing: make(map[netip.AddrPort]*outgoingConn),
		conns:    make(map[*conn]struct{}),
		bytes:    make(map[Flow]uint64),
	}
	go func() {
		defer close(t.done)
		t.accept()
	}()
	return t
}

func (t *Transport) accept() {
	for {
		raw, err := t.listen.Accept()
		if err != nil {
			return
		}
		t.background.Go(func() {
			c, r, err := t.handshake(t.ctx, raw)
			if err != nil {
				t.log.Info("connection rejected", zap.Error(err))
				_ = raw.Close()
				return
			}
			if t.addConn(c) {
				c.readLoop(t.ctx, r)
			}
		})
	}
}

// Call sends a message to the host at an address and returns its answer. The
// kind of the error tells whether the call may have taken effect.
func (t *Transport) Call(ctx context.Context, to netip.AddrPort, m Message) (Message, error) {
	_, reply, err := t.Ask(ctx, to, m)
	return reply, err
}

// Ask is like Call, but also returns the host that answered.
func (t *Transport) Ask(ctx context.Context, to netip.AddrPort, m Message) (Host, Message, error) {
	c, err := t.connect(ctx, to)
	if err != nil {
		return Host{}, Message{}, fault.New("call", KindNotSent, "%v: %w", to, err)
	}
	reply, err := c.call(ctx, m)
	return c.remote, reply, err
}

// Hello returns the host that currently answers at an address. It opens a new
// connection, since an open one may lead to a process that has exited unnoticed.
func (t *Transport) Hello(ctx context.Context, to netip.AddrPort) (Host, error) {
	c, _, err := t.dial(ctx, to)
	if err != nil {
		return Host{}, fault.New("hello", KindNotSent, "%v: %w", to, err)
	}
	_ = c.raw.Close()
	return c.remote, nil
}

// dial opens a connection and exchanges hellos.
func (t *Transport) dial(ctx context.Context, to netip.AddrPort) (*conn, *bufio.Reader, error) {
	dialCtx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	raw, err := t.dialer.DialContext(dialCtx, "tcp", to.String())
	if err != nil {
		return nil, nil, err
	}
	c, r, err := t.handshake(ctx, raw)
	if err != nil {
		_ = raw.Close()
	}
	return c, r, err
}

// connect returns the connection to an address, and opens it if necessary. It
// waits for a dial no longer than its context lasts.
func (t *Transport) connect(ctx context.Context, to netip.AddrPort) (*conn, error) {
	t.mu.Lock()
	peer, ok := t.outgoing[to]
	if !ok {
		peer = &outgoingConn{}
		t.outgoing[to] = peer
	}
	t.mu.Unlock()

	open, dialing := t.connOrDial(peer, to)
	if open != nil {
		return open, nil
	}
	select {
	case <-dialing.done:
		return dialing.conn, dialing.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// connOrDial returns the open connection, or else the dial in progress. It
// starts a dial if there is neither.
func (t *Transport) connOrDial(peer *outgoingConn, to netip.AddrPort) (*conn, *dialAttempt) {
	peer.mu.Lock()
	defer peer.mu.Unlock()
	if peer.conn != nil && !peer.conn.isClosed() {
		return peer.conn, nil
	}
	if peer.dialing != nil {
		return nil, peer.dialing
	}
	dialing := &dialAttempt{done: make(chan struct{})}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ctx.Err() != nil {
		dialing.err = net.ErrClosed
		close(dialing.done)
		return nil, dialing
	}
	peer.dialing = dialing
	t.background.Go(func() { t.dialAndRead(peer, dialing, to) })
	return nil, dialing
}

// dialAndRead carries out a dial, passes the connection to the waiting calls, and
// reads from it until it ends.
func (t *Transport) dialAndRead(peer *outgoingConn, dialing *dialAttempt, to netip.AddrPort) {
	opened, r, err := t.dial(t.ctx, to)
	if err == nil && !t.addConn(opened) {
		err = net.ErrClosed
	}
	peer.mu.Lock()
	peer.dialing = nil
	if err == nil {
		peer.conn, dialing.conn = opened, opened
	}
	dialing.err = err
	peer.mu.Unlock()
	close(dialing.done)
	if err == nil {
		opened.readLoop(t.ctx, r)
	}
}

func (c *conn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// addConn registers a connection. If the transport is already closed, it closes
// the connection and returns false.
func (t *Transport) addConn(c *conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ctx.Err() != nil {
		_ = c.raw.Close()
		return false
	}
	t.conns[c] = struct{}{}
	return true
}

func (t *Transport) removeConn(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, c)
}

func (t *Transport) count(remote Host, out bool, kind uint8, size int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.bytes[Flow{DataCentre: remote.DataCentre, Kind: kind, Out: out}] += uint64(size)
}

// Bytes returns the number of bytes sent and received so far for each flow.
func (t *Transport) Bytes() map[Flow]uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[Flow]uint64, len(t.bytes))
	for f, b := range t.bytes {
		out[f] = b
	}
	return out
}

// Done returns a channel that is closed when the transport no longer accepts
// connections.
func (t *Transport) Done() <-chan struct{} { return t.done }

// Err returns nil, since a transport ends only by Close.
func (t *Transport) Err() error { return nil }

// Close closes all connections and waits for the calls that are being served.
func (t *Transport) Close() {
	t.cancel()
	_ = t.listen.Close()
	t.mu.Lock()
	conns := make([]*conn, 0, len(t.conns))
	for c := range t.conns {
		conns = append(conns, c)
	}
	t.mu.Unlock()
	for _, c := range conns {
		c.close()
	}
	<-t.done
	t.background.Wait()
}
