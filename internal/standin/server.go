package standin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"go.uber.org/zap"
)

const (
	// headerTimeout bounds the time to read a request's header.
	headerTimeout = 10 * time.Second
	// closeTimeout bounds the time for which Close waits for calls in progress.
	closeTimeout = 2 * time.Second
)

// Server serves a deployment over HTTP. The adapters in internal/platform are its
// clients.
type Server struct {
	deployment *Deployment
	log        *zap.Logger
	http       *http.Server
	done       chan struct{}
	err        error
	closeOnce  sync.Once
}

// NewServer serves a deployment on a listener until Close. It closes the
// listener.
func NewServer(d *Deployment, listener net.Listener, log *zap.Logger) *Server {
	s := &Server{deployment: d, log: log.Named("standin"), done: make(chan struct{})}
	router := echo.New()
	router.HideBanner, router.HidePort = true, true
	router.HTTPErrorHandler = s.handleError
	s.route(router)
	s.http = &http.Server{Handler: router, ReadHeaderTimeout: headerTimeout}
	go func() {
		defer close(s.done)
		if err := s.http.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			s.err = err
			s.log.Error("server failed", zap.Error(err))
		}
	}()
	return s
}

func (s *Server) route(router *echo.Echo) {
	router.GET("/table/rows", s.rows)
	router.POST("/table/commit", s.commit)
	router.GET("/objects/:name", s.getObject)
	router.PUT("/objects/:name", s.putObject)
	router.DELETE("/objects/:name", s.deleteObject)
	router.GET("/hosts", s.hosts)
	router.POST("/workers/:name/start", s.start)
	router.POST("/workers/:name/report", s.report)
	router.POST("/workers/:name/stop", s.stop)
	router.Any("/upstreams/:name/run/*", s.run)
	router.GET("/upstreams/:name/status", s.status)
	router.POST("/faults", s.fault)
	router.GET("/audit", s.audit)
}

// Done returns a channel that is closed when the server has stopped.
func (s *Server) Done() <-chan struct{} { return s.done }

// Err waits until the server has stopped and returns the reason, nil after Close.
func (s *Server) Err() error {
	<-s.done
	return s.err
}

// Close stops the server. It waits for calls in progress, for closeTimeout at
// most.
func (s *Server) Close() {
	s.closeOnce.Do(func() {
		ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
		defer cancel()
		if err := s.http.Shutdown(ctx); err != nil {
			s.log.Warn("calls in progress were aborted", zap.Error(err))
			_ = s.http.Close() // Its error cannot be handled any further.
		}
	})
	<-s.done
}
