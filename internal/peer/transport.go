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

// Host names an entry host as its hello does.
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

// Dialer connects to a peer.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// maxServing bounds the calls of peers that are served at once.
const maxServing = 1024

// Transport is the peer transport of one entry host.
type Transport struct {
	self    Host
	log     *zap.Logger
	scope   tally.Scope
	dialer  Dialer
	handler Handler
	listen  net.Listener

	slots  chan struct{}
	tasks  sync.WaitGroup
	cancel context.CancelFunc
	ctx    context.Context
	done   chan struct{}

	mu       sync.Mutex
	outgoing map[netip.AddrPort]*peerConn
	conns    map[*conn]struct{}
	bytes    map[Flow]uint64
}

// peerConn makes at most one connection to an address at a time.
type peerConn struct {
	mu   sync.Mutex
	conn *conn
	// dialing is set while a connection is being made.
	dialing *dialAttempt
}

// dialAttempt is a connection that is being made, for all calls that wait for it. It
// goes on when a call gives up, so that a slow peer is connected for the next one.
type dialAttempt struct {
	done chan struct{}
	conn *conn
	err  error
}

// Flow names bytes by purpose and data centre.
type Flow struct {
	DataCentre string
	Kind       uint8
	Out        bool
}

const (
	directionIn  = false
	directionOut = true
)

// New returns the transport and starts to accept calls on the listener.
func New(self Host, listen net.Listener, dialer Dialer, handler Handler, scope tally.Scope, log *zap.Logger) *Transport {
	ctx, cancel := context.WithCancel(context.Background())
	n := &Transport{
		self: self, log: log.Named("peer"), scope: scope.SubScope("peer"), dialer: dialer, handler: handler,
		listen: listen, slots: make(chan struct{}, maxServing), cancel: cancel, ctx: ctx, done: make(chan struct{}),
		outgoing: make(map[netip.AddrPort]*peerConn),
		conns:    make(map[*conn]struct{}),
		bytes:    make(map[Flow]uint64),
	}
	go func() {
		defer close(n.done)
		n.accept()
	}()
	return n
}

func (n *Transport) accept() {
	for {
		raw, err := n.listen.Accept()
		if err != nil {
			return
		}
		n.tasks.Go(func() {
			c, r, err := n.handshake(n.ctx, raw)
			if err != nil {
				n.log.Info("refused connection", zap.Error(err))
				_ = raw.Close()
				return
			}
			if n.addConn(c) {
				c.readLoop(n.ctx, r)
			}
		})
	}
}

// Call sends a message to the host at an address and returns its answer. The
// error's kind tells whether the call may have been carried out.
func (n *Transport) Call(ctx context.Context, to netip.AddrPort, m Message) (Message, error) {
	_, reply, err := n.Ask(ctx, to, m)
	return reply, err
}

// Ask is Call that also tells who gave the answer.
func (n *Transport) Ask(ctx context.Context, to netip.AddrPort, m Message) (Host, Message, error) {
	c, err := n.connect(ctx, to)
	if err != nil {
		return Host{}, Message{}, fault.New("call", KindNotSent, "%v: %w", to, err)
	}
	reply, err := c.call(ctx, m)
	return c.remote, reply, err
}

// Hello returns who answers at an address now. It makes a connection of its
// own: one that stands may lead to a process that has ended unnoticed.
func (n *Transport) Hello(ctx context.Context, to netip.AddrPort) (Host, error) {
	c, _, err := n.dial(ctx, to)
	if err != nil {
		return Host{}, fault.New("hello", KindNotSent, "%v: %w", to, err)
	}
	_ = c.raw.Close()
	return c.remote, nil
}

// dial makes a connection and exchanges hellos.
func (n *Transport) dial(ctx context.Context, to netip.AddrPort) (*conn, *bufio.Reader, error) {
	dialCtx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	raw, err := n.dialer.DialContext(dialCtx, "tcp", to.String())
	if err != nil {
		return nil, nil, err
	}
	c, r, err := n.handshake(ctx, raw)
	if err != nil {
		_ = raw.Close()
	}
	return c, r, err
}

// connect returns the connection to an address. It waits for one to be made no
// longer than its context lasts.
func (n *Transport) connect(ctx context.Context, to netip.AddrPort) (*conn, error) {
	n.mu.Lock()
	o, ok := n.outgoing[to]
	if !ok {
		o = &peerConn{}
		n.outgoing[to] = o
	}
	n.mu.Unlock()

	c, d := n.connOrDial(o, to)
	if c != nil {
		return c, nil
	}
	select {
	case <-d.done:
		return d.conn, d.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// connOrDial returns the connection that stands, or else the one that is being
// made.
func (n *Transport) connOrDial(o *peerConn, to netip.AddrPort) (*conn, *dialAttempt) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.conn != nil && !o.conn.isClosed() {
		return o.conn, nil
	}
	if o.dialing != nil {
		return nil, o.dialing
	}
	d := &dialAttempt{done: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ctx.Err() != nil {
		d.err = net.ErrClosed
		close(d.done)
		return nil, d
	}
	o.dialing = d
	n.tasks.Go(func() { n.finishDial(o, d, to) })
	return nil, d
}

// finishDial makes a connection, hands it to the calls that wait, and reads from it.
func (n *Transport) finishDial(o *peerConn, d *dialAttempt, to netip.AddrPort) {
	c, r, err := n.dial(n.ctx, to)
	if err == nil && !n.addConn(c) {
		err = net.ErrClosed
	}
	o.mu.Lock()
	o.dialing = nil
	if err == nil {
		o.conn, d.conn = c, c
	}
	d.err = err
	o.mu.Unlock()
	close(d.done)
	if err == nil {
		c.readLoop(n.ctx, r)
	}
}

func (c *conn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// addConn registers a connection; false when the transport is closed already.
func (n *Transport) addConn(c *conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ctx.Err() != nil {
		_ = c.raw.Close()
		return false
	}
	n.conns[c] = struct{}{}
	return true
}

func (n *Transport) removeConn(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

func (n *Transport) count(remote Host, out bool, kind uint8, size int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.bytes[Flow{DataCentre: remote.DataCentre, Kind: kind, Out: out}] += uint64(size)
}

// Bytes returns the bytes sent and received so far by flow.
func (n *Transport) Bytes() map[Flow]uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make(map[Flow]uint64, len(n.bytes))
	for f, b := range n.bytes {
		out[f] = b
	}
	return out
}

// Done is closed when the transport accepts no more calls.
func (n *Transport) Done() <-chan struct{} { return n.done }

// Err tells why the transport ended; closing it is the only way.
func (n *Transport) Err() error { return nil }

// Close ends all connections and waits for the calls being served.
func (n *Transport) Close() {
	n.cancel()
	_ = n.listen.Close()
	n.mu.Lock()
	conns := make([]*conn, 0, len(n.conns))
	for c := range n.conns {
		conns = append(conns, c)
	}
	n.mu.Unlock()
	for _, c := range conns {
		c.close()
	}
	<-n.done
	n.tasks.Wait()
}
