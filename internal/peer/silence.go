package peer

import (
	"bufio"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

// A connection may fall silent for good without a reset: what is sent on it arrives
// nowhere, while new connections to the same peer work. Only an answer shows that it
// still works. So if the peer sends nothing, the connection sends a heartbeat, and if that
// is not answered either, a new connection is opened beside it. If the new one works and
// the old one still does not, it is replaced. A peer that is frozen or cut off answers on
// neither, and keeps its connection.
const (
	// heartbeatAfter is how long a peer may send nothing after a call until a heartbeat is
	// sent. It exceeds the round trip between regions several times.
	heartbeatAfter = 200 * time.Millisecond
	// waitingHeartbeatAfter is the same if the peer has sent something since the last
	// call, and only calls wait that take long, as hold calls do, and idleHeartbeatAfter
	// if no call waits. An idle connection that has fallen silent is thus replaced before
	// it is used: else all calls that a relay gets at once would be lost. More heartbeats
	// would be much of the few KB a second that a host may use for control.
	waitingHeartbeatAfter = 500 * time.Millisecond
	idleHeartbeatAfter    = 3 * time.Second
	// probeAfter is how long a heartbeat may stay without any byte of the peer until a
	// new connection is opened. With heartbeatAfter it is well below the time after
	// which hosts replace an owner that they cannot reach.
	probeAfter = 200 * time.Millisecond
	// probeGrace is how long the peer may still send on the old connection once it has
	// answered on the new one.
	probeGrace = 100 * time.Millisecond
	// probeInterval is the time between two new connections to a peer that answers on
	// none.
	probeInterval = 1 * time.Second
	// bulkBytes is the number of unacknowledged bytes above which an acknowledgement
	// counts as a sign of life: the peer answers nothing before it has read a large
	// frame, which takes a while on a slow link.
	bulkBytes = 16 << 10
)

// outgoingIdleTimeout closes an outgoing connection without calls, and
// acceptedIdleTimeout one that a peer has opened, if it has sent nothing, nor a heartbeat.
// The latter is longer, since peers of earlier releases send none and should close their
// connections first, so that no call meets a closed one. It bounds the connections whose
// other end is gone.
const (
	outgoingIdleTimeout = 60 * time.Second
	acceptedIdleTimeout = 150 * time.Second
	idleSweepInterval   = 15 * time.Second
)

// activity records when the peer last sent a byte on a connection.
type activity struct {
	reader io.Reader
	begun  time.Time
	// last is the time since begun.
	last atomic.Int64
}

func newActivity(r io.Reader) *activity { return &activity{reader: r, begun: time.Now()} }

// Read reads what the peer has sent.
func (a *activity) Read(p []byte) (int, error) {
	n, err := a.reader.Read(p)
	if n > 0 {
		a.last.Store(int64(time.Since(a.begun)))
	}
	return n, err
}

// lastRead returns when the peer last sent a byte, or when the connection was opened.
func (a *activity) lastRead() time.Time { return a.begun.Add(time.Duration(a.last.Load())) }

// silence is what an outgoing connection knows of a peer that sends nothing. The lock of
// the connection guards it.
type silence struct {
	// timer is the timer of the next check, which is due then; nil before the first one.
	timer *time.Timer
	due   time.Time
	// usedAt is when the last call was made, or when the connection was opened.
	usedAt time.Time
	// calledAt is when the last call was made; zero if none was.
	calledAt time.Time
	// since is when the first call after the peer's last byte was made, or when it last
	// acknowledged a part of a large frame.
	since time.Time
	// heartbeatAt is when a heartbeat was sent, since which the peer has sent nothing;
	// zero if none was.
	heartbeatAt time.Time
	// unacknowledged is the number of bytes at the last check that the peer's system
	// had not acknowledged.
	unacknowledged int
}

// watchSilence begins to watch the connection, if this host has opened it. The calls on
// the others are made by their peers.
func (c *conn) watchSilence() {
	if !c.to.IsValid() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s, now, in := &c.silence, time.Now(), idleHeartbeatAfter
	if s.usedAt.IsZero() {
		s.usedAt = now
	}
	if !s.calledAt.IsZero() {
		in = heartbeatAfter
	}
	c.scheduleCheck(now, in)
}

// noteCall has the connection watched closely, since a call is made. The caller holds the
// lock.
func (c *conn) noteCall() {
	s, now := &c.silence, time.Now()
	if last := c.activity.lastRead(); !s.since.After(last) {
		s.since = now
	}
	s.calledAt, s.usedAt = now, now
	if s.timer != nil && s.due.After(now.Add(heartbeatAfter)) {
		c.scheduleCheck(now, heartbeatAfter)
	}
}

func (c *conn) scheduleCheck(now time.Time, in time.Duration) {
	s := &c.silence
	s.due = now.Add(in)
	if s.timer == nil {
		s.timer = time.AfterFunc(in, c.checkSilence)
		return
	}
	s.timer.Reset(in)
}

// checkSilence sends a heartbeat, or has a new connection opened, if the peer sends
// nothing. It is repeated until the connection is closed. A check that is late, since this
// host had no processor time, only sends a heartbeat.
func (c *conn) checkSilence() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	s, now, last := &c.silence, time.Now(), c.activity.lastRead()
	c.noteAcknowledged(now)
	if last.After(s.since) {
		s.since = last
	}
	if !last.Before(s.heartbeatAt) {
		s.heartbeatAt = time.Time{}
	}
	next := probeInterval
	switch quiet, allowed := now.Sub(s.since), c.allowedSilence(last); {
	case quiet < allowed:
		next = allowed - quiet
	case s.heartbeatAt.IsZero():
		s.heartbeatAt = now
		c.sendHeartbeat()
		next = probeAfter
	case now.Sub(s.heartbeatAt) < probeAfter:
		next = probeAfter - now.Sub(s.heartbeatAt)
	default:
		c.transport.probe(c)
	}
	c.scheduleCheck(now, next)
}

// allowedSilence returns how long the peer may send nothing until a heartbeat is sent. last
// is when it last has. The caller holds the lock.
func (c *conn) allowedSilence(last time.Time) time.Duration {
	waiting, calledAt := len(c.calls) > 0, c.silence.calledAt
	switch {
	case calledAt.After(last), waiting && calledAt.Equal(last):
		return heartbeatAfter
	case waiting:
		return waitingHeartbeatAfter
	default:
		return idleHeartbeatAfter
	}
}

// noteAcknowledged counts it as a sign of life if the peer's system has acknowledged a
// part of a large frame since the last check. The caller holds the lock.
func (c *conn) noteAcknowledged(now time.Time) {
	before := c.silence.unacknowledged
	c.silence.unacknowledged = unacknowledgedBytes(c.raw)
	if before > bulkBytes && c.silence.unacknowledged < before {
		c.silence.since, c.silence.heartbeatAt = now, time.Time{}
	}
}

// sendHeartbeat sends a call that the peer's transport answers at once. Peers of earlier
// releases refuse it, which is an answer too. The caller holds the lock.
func (c *conn) sendHeartbeat() {
	c.lastCall++
	frame, err := encodeFrame(envelope{Call: c.lastCall, Kind: kindHeartbeat})
	if err == nil {
		c.enqueueLocked(outFrame{kind: kindHeartbeat, data: frame})
	}
}

// probe opens a new connection beside one on which the peer sends nothing, unless one
// is being opened. It does not wait.
func (t *Transport) probe(c *conn) {
	t.background.Go(func() { t.replaceSilent(c) })
}

// replaceSilent replaces a connection by a new one if the peer answers on the new one
// and not on the old one. Calls that wait on the old one fail.
func (t *Transport) replaceSilent(c *conn) {
	outgoing := t.outgoingTo(c.to)
	if !outgoing.beginProbe(c) {
		return
	}
	heard := c.activity.lastRead()
	opened, r, err := t.dial(t.ctx, c.to)
	if err == nil {
		t.sleep(probeGrace)
	}
	// What waits in the socket was sent by the peer, and not read, since this host had no
	// processor time.
	silent := c.isClosed() || !c.activity.lastRead().After(heard) && unreadBytes(c.raw) == 0
	if err == nil {
		opened.silence.usedAt = c.lastUsed()
	}
	if err != nil || !silent || !t.addConn(opened) {
		outgoing.endProbe(c, nil)
		if err == nil {
			_ = opened.raw.Close()
		}
		return
	}
	if !outgoing.endProbe(c, opened) {
		opened.close()
		return
	}
	t.log.Info("a silent connection is replaced", zap.String("Peer", c.remote.Name), zap.Stringer("Addr", c.to),
		zap.Duration("Silent", time.Since(heard)))
	c.close()
	opened.run(t.ctx, r)
}

// lastUsed returns when the last call on the connection was made.
func (c *conn) lastUsed() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silence.usedAt
}

// beginProbe reports whether a new connection may be opened beside one. If so, endProbe
// has to follow.
func (o *outgoingConn) beginProbe(c *conn) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.conn != c || o.dialing != nil || o.probing {
		return false
	}
	o.probing = true
	return true
}

// endProbe puts a new connection in place of one, and reports whether it did. It does not
// if opened is nil, or if another one was opened since.
func (o *outgoingConn) endProbe(c, opened *conn) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.probing = false
	if opened == nil || o.conn != c || o.dialing != nil {
		return false
	}
	o.conn = opened
	return true
}

// sweepIdle closes idle connections until the transport is closed.
func (t *Transport) sweepIdle() {
	for t.ctx.Err() == nil {
		t.sleep(idleSweepInterval)
		t.mu.Lock()
		conns := make([]*conn, 0, len(t.conns))
		for c := range t.conns {
			conns = append(conns, c)
		}
		t.mu.Unlock()
		for _, c := range conns {
			c.closeIfIdle()
		}
	}
}

// closeIfIdle closes the connection if nothing was called on it for its timeout.
func (c *conn) closeIfIdle() {
	limit := acceptedIdleTimeout
	c.mu.Lock()
	defer c.mu.Unlock()
	since := c.activity.lastRead()
	if c.to.IsValid() {
		limit, since = outgoingIdleTimeout, c.silence.usedAt
	}
	used := len(c.calls) > 0 || len(c.queue) > 0 || c.serving.Load() > 0
	if !used && time.Since(since) >= limit {
		c.closeLocked()
	}
}

// attach makes a connection of a socket after its hellos.
func (t *Transport) attach(raw net.Conn, a *activity, remote hello) *conn {
	return &conn{
		transport: t, raw: raw, activity: a, wake: make(chan struct{}, 1), calls: make(map[uint64]*pendingCall),
		remote: Host{Name: remote.Name, DataCentre: remote.DataCentre, Incarnation: remote.Incarnation},
	}
}

// readerOf returns a buffered reader that records the activity of the peer.
func readerOf(raw net.Conn) (*activity, *bufio.Reader) {
	a := newActivity(raw)
	return a, bufio.NewReader(a)
}

// outgoingTo returns the entry of an address.
func (t *Transport) outgoingTo(to netip.AddrPort) *outgoingConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	outgoing, ok := t.outgoing[to]
	if !ok {
		outgoing = &outgoingConn{}
		t.outgoing[to] = outgoing
	}
	return outgoing
}
