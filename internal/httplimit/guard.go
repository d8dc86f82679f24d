package httplimit

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"cicadabarrow.example/cicadabarrow/internal/timer"
)

// Rules bounds one connection. They may change at any time; a connection follows those in
// force when a header begins.
type Rules struct {
	MaxHeaderBytes int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Defaults of Rules, for what a manifest does not set.
const (
	// DefaultHeaderBytes is four times what the deployments allow.
	DefaultHeaderBytes = 64 << 10
	// DefaultHeaderTimeout is longer than that of the deployments, 3 s.
	DefaultHeaderTimeout = 5 * time.Second
	// DefaultIdleTimeout is longer than that of the deployments, 15 s.
	DefaultIdleTimeout = time.Minute
)

// orDefaults returns the rules with defaults in place of zeros.
func (r Rules) orDefaults() Rules {
	if r.MaxHeaderBytes <= 0 {
		r.MaxHeaderBytes = DefaultHeaderBytes
	}
	if r.HeaderTimeout <= 0 {
		r.HeaderTimeout = DefaultHeaderTimeout
	}
	if r.IdleTimeout <= 0 {
		r.IdleTimeout = DefaultIdleTimeout
	}
	return r
}

const (
	// newShare is the share of the connections that clients without a completed request
	// may have together. The rest is for clients that complete their requests.
	newShare = 0.75
	// keptNewShare is the share that such clients keep when others take the rest, so that
	// a new client can be served at all.
	keptNewShare = 0.25
	// endingShare is how many connections, beyond the limit and as a share of it, may be
	// closed whose goroutine has not ended. net/http takes up to 0.5 s for some.
	endingShare = 0.25

	// overheadPerSecond and overheadBurst limit what the framing of bodies takes of the
	// processor: the bytes of chunk headers, and readBytes for each call that reads from
	// a connection. A chunk of one byte has 5 bytes of framing and takes about 0.1 us, so
	// that this is 2% of a core. A single body of 256 KB in such chunks is within the burst.
	overheadPerSecond = 1 << 20
	overheadBurst     = 2 << 20
	readBytes         = 256

	// serverHeaderBytes is the limit of net/http, which cannot change while it serves. It
	// is above any limit of a manifest.
	serverHeaderBytes = 16 << 20
)

// Config holds the limits of a Guard.
type Config struct {
	Limits
	// Rules returns the rules in force.
	Rules func() Rules
	// ResponseTimeout bounds the time from the end of a header to the end of the response;
	// 0 means that there is no bound besides that of each write.
	ResponseTimeout time.Duration
}

// Guard bounds what the clients of one HTTP server take. It is safe for concurrent use.
type Guard struct {
	config   Config
	timers   timer.Service
	overhead *rate.Limiter
	// bodies has the bytes of headers and bodies, and decoded those of decoded requests. A
	// request reserves decoded bytes last, so that those who hold them wait for no others.
	bodies  *Budget
	decoded *Budget
	metrics guardMetrics

	mu       sync.Mutex
	refusals *refusalLog
	// ended is signaled when the goroutine of a connection has ended.
	ended *sync.Cond
	// open counts the descriptors, and serving the goroutines of connections.
	open, serving int
	// unproven counts the open connections that have not completed a request.
	unproven int
	// fresh and proven have the connections that may be closed, those longest without
	// progress first: without and with a completed request.
	fresh, proven list.List
	// holders has those of them that hold bytes.
	holders list.List
	closed  bool
}

type guardMetrics struct {
	states [phases]tally.Gauge
	counts [phases]int
}

// New returns a guard for one server.
func New(config Config, timers timer.Service, scope tally.Scope, log *zap.Logger) *Guard {
	g := &Guard{
		config: config, timers: timers, overhead: rate.NewLimiter(overheadPerSecond, overheadBurst),
		bodies: NewBudget(config.BodyBytes, timers), decoded: NewBudget(config.DecodedBytes, timers),
		refusals: newRefusalLog(scope, log),
	}
	g.ended = sync.NewCond(&g.mu)
	for p := range phaseClosed {
		g.metrics.states[p] = scope.Tagged(map[string]string{"state": p.String()}).Gauge("connections")
	}
	bodies, decoded := scope.Gauge("body_bytes"), scope.Gauge("decoded_bytes")
	g.bodies.changed = func(used int64) { bodies.Update(float64(used)) }
	g.decoded.changed = func(used int64) { decoded.Update(float64(used)) }
	return g
}

type connKey struct{}

// NewServer returns a server whose connections are those of Listen.
func (g *Guard) NewServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: g.handled(handler), MaxHeaderBytes: serverHeaderBytes,
		ConnState: func(conn net.Conn, state http.ConnState) {
			if c, ok := conn.(*Conn); ok {
				g.stateChanged(c, state)
			}
		},
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, conn)
		},
	}
}

// handled returns a handler that notes that it has got a request.
func (g *Guard) handled(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*Conn); ok {
			g.mu.Lock()
			c.handled = true
			g.mu.Unlock()
		}
		handler.ServeHTTP(w, r)
	})
}

// stateChanged follows the server through the requests of a connection.
func (g *Guard) stateChanged(c *Conn, state http.ConnState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch state {
	case http.StateActive:
		if c.phase == phaseNew || c.phase == phaseHeader || c.phase == phaseIdle {
			c.handled, c.servedAt = false, g.timers.Now()
			g.setPhase(c, phaseServing)
			g.progress(c)
		}
	case http.StateIdle:
		g.release(c)
		if !c.proven && c.phase != phaseClosed {
			c.proven = true
			g.unproven--
		}
		c.beginIdle(g.timers.Now(), g.config.Rules().orDefaults())
		g.progress(c)
		g.setPhase(c, phaseIdle)
	case http.StateClosed, http.StateHijacked:
		g.release(c)
		g.drop(c)
		g.serving--
		g.ended.Broadcast()
	case http.StateNew:
	}
}

// release returns the bytes that a connection has reserved for its header. The caller
// holds the lock.
func (g *Guard) release(c *Conn) {
	if c.headerReserved > 0 {
		g.bodies.Release(c.headerReserved)
		c.held -= c.headerReserved
		c.headerReserved = 0
	}
}

// setPhase moves a connection to a phase. The caller holds the lock.
func (g *Guard) setPhase(c *Conn, p phase) {
	if c.phase == phaseClosed {
		return
	}
	g.count(c.phase, -1)
	g.count(p, +1)
	c.phase = p
	g.unlist(c)
	if p.closable() {
		g.enlist(c)
	}
}

func (g *Guard) count(p phase, change int) {
	if p == phaseClosed {
		return
	}
	g.metrics.counts[p] += change
	g.metrics.states[p].Update(float64(g.metrics.counts[p]))
}

// enlist lists a connection as one that may be closed. The caller holds the lock.
func (g *Guard) enlist(c *Conn) {
	c.queue = &g.fresh
	if c.proven {
		c.queue = &g.proven
	}
	if c.phase == phaseClosing {
		c.element = c.queue.PushFront(c)
		return
	}
	c.element = c.queue.PushBack(c)
	if c.held > 0 {
		c.holder = g.holders.PushBack(c)
	}
}

// unlist removes a connection from the lists. The caller holds the lock.
func (g *Guard) unlist(c *Conn) {
	if c.element != nil {
		c.queue.Remove(c.element)
		c.element = nil
	}
	if c.holder != nil {
		g.holders.Remove(c.holder)
		c.holder = nil
	}
}

// progress records that a connection has made progress. The caller holds the lock.
func (g *Guard) progress(c *Conn) {
	c.progressAt = g.timers.Now()
	if c.element != nil {
		c.queue.MoveToBack(c.element)
	}
	if c.holder != nil {
		g.holders.MoveToBack(c.holder)
	}
}

// drop forgets a connection whose descriptor is closed. The caller holds the lock.
func (g *Guard) drop(c *Conn) {
	if c.phase == phaseClosed {
		return
	}
	g.setPhase(c, phaseClosed)
	g.open--
	if !c.proven {
		g.unproven--
	}
}

// Connections returns the number of open connections.
func (g *Guard) Connections() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open
}

// HeldBytes returns the reserved bytes of headers and bodies.
func (g *Guard) HeldBytes() int64 { return g.bodies.Used() }
