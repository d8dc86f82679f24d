package peer

import (
	"bufio"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"cicadabarrow.example/cicadabarrow/internal/budget"
	"cicadabarrow.example/cicadabarrow/internal/connlimit"
	"cicadabarrow.example/cicadabarrow/internal/timer"
)

// Limits bounds what the programs that connect to a transport take together. Any program
// that reaches the address can connect and send calls.
type Limits struct {
	// Connections is the number of connections that others have opened.
	Connections int
	// FrameBytes is the number of bytes of frames that are being read or served.
	FrameBytes int64
	// AnswerBytes is the number of bytes of answers that wait to be read by others.
	AnswerBytes int64
}

// unlimited are the limits of a transport without the option WithLimits.
var unlimited = Limits{Connections: math.MaxInt, FrameBytes: math.MaxInt64, AnswerBytes: math.MaxInt64}

// WithLimits sets the limits of a transport.
func WithLimits(l Limits) Option { return func(t *Transport) { t.limits = l } }

const (
	// freeFrameBytes is the size of a frame that counts as part of its connection.
	freeFrameBytes = 4 << 10
	// freeQueueBytes is the length of a queue up to which small answers are queued without
	// regard to those on other connections.
	freeQueueBytes = 64 << 10
	// frameTimeout bounds the time of a larger frame. A sender gives up after writeTimeout.
	frameTimeout = 2 * writeTimeout
	// frameWait is how long a frame waits for bytes.
	frameWait = writeTimeout
	// rejectionLinesPerSecond and rejectionLineBurst limit the log lines on connections
	// that are rejected or closed.
	rejectionLinesPerSecond = 1
	rejectionLineBurst      = 5
	// progressInterval is how often the progress of a connection is recorded. It is well
	// below the time without progress after which a connection gives up its bytes.
	progressInterval = 50 * time.Millisecond
	// maxFlows bounds the number of counted flows. Any program can name a data centre.
	maxFlows = 4096
)

// inbound bounds the connections that others have opened, and the frames on all of them.
type inbound struct {
	log     *zap.Logger
	lines   *rate.Limiter
	closed  tally.Counter
	frames  *budget.Budget
	answers int64

	// queued has the bytes of answers that wait to be written.
	queued atomic.Int64

	mu    sync.Mutex
	table *connlimit.Table[net.Conn]
}

// inboundConn is a connection that another host has opened.
type inboundConn = connlimit.Entry[net.Conn]

func newInbound(l Limits, scope tally.Scope, log *zap.Logger) *inbound {
	used := scope.Gauge("frame_bytes")
	return &inbound{
		log: log, lines: rate.NewLimiter(rejectionLinesPerSecond, rejectionLineBurst), closed: scope.Counter("closed_for_room"),
		frames:  budget.New(l.FrameBytes, timer.NewSystem(), func(bytes int64) { used.Update(float64(bytes)) }),
		answers: l.AnswerBytes, table: connlimit.New[net.Conn](l.Connections),
	}
}

// add admits a connection. If there are too many, it closes the one that has been without
// a complete frame for longest, which may be the new one: its first read then fails.
func (in *inbound) add(raw net.Conn) *inboundConn {
	e := &inboundConn{Value: raw}
	in.mu.Lock()
	in.table.Add(e, time.Now())
	victims := in.table.MakeRoom(e)
	in.mu.Unlock()
	in.close(victims, "too many connections")
	return e
}

// close closes connections to make room.
func (in *inbound) close(victims []*inboundConn, reason string) {
	for _, e := range victims {
		in.closed.Inc(1)
		in.rejected("connection closed to make room", e.Value, zap.String("Reason", reason))
		_ = e.Value.Close()
	}
}

// rejected logs that a connection was rejected or closed, at a limited rate.
func (in *inbound) rejected(message string, raw net.Conn, detail zap.Field) {
	if in.lines.Allow() {
		in.log.Info(message, zap.Stringer("From", raw.RemoteAddr()), detail)
	}
}

// remove forgets a connection. e is nil for one that this host has opened.
func (in *inbound) remove(e *inboundConn) {
	if e == nil {
		return
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	in.table.Remove(e)
}

// noteProgress records that a complete frame has arrived, if none has been recorded lately:
// connections of hosts have hundreds of frames a second.
func (c *conn) noteProgress() {
	if c.inbound == nil {
		return
	}
	now := time.Now()
	if now.Sub(c.progressAt) < progressInterval {
		return
	}
	c.progressAt = now
	in := c.transport.inbound
	in.mu.Lock()
	defer in.mu.Unlock()
	in.table.Prove(c.inbound)
	in.table.Progress(c.inbound, now)
}

func (in *inbound) hold(e *inboundConn, bytes int64) {
	if e == nil {
		return
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	in.table.Hold(e, bytes)
}

// reclaim closes connections whose frame holds bytes without progress.
func (in *inbound) reclaim(needed int64) {
	in.mu.Lock()
	stalled := in.table.Stalled(time.Now(), needed)
	in.mu.Unlock()
	in.close(stalled, "no progress with a frame")
}

// release returns the bytes of a frame that has been served.
func (in *inbound) release(bytes int64) {
	if bytes > 0 {
		in.frames.Release(bytes)
	}
}

// nextFrame reads a frame. It returns its size and the bytes that were reserved for it, to
// be released once it has been served.
func (c *conn) nextFrame(r *bufio.Reader, e *envelope) (size int, reserved int64, err error) {
	in := c.transport.inbound
	size, err = readReservedFrame(r, MaxFrame, e, c)
	reserved, c.reading = c.reading, 0
	if reserved > 0 {
		in.hold(c.inbound, -reserved)
		if err == nil {
			err = c.raw.SetReadDeadline(time.Time{})
		}
	}
	if err != nil {
		in.release(reserved)
		return 0, 0, err
	}
	c.noteProgress()
	return size, reserved, nil
}

// reserver reserves the bytes of a frame before its body is read.
type reserver interface {
	reserve(bytes int) error
}

// reserve reserves the bytes of a frame that is not small, and sets its deadline.
func (c *conn) reserve(bytes int) error {
	if bytes <= freeFrameBytes {
		return nil
	}
	in := c.transport.inbound
	if err := in.frames.Acquire(c.transport.ctx, int64(bytes), frameWait, in.reclaim); err != nil {
		return err
	}
	c.reading = int64(bytes)
	in.hold(c.inbound, c.reading)
	return c.raw.SetReadDeadline(time.Now().Add(frameTimeout))
}

// unreserved is a reserver for hellos, which are small.
type unreserved struct{}

func (unreserved) reserve(int) error { return nil }

// queueAnswer counts the bytes of an answer that is queued on a connection with some bytes
// in its queue. It returns false if others leave too many answers unread. Small answers are
// always queued, so that the hosts still learn of each other.
func (in *inbound) queueAnswer(bytes, queued int64) bool {
	small := bytes <= freeFrameBytes && queued <= freeQueueBytes
	if all := in.queued.Add(bytes); small || all == bytes || all <= in.answers {
		return true
	}
	in.queued.Add(-bytes)
	return false
}

// answered ends the count of answers that have been written or dropped.
func (in *inbound) answered(bytes int64) {
	if bytes > 0 {
		in.queued.Add(-bytes)
	}
}
