package main

import (
	"net"
	"net/netip"
	"sync"
)

// proxy passes connections on to a worker. While it is cut, nothing passes in either
// direction and no connection is reset, as behind a partition. What was held up then is lost.
type proxy struct {
	addr netip.AddrPort

	mu    sync.Mutex
	to    netip.AddrPort
	isCut bool
	conns map[*link]bool
}

type link struct {
	near, far net.Conn
	// dead is set once bytes of the connection were lost.
	dead bool
}

func startProxy(to netip.AddrPort) (*proxy, error) {
	listen, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{addr: netip.MustParseAddrPort(listen.Addr().String()), to: to, conns: make(map[*link]bool)}
	go func() {
		for {
			near, err := listen.Accept()
			if err != nil {
				return
			}
			go p.serve(near)
		}
	}()
	return p, nil
}

func (p *proxy) serve(near net.Conn) {
	l := &link{near: near}
	p.mu.Lock()
	to := p.to
	l.dead = p.isCut
	p.conns[l] = true
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.conns, l)
		p.mu.Unlock()
		_ = near.Close()
	}()
	if !l.dead {
		far, err := net.Dial("tcp", to.String())
		if err != nil {
			return
		}
		l.far = far
		go p.pipe(l, far, near)
		defer func() { _ = far.Close() }()
	}
	p.pipe(l, near, l.far)
}

// pipe passes on bytes until the connection ends. Bytes that arrive during a cut are lost.
func (p *proxy) pipe(l *link, from, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		p.mu.Lock()
		l.dead = l.dead || p.isCut
		dead := l.dead
		p.mu.Unlock()
		if err != nil {
			if !dead && to != nil {
				_ = to.Close()
			}
			return
		}
		if dead || to == nil {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// leadTo has later connections passed on to another address.
func (p *proxy) leadTo(to netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.to = to
}

// cut begins a partition, and heal ends it. The connections that lost bytes are reset then.
func (p *proxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isCut = true
}

func (p *proxy) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isCut = false
	for l := range p.conns {
		if l.dead {
			_ = l.near.Close()
			if l.far != nil {
				_ = l.far.Close()
			}
		}
	}
}
