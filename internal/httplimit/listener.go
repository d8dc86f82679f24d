package httplimit

import (
	"container/list"
	"context"
	"net"
	"net/netip"
	"syscall"

	"golang.org/x/sys/unix"
)

// receiveBuffer is the size of the receive buffers of connections in the system, which
// doubles it for its own overhead. Bytes that were received and not yet read count towards
// the memory of a host; by default a buffer grows to some megabytes. 32 KB for each round
// trip of 40 ms between regions are 6 Mbit/s, and a body of 256 KB takes 0.4 s.
const receiveBuffer = 32 << 10

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
	c := &Conn{Conn: raw, guard: g, openedAt: now, progressAt: now, rules: g.config.Rules().orDefaults()}
	c.deadline = now.Add(c.rules.HeaderTimeout)
	g.mu.Lock()
	g.open++
	g.serving++
	g.unproven++
	g.count(phaseNew, +1)
	g.enlist(c)
	victims := g.makeRoom(c)
	g.mu.Unlock()
	refused := false
	for _, victim := range victims {
		if victim == c {
			refused = true
			c.writeRefusal(statusUnavailable)
		}
		_ = victim.Conn.Close()
	}
	if !refused {
		return c
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.serving--
	return nil
}

// makeRoom closes connections until their number is within its limits, and returns them.
// Their descriptors are left to the caller. The caller holds the lock.
func (g *Guard) makeRoom(added *Conn) []*Conn {
	var victims []*Conn
	most := g.config.Connections
	for g.open > most || float64(g.unproven) > newShare*float64(most) {
		victim := g.longestWithoutProgress(added)
		why := reasonConnections
		if victim == added {
			why = reasonNoConnection
		}
		g.refusals.add(g.timers.Now(), victim, why)
		g.drop(victim)
		victims = append(victims, victim)
	}
	return victims
}

// longestWithoutProgress returns the connection to close for a new one: the new one itself
// if no other may be closed. The caller holds the lock.
func (g *Guard) longestWithoutProgress(added *Conn) *Conn {
	fresh, proven := firstOther(&g.fresh, added), firstOther(&g.proven, added)
	most := float64(g.config.Connections)
	switch {
	case float64(g.unproven) > newShare*most:
		proven = nil
	case fresh != nil && float64(g.unproven) > keptNewShare*most:
		proven = nil
	}
	switch {
	case fresh == nil && proven == nil:
		return added
	case proven == nil || fresh != nil && !fresh.progressAt.After(proven.progressAt):
		return fresh
	}
	return proven
}

// firstOther returns the first connection of a list other than the given one.
func firstOther(queue *list.List, other *Conn) *Conn {
	for e := queue.Front(); e != nil; e = e.Next() {
		if c, _ := e.Value.(*Conn); c != other {
			return c
		}
	}
	return nil
}
