package httplimit

import (
	"context"
	"net"
	"net/netip"
	"syscall"

	"golang.org/x/sys/unix"

	"cicadabarrow.example/cicadabarrow/internal/connlimit"
)

// receiveBuffer is the size of the receive buffers of connections in the system, which
// doubles it for its own overhead. Bytes that were received and not yet read count towards
// the memory of a host; by default a buffer grows to some megabytes. A window of 16 KB for
// each round trip of 40 ms between regions is 3 Mbit/s: a body of 256 KB takes 0.7 s there.
const receiveBuffer = 16 << 10

// Listen returns a listener at an address whose connections the guard bounds.
func (g *Guard) Listen(addr netip.AddrPort) (net.Listener, error) {
	config := net.ListenConfig{Control: setReceiveBuffer}
	listen, err := config.Listen(context.Background(), "tcp", addr.String())
	if err != nil {
		return nil, err
	}
	return g.Wrap(listen), nil
}

func setReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	var err error
	controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}

// Wrap returns a listener whose connections the guard bounds.
func (g *Guard) Wrap(listen net.Listener) net.Listener { return &listener{listen, g} }

type listener struct {
	net.Listener
	guard *Guard
}

// Accept returns the next connection. If there are too many, it closes another one.
func (l *listener) Accept() (net.Conn, error) {
	for {
		l.guard.awaitEnded()
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.guard.admit(raw); c != nil {
			return c, nil
		}
	}
}

// Close closes the listener. The connections stay open.
func (l *listener) Close() error {
	l.guard.mu.Lock()
	l.guard.closed = true
	l.guard.ended.Broadcast()
	l.guard.mu.Unlock()
	return l.Listener.Close()
}

// awaitEnded waits while too many closed connections still have a goroutine.
func (g *Guard) awaitEnded() {
	g.mu.Lock()
	defer g.mu.Unlock()
	most := g.config.Connections + int(endingShare*float64(g.config.Connections))
	for g.serving >= most && !g.closed {
		g.ended.Wait()
	}
}

// admit returns the connection of a client, and nil if it was refused.
func (g *Guard) admit(raw net.Conn) *Conn {
	now := g.timers.Now()
	c := &Conn{Conn: raw, guard: g, openedAt: now, rules: g.config.Rules().orDefaults()}
	c.entry = &connlimit.Entry[*Conn]{Value: c}
	c.deadline = now.Add(c.rules.HeaderTimeout + clientMargin)
	g.mu.Lock()
	g.serving++
	g.count(phaseNew, +1)
	g.table.Add(c.entry, now)
	victims := g.table.MakeRoom(c.entry)
	for _, e := range victims {
		why := reasonConnections
		if e.Value == c {
			why = reasonNoConnection
			g.serving--
		}
		g.refusals.add(now, e.Value, why)
		g.setPhase(e.Value, phaseClosed)
	}
	g.mu.Unlock()
	admitted := c
	for _, e := range victims {
		if e.Value == c {
			c.writeRefusal(statusUnavailable)
			admitted = nil
		}
		_ = e.Value.Conn.Close()
	}
	return admitted
}
