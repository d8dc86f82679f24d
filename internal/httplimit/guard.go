package httplimit

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"cicadabarrow.example/cicadabarrow/internal/budget"
	"cicadabarrow.example/cicadabarrow/internal/connlimit"
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

// clientMargin is added to the timeouts of clients, who count from when they send: to the
// latency between regions, 20 ms, and to the time for which a busy host does not read.
const clientMargin = 500 * time.Millisecond

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
	bodies  *budget.Budget
	decoded *budget.Budget
	metrics guardMetrics

	mu       sync.Mutex
	refusals *refusalLog
	// ended is signaled when the goroutine of a connection has ended.
	ended *sync.Cond
	// table has the connections whose descriptor is open, and serving counts those whose
	// goroutine has not ended.
	table   *connlimit.Table[*Conn]
	serving int
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
		bodies:   newBudget(config.BodyBytes, timers, scope.Gauge("body_bytes")),
		decoded:  newBudget(config.DecodedBytes, timers, scope.Gauge("decoded_bytes")),
		refusals: newRefusalLog(scope, log), table: connlimit.New[*Conn](config.Connections),
	}
	g.ended = sync.NewCond(&g.mu)
	for p := range phaseClosed {
		g.metrics.states[p] = scope.Tagged(map[string]string{"state": p.String()}).Gauge("connections")
	}
	return g
}

func newBudget(total int64, timers timer.Service, used tally.Gauge) *budget.Budget {
	return budget.New(total, timers, func(bytes int64) { used.Update(float64(bytes)) })
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
			g.table.Progress(c.entry, g.timers.Now())
		}
	case http.StateIdle:
		g.release(c)
		now := g.timers.Now()
		c.beginIdle(now, g.config.Rules().orDefaults())
		c.abandoned = false
		g.table.Prove(c.entry)
		g.table.Progress(c.entry, now)
		g.setPhase(c, phaseIdle)
	case http.StateClosed, http.StateHijacked:
		g.release(c)
		g.setPhase(c, phaseClosed)
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
		g.table.Hold(c.entry, -c.headerReserved)
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
	switch p {
	case phaseNew, phaseHeader, phaseBody, phaseIdle:
		g.table.SetClosable(c.entry, true)
	case phaseServing:
		g.table.SetClosable(c.entry, false)
	case phaseClosing:
		g.table.CloseNext(c.entry)
	case phaseClosed, phases:
		g.table.Remove(c.entry)
	}
}

func (g *Guard) count(p phase, change int) {
	if p == phaseClosed {
		return
	}
	g.metrics.counts[p] += change
	g.metrics.states[p].Update(float64(g.metrics.counts[p]))
}

// Connections returns the number of open connections.
func (g *Guard) Connections() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Open()
}

// reclaim refuses requests that hold bytes without progress, for a request that needs some.
func (g *Guard) reclaim(needed int64) {
	now := g.timers.Now()
	g.mu.Lock()
	stalled := g.table.Stalled(now, needed)
	for _, e := range stalled {
		g.refusals.add(now, e.Value, reasonStalled)
	}
	g.mu.Unlock()
	for _, e := range stalled {
		e.Value.interrupt()
	}
}

// hold records that a connection has reserved bytes of headers and bodies.
func (g *Guard) hold(c *Conn, bytes int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.Hold(c.entry, bytes)
}

// HeldBytes returns the reserved bytes of headers and bodies.
func (g *Guard) HeldBytes() int64 { return g.bodies.Used() }
