package processtest

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"
)

// Link is what a Proxy does to the bytes that pass.
type Link struct {
	// Delay is added to each piece of bytes, in both directions.
	Delay time.Duration
	// DropRequests and DropResponses drop the bytes to the server and those to the client.
	// Connections stay open, so that both ends see silence.
	DropRequests  bool
	DropResponses bool
}

// Proxy forwards TCP connections to a server. A connection on which bytes were dropped
// stays silent, also once the link is sound again.
type Proxy struct {
	to       netip.AddrPort
	listener net.Listener

	mu    sync.Mutex
	link  Link
	conns map[net.Conn]bool
}

// NewProxy starts a proxy of a server, which ends with the test.
func NewProxy(t *testing.T, to netip.AddrPort) *Proxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &Proxy{to: to, listener: listener, conns: make(map[net.Conn]bool)}
	go p.serve()
	t.Cleanup(func() {
		_ = listener.Close()
		p.Reset()
	})
	return p
}

// Addr returns the address at which the proxy listens.
func (p *Proxy) Addr() netip.AddrPort { return netip.MustParseAddrPort(p.listener.Addr().String()) }

// SetLink replaces what the proxy does to the bytes that pass.
func (p *Proxy) SetLink(l Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.link = l
}

// Reset resets all connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	clear(p.conns)
}

func (p *Proxy) serve() {
	for {
		client, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		go p.forward(client)
	}
}

func (p *Proxy) forward(client net.Conn) {
	server, err := net.Dial("tcp", p.to.String())
	if err != nil {
		_ = client.Close()
		return
	}
	p.mu.Lock()
	p.conns[client], p.conns[server] = true, true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.copy(server, client, func(l Link) bool { return l.DropRequests }) })
	both.Go(func() { p.copy(client, server, func(l Link) bool { return l.DropResponses }) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, server)
	p.mu.Unlock()
}

// copy forwards the bytes of one direction until an end closes.
func (p *Proxy) copy(to, from net.Conn, drops func(Link) bool) {
	defer to.Close()
	const pieceBytes = 16 << 10
	piece := make([]byte, pieceBytes)
	silent := false
	for {
		n, err := from.Read(piece)
		if err != nil {
			return
		}
		p.mu.Lock()
		link := p.link
		p.mu.Unlock()
		if silent = silent || drops(link); silent {
			continue
		}
		if link.Delay > 0 {
			<-time.After(link.Delay)
		}
		if _, err := to.Write(piece[:n]); err != nil {
			return
		}
	}
}
