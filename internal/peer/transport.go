package peer

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/fault"
)

// Host is the identity of an entry host, which the host sends in its hello.
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

// acceptBackoff is the wait after a failed accept, for instance while the process has
// no file descriptor left.
const acceptBackoff = 50 * time.Millisecond

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

	// serving holds one element for each call of a peer that is being served; its
	// capacity is maxServing.
	serving chan struct{}
	// immediate holds the kinds of calls that are answered at once.
	immediate  map[uint8]bool
	limits     Limits
	inbound    *inbound
	background sync.WaitGroup
	cancel     context.CancelFunc
	ctx        context.Context
	done       chan struct{}

	mu       sync.Mutex
	outgoing map[netip.AddrPort]*outgoingConn
	conns    map[*conn]struct{}
	bytes    map[Flow]uint64
}

// outgoingConn holds the outgoing connection to one address, if one is open, or
// the dial in progress. At most one dial is in progress at a time.
type outgoingConn struct {
	mu   sync.Mutex
	conn *conn
	// dialing is the dial in progress, or nil.
	dialing *dialAttempt
	// probing is set while a new connection is opened beside one that is silent.
	probing bool
}

// dialAttempt is a dial in progress, for which all calls to the address wait. The
// dial continues when a call gives up, so that the next call finds a connection
// to a slow peer.
type dialAttempt struct {
	done chan struct{}
	conn *conn
	err  error
}

// Flow is a class of traffic for which bytes are counted: all messages of one
// kind, in one direction, to or from the peers in one data centre.
type Flow struct {
	DataCentre string
	Kind       uint8
	Out        bool
}

const (
	directionIn  = false
	directionOut = true
)

// Option configures a Transport.
type Option func(*Transport)

// Immediate makes a transport answer calls of the given kinds as it reads them,
// however many other calls are being served. Their handlers must not wait.
func Immediate(kinds ...uint8) Option {
	return func(t *Transport) {
		for _, kind := range kinds {
			t.immediate[kind] = true
		}
	}
}

// New returns a transport and starts to accept connections on the listener.
func New(
	self Host, listen net.Listener, dialer Dialer, handler Handler, scope tally.Scope, log *zap.Logger, options ...Option,
) *Transport {
	ctx, cancel := context.WithCancel(context.Background())
	t := &Transport{
		self: self, log: log.Named("peer"), scope: scope.SubScope("peer"), dialer: dialer, handler: handler,
		listen: listen, serving: make(chan struct{}, maxServing), cancel: cancel, ctx: ctx, done: make(chan struct{}),
		outgoing: make(map[netip.AddrPort]*outgoingConn),
		conns:    make(map[*conn]struct{}),
		bytes:    make(map[Flow]uint64), immediate: make(map[uint8]bool),
		limits: unlimited,
	}
	for _, option := range options {
		option(t)
	}
	t.inbound = newInbound(t.limits, t.scope, t.log)
	go func() {
		defer close(t.done)
		t.accept()
	}()
	t.background.Go(t.sweepIdle)
	return t
}

// accept serves incoming connections until the transport or its listener is closed.
func (t *Transport) accept() {
	for {
		raw, err := t.listen.Accept()
		if t.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			if err == nil {
				_ = raw.Close()
			}
			return
		}
		if err != nil {
			t.log.Warn("accepting a connection failed", zap.Error(err))
			t.sleep(acceptBackoff)
			continue
		}
		entry := t.inbound.add(raw)
		t.background.Go(func() {
			defer t.inbound.remove(entry)
			c, r, err := t.handshake(t.ctx, raw)
			if err != nil {
				t.inbound.rejected("connection rejected", raw, zap.Error(err))
				_ = raw.Close()
				return
			}
			c.inbound = entry
			if t.addConn(c) {
				c.run(t.ctx, r)
			}
		})
	}
}

// sleep waits for a duration or until the transport is closed.
func (t *Transport) sleep(d time.Duration) {
	ctx, cancel := context.WithTimeout(t.ctx, d)
	defer cancel()
	<-ctx.Done()
}

// Call sends a message to the host at an address and returns its answer. The
// kind of the error tells whether the call may have taken effect.
func (t *Transport) Call(ctx context.Context, to netip.AddrPort, m Message) (Message, error) {
	_, reply, err := t.Ask(ctx, to, m)
	return reply, err
}

// Ask is like Call, but also returns the host that answered.
func (t *Transport) Ask(ctx context.Context, to netip.AddrPort, m Message) (Host, Message, error) {
	for first := true; ; first = false {
		c, err := t.connect(ctx, to)
		if err != nil {
			return Host{}, Message{}, fault.New("call", KindNotSent, "%v: %w", to, err)
		}
		reply, err := c.call(ctx, m)
		if first && errors.Is(err, errClosed) {
			continue // it was closed since it was found open
		}
		return c.remote, reply, err
	}
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
	raw, err := t.open(dialCtx, to)
	if err != nil {
		return nil, nil, err
	}
	c, r, err := t.handshake(ctx, raw)
	if err != nil {
		_ = raw.Close()
		return nil, nil, err
	}
	c.to = to
	return c, r, nil
}

// connect returns the connection to an address, and opens one if necessary. It
// stops waiting for a dial when ctx ends.
func (t *Transport) connect(ctx context.Context, to netip.AddrPort) (*conn, error) {
	outgoing := t.outgoingTo(to)
	open, dialing := t.connOrDial(outgoing, to)
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
func (t *Transport) connOrDial(outgoing *outgoingConn, to netip.AddrPort) (*conn, *dialAttempt) {
	outgoing.mu.Lock()
	defer outgoing.mu.Unlock()
	if outgoing.conn != nil && !outgoing.conn.isClosed() {
		return outgoing.conn, nil
	}
	if outgoing.dialing != nil {
		return nil, outgoing.dialing
	}
	dialing := &dialAttempt{done: make(chan struct{})}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ctx.Err() != nil {
		dialing.err = net.ErrClosed
		close(dialing.done)
		return nil, dialing
	}
	outgoing.dialing = dialing
	t.background.Go(func() { t.dialAndRead(outgoing, dialing, to) })
	return nil, dialing
}

// dialAndRead dials, passes the connection to the calls that wait for it, and reads
// from the connection until it is closed.
func (t *Transport) dialAndRead(outgoing *outgoingConn, dialing *dialAttempt, to netip.AddrPort) {
	opened, r, err := t.dial(t.ctx, to)
	if err == nil && !t.addConn(opened) {
		err = net.ErrClosed
	}
	outgoing.mu.Lock()
	outgoing.dialing = nil
	if err == nil {
		outgoing.conn, dialing.conn = opened, opened
	}
	dialing.err = err
	outgoing.mu.Unlock()
	close(dialing.done)
	if err == nil {
		opened.run(t.ctx, r)
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
	flow := Flow{DataCentre: remote.DataCentre, Kind: kind, Out: out}
	if _, known := t.bytes[flow]; known || len(t.bytes) < maxFlows {
		t.bytes[flow] += uint64(size)
	}
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
// connections, after it or its listener has been closed.
func (t *Transport) Done() <-chan struct{} { return t.done }

// Err returns nil, since only a close ends the transport.
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
