// Package gateway serves the HTTP API of an entry host: callers send requests
// and jobs to it, and operators and teams edit the plan through it.
//
// A Gateway serves one entry host until it is shut down or closed. Before a
// graceful stop, FailHealthCheck makes the health page fail, so that the
// platform's balancer sends no more requests.
package gateway

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/labstack/echo/v4/middleware"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/api"
	"cicadabarrow.example/cicadabarrow/internal/burn"
	"cicadabarrow.example/cicadabarrow/internal/credential"
	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/message"
	"cicadabarrow.example/cicadabarrow/internal/plan"
	"cicadabarrow.example/cicadabarrow/internal/platform"
)

// Requests executes callers' requests.
type Requests interface {
	Do(ctx context.Context, r message.Request) message.Answer
	// NewKey returns a new idempotency key, for one request and its repeats.
	NewKey() (string, error)
}

// Jobs submits, lists and cancels jobs, and lists and cordons workers.
type Jobs interface {
	Submit(ctx context.Context, s job.Spec) message.Submitted
	Status(ctx context.Context, id string) (message.JobStatus, error)
	List(ctx context.Context, dataCentre string, q message.JobQuery) ([]message.JobStatus, error)
	Cancel(ctx context.Context, dataCentre string, c message.Cancel) ([]string, error)
	Workers(ctx context.Context, dataCentre string) ([]message.WorkerStatus, error)
	Cordon(ctx context.Context, dataCentre string, c message.Cordon) error
	DataCentres() []string
}

// Plans returns and edits the plan.
type Plans interface {
	Edit(ctx context.Context, e plan.Edit) (plan.AcceptedEdit, error)
	// Book returns the host's replica of the plan.
	Book() *plan.Replica
	History(ctx context.Context, team string) ([]plan.HistoryEntry, error)
}

// Statuses returns the status of the entry hosts, and the names of those that
// cannot be reached.
type Statuses interface {
	Statuses(ctx context.Context) (reached []message.StatusAnswer, unreached []string)
}

// BurnReporter gathers the report on the burn of error budgets.
type BurnReporter interface {
	Burn(ctx context.Context) burn.Report
}

// Hosts returns the hosts of the platform's host list.
type Hosts interface {
	All() []platform.Host
}

// Keys returns the identity that a bearer key belongs to.
type Keys interface {
	Lookup(bearer string) (credential.Identity, bool)
}

// Limits holds the limits of a request.
type Limits struct {
	// MaxBody is the maximum size of a body in bytes.
	MaxBody         int64
	MaxDeadline     time.Duration
	DefaultDeadline time.Duration
}

// Services holds what the gateway calls to serve requests, and its metrics. It
// has nothing to do with the plan's services, whose requests are forwarded.
type Services struct {
	Requests     Requests
	Jobs         Jobs
	Plans        Plans
	Statuses     Statuses
	BurnReporter BurnReporter
	Hosts        Hosts
	// Metrics serves the metrics page; it may be nil.
	Metrics http.Handler
	// Scope records the gateway's own metrics; it may be nil.
	Scope tally.Scope
}

// Gateway is the HTTP server of one entry host.
type Gateway struct {
	services Services
	keys     Keys
	limits   Limits
	log      *zap.Logger
	server   *http.Server
	unready  atomic.Bool
	active   atomic.Int64
	// shutdownMu is read-locked during Shutdown, so that Done is closed only after
	// Shutdown has returned.
	shutdownMu sync.RWMutex
	done       chan struct{}
	err        error
}

const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 16 << 10
)

// New returns a gateway that serves on the listener. With a nil certificate it
// serves plain HTTP.
func New(
	services Services, keys Keys, limits Limits, listen net.Listener, certificate *tls.Config, log *zap.Logger,
) *Gateway {
	g := &Gateway{
		services: services, keys: keys, limits: limits, log: log.Named("gateway"), done: make(chan struct{}),
	}
	router := echo.New()
	router.HideBanner, router.HidePort = true, true
	router.HTTPErrorHandler = g.handleError
	router.Use(g.recordMetrics, middleware.Recover(), g.countActive)
	g.route(router)
	g.server = &http.Server{
		Handler: router, TLSConfig: certificate, MaxHeaderBytes: maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
	}
	if certificate != nil {
		listen = tls.NewListener(listen, certificate)
	}
	go func() {
		defer close(g.done)
		if err := g.server.Serve(listen); !errors.Is(err, http.ErrServerClosed) {
			g.err = err
		}
		// Serve returns as soon as Shutdown begins, so wait until it has ended.
		g.shutdownMu.Lock()
		defer g.shutdownMu.Unlock()
	}()
	return g
}

func (g *Gateway) route(r *echo.Echo) {
	r.GET("/health", g.health)
	if g.services.Metrics != nil {
		r.GET("/metrics", echo.WrapHandler(g.services.Metrics))
	}
	bodyLimit := middleware.BodyLimitWithConfig(middleware.BodyLimitConfig{Limit: byteLimit(g.limits.MaxBody)})
	r.Any("/v1/services/:service/*", g.serveRequest, bodyLimit, g.authenticate)
	v1 := r.Group("/v1", bodyLimit, g.authenticate, g.withDefaultDeadline)
	v1.GET("/key", g.issueIdempotencyKey)
	v1.POST("/jobs", g.submit)
	v1.GET("/jobs", g.listJobs)
	v1.GET("/jobs/:id", g.jobStatus)
	v1.POST("/cancel", g.cancel)
	v1.GET("/workers", g.listWorkers)
	v1.POST("/workers/:name/drain", g.cordonWorker(stateDraining))
	v1.POST("/workers/:name/quarantine", g.cordonWorker(stateQuarantined))
	v1.GET("/upstreams", g.listUpstreams)
	v1.GET("/plan", g.getPlan)
	v1.GET("/plan/:team", g.getSection)
	v1.PUT("/plan/:team", g.editSection)
	v1.POST("/plan/:team/check", g.checkSection)
	v1.GET("/plan/:team/history", g.sectionHistory)
	v1.GET("/plan-status", g.planStatus)
	v1.GET("/report/burn", g.burnReport)
}

// countActive counts the requests in progress. Once the health check fails, it
// also sets the header Connection: close on each response.
func (g *Gateway) countActive(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		g.active.Add(1)
		defer g.active.Add(-1)
		if g.unready.Load() {
			// The connection is closed after its response, so that no client
			// sends another request on it after the server has stopped.
			c.Response().Header().Set(echo.HeaderConnection, "close")
		}
		return next(c)
	}
}

// withDefaultDeadline bounds the calls of operators and teams by the default
// deadline.
func (g *Gateway) withDefaultDeadline(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		ctx, cancel := context.WithTimeout(c.Request().Context(), g.limits.DefaultDeadline)
		defer cancel()
		c.SetRequest(c.Request().WithContext(ctx))
		return next(c)
	}
}

func (g *Gateway) health(c echo.Context) error {
	if g.unready.Load() {
		return c.String(http.StatusServiceUnavailable, "leaving\n")
	}
	return c.String(http.StatusOK, "ok\n")
}

// FailHealthCheck makes the health page report that the host is leaving. Requests
// are still served, but their connections are closed after the response.
func (g *Gateway) FailHealthCheck() { g.unready.Store(true) }

// Active returns the number of requests in progress.
func (g *Gateway) Active() int64 { return g.active.Load() }

// Shutdown stops accepting connections and waits for the requests in progress.
func (g *Gateway) Shutdown(ctx context.Context) error {
	g.shutdownMu.RLock()
	defer g.shutdownMu.RUnlock()
	g.FailHealthCheck()
	return g.server.Shutdown(ctx)
}

// Done is closed when the gateway has stopped serving.
func (g *Gateway) Done() <-chan struct{} { return g.done }

// Err returns the error that ended the gateway; nil after Shutdown or Close.
func (g *Gateway) Err() error { return g.err }

// Close stops the gateway immediately and interrupts the requests in progress.
func (g *Gateway) Close() {
	_ = g.server.Close()
	<-g.done
}

// handleError answers requests that echo refuses and handlers that return an
// error. The outcome of a handler that failed or panicked is unknown, since it may
// have forwarded the request before.
func (g *Gateway) handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	var he *echo.HTTPError
	status, text, outcome := http.StatusInternalServerError, "internal error", message.OutcomeUnknown
	if errors.As(err, &he) {
		status, text, outcome = he.Code, http.StatusText(he.Code), message.OutcomeNotRun
	} else {
		g.log.Error("request failed", zap.String("Path", c.Path()), zap.Error(err))
	}
	c.Response().Header().Set(api.HeaderOutcome, string(outcome))
	_ = c.JSON(status, api.Error{Kind: errorKind(status), Message: text})
}
