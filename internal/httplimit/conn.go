package httplimit

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/connlimit"
)

const (
	// freeHeaderBytes is the part of a header that counts as part of its connection.
	freeHeaderBytes = 4 << 10
	// headerCopies is how often net/http holds a header while it reads it: in the line
	// that grows, in the one that it replaces, and as the values of fields.
	headerCopies = 3
	// headerWait is how long a header waits for bytes.
	headerWait = 500 * time.Millisecond
	// headerSlop is what net/http may have read beyond the end of a header.
	headerSlop = 4 << 10
	// writeTimeout bounds the time in which a client takes a part of a response. The
	// responses have less than 4 KB, so that only a client that reads none of many
	// responses reaches it.
	writeTimeout = 10 * time.Second
	// lingerTimeout and lingerBytes bound what is read, and dropped, after a refusal. An
	// unread byte would make the system reset the connection, and the client might not
	// read the refusal.
	lingerTimeout = 500 * time.Millisecond
	lingerBytes   = 512 << 10
	// retrySeconds is the Retry-After of refusals that the connection itself sends.
	retrySeconds = 2
)

// past is a deadline that ends a read at once.
var past = time.Unix(1, 0)

// Conn is the connection of a client.
type Conn struct {
	net.Conn
	guard    *Guard
	openedAt time.Time

	// The lock of the guard guards the following fields.
	phase phase
	entry *connlimit.Entry[*Conn]
	// headerReserved has the bytes that are reserved for the header.
	headerReserved int64
	bodyBytes      int64

	// handled is set once the handler has got the current request.
	handled bool
	// abandoned is set once the rest of the body of the current request is not read.
	abandoned bool
	// servedAt is when the header of the current request was complete.
	servedAt time.Time

	// Only the reading goroutine uses the following fields.
	rules       Rules
	end         headerEnd
	ended       bool
	headerBytes int64
	// deadline is that of the header, or of the wait for one.
	deadline time.Time

	// wireBytes and reads count what has been read of the body of the current request.
	wireBytes, reads int64

	// refused is set once the connection itself has sent a refusal.
	refused atomic.Bool
	// gone is set once the client has closed the connection.
	gone        atomic.Bool
	deadlineMu  sync.Mutex
	interrupted bool
}

// beginIdle prepares for the next request. The caller holds the lock of the guard; the
// reading goroutine calls it.
func (c *Conn) beginIdle(now time.Time, rules Rules) {
	c.rules, c.end, c.ended, c.headerBytes, c.bodyBytes = rules, headerEnd{}, false, 0, 0
	c.deadline = now.Add(rules.IdleTimeout + clientMargin)
}

// Read reads from the client. Before a request is served, it keeps to the limits of
// headers, and sends the refusal itself.
func (c *Conn) Read(p []byte) (int, error) {
	if current := c.currentPhase(); current == phaseServing || current == phaseBody {
		n, err := c.Conn.Read(p)
		c.wireBytes += int64(n)
		c.reads++
		c.noteError(err)
		return n, err
	}
	_ = c.setReadDeadline(c.deadline)
	n, err := c.Conn.Read(p)
	if err != nil {
		c.noteError(err)
		return n, c.headerFailed(err)
	}
	if err := c.countHeader(p[:n]); err != nil {
		return 0, err
	}
	return n, nil
}

func (c *Conn) noteError(err error) {
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.gone.Store(true)
	}
}

func (c *Conn) currentPhase() phase {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	return c.phase
}

// countHeader checks the bytes of a header that have arrived.
func (c *Conn) countHeader(data []byte) error {
	if c.headerBytes == 0 {
		c.beginHeader()
	}
	limit := int64(c.rules.MaxHeaderBytes)
	if c.ended {
		// net/http has not recognized the end yet.
		c.headerBytes += int64(len(data))
		limit += headerSlop
	} else {
		var n int
		n, c.ended = c.end.find(data)
		c.headerBytes += int64(n)
	}
	if c.headerBytes > limit {
		return c.refuse(reasonHeaderTooLarge, statusHeaderTooLarge)
	}
	if c.headerBytes > freeHeaderBytes && c.headerReserved == 0 {
		return c.reserveHeader()
	}
	return nil
}

// beginHeader begins a header when its first byte has arrived.
func (c *Conn) beginHeader() {
	g := c.guard
	now := g.timers.Now()
	rules := g.config.Rules().orDefaults()
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.phase == phaseIdle {
		c.rules = rules
		c.deadline = now.Add(rules.HeaderTimeout + clientMargin)
		g.table.Progress(c.entry, now)
	}
	g.setPhase(c, phaseHeader)
}

// reserveHeader reserves the memory of a header that is longer than most.
func (c *Conn) reserveHeader() error {
	g := c.guard
	bytes := int64(c.rules.MaxHeaderBytes) * headerCopies
	if err := g.bodies.Acquire(context.Background(), bytes, headerWait, g.reclaim); err != nil {
		return c.refuse(reasonBodyBytes, statusUnavailable)
	}
	g.hold(c, bytes)
	g.mu.Lock()
	defer g.mu.Unlock()
	c.headerReserved = bytes
	return nil
}

// headerFailed handles a failed read before a request is served.
func (c *Conn) headerFailed(err error) error {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	c.guard.mu.Lock()
	stalled, phase := c.entry.Stalled(), c.phase
	c.guard.mu.Unlock()
	switch {
	case phase == phaseClosing:
		return err
	case stalled:
		return c.refuse(reasonStalled, statusUnavailable)
	case phase == phaseIdle || phase == phaseNew:
		c.note(reasonIdle)
		return err
	}
	return c.refuse(reasonHeaderTooSlow, statusTooSlow)
}

const (
	statusHeaderTooLarge = http.StatusRequestHeaderFieldsTooLarge
	statusTooSlow        = http.StatusRequestTimeout
	statusUnavailable    = http.StatusServiceUnavailable
)

// refuse sends a refusal to a client whose request has not been read, and returns an error
// for which net/http sends nothing.
func (c *Conn) refuse(why reason, status int) error {
	c.setPhase(phaseClosing)
	if why != reasonStalled {
		c.note(why)
	}
	c.writeRefusal(status)
	c.refused.Store(true)
	return &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: errRefused}
}

var errRefused = errors.New("the request was refused")

// writeRefusal writes a response without a body. It does not wait for the client.
func (c *Conn) writeRefusal(status int) {
	retry := ""
	if status == http.StatusServiceUnavailable {
		retry = fmt.Sprintf("Retry-After: %d\r\n", retrySeconds)
	}
	_ = c.SetWriteDeadline(time.Now().Add(lingerTimeout))
	_, _ = fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\n%sConnection: close\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status), retry)
}

func (c *Conn) note(why reason) {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.guard.refusals.add(c.guard.timers.Now(), c, why)
}

func (c *Conn) setPhase(p phase) {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.guard.setPhase(c, p)
}

// Write writes a part of a response. After a refusal it writes nothing: net/http answers
// 400 if the header ends within a line.
func (c *Conn) Write(p []byte) (int, error) {
	if c.refused.Load() {
		return 0, errRefused
	}
	_ = c.SetWriteDeadline(c.writeDeadline())
	return c.Conn.Write(p)
}

func (c *Conn) writeDeadline() time.Time {
	deadline := time.Now().Add(writeTimeout)
	total := c.guard.config.ResponseTimeout
	if total == 0 {
		return deadline
	}
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	if end := c.servedAt.Add(total); end.Before(deadline) {
		return end
	}
	return deadline
}

// SetReadDeadline sets the deadline of reads while a request is served. Before that, the
// connection sets its own, and what net/http sets has no effect.
func (c *Conn) SetReadDeadline(t time.Time) error {
	switch c.currentPhase() {
	case phaseServing, phaseBody:
		return c.setReadDeadline(t)
	case phaseNew, phaseHeader, phaseIdle, phaseClosing, phaseClosed, phases:
	}
	return nil
}

func (c *Conn) setReadDeadline(t time.Time) error {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	if c.interrupted {
		t = past
	}
	return c.Conn.SetReadDeadline(t)
}

// interrupt ends all reads from the client.
func (c *Conn) interrupt() {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	c.interrupted = true
	_ = c.Conn.SetReadDeadline(past)
}

// Close closes the connection. After a refusal it first reads, for a short time, what the
// client still sends.
func (c *Conn) Close() error {
	g := c.guard
	g.mu.Lock()
	// net/http itself has refused a header that it cannot parse.
	malformed := c.phase == phaseHeader || c.phase == phaseServing && !c.handled
	linger := (c.phase == phaseClosing || malformed || c.abandoned) && !c.gone.Load() && !g.closed
	if linger {
		g.setPhase(c, phaseClosing)
	}
	g.mu.Unlock()
	if linger {
		c.linger()
	}
	g.mu.Lock()
	g.setPhase(c, phaseClosed)
	g.mu.Unlock()
	return c.Conn.Close()
}

// linger reads and drops what the client sends until it closes the connection.
func (c *Conn) linger() {
	_ = c.CloseWrite()
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	buffer, _ := lingerBuffers.Get().(*[]byte)
	defer lingerBuffers.Put(buffer)
	for total := 0; total < lingerBytes; {
		n, err := c.Conn.Read(*buffer)
		if err != nil {
			return
		}
		total += n
	}
}

var lingerBuffers = sync.Pool{New: func() any {
	buffer := make([]byte, headerSlop)
	return &buffer
}}

// CloseWrite tells the client that no more will be sent.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}
