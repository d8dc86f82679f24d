package command

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/host"
	"cicadabarrow.example/cicadabarrow/internal/httplimit"
	"cicadabarrow.example/cicadabarrow/internal/peer"
	"cicadabarrow.example/cicadabarrow/internal/settings"
	"cicadabarrow.example/cicadabarrow/internal/timer"
	"cicadabarrow.example/cicadabarrow/platform"
)

const (
	// pageConnections is the number of connections of the servers for the balancer and for
	// operators. A balancer keeps a few, and a reader of metrics one.
	pageConnections = 32
	// pageHeaderBytes is the limit of a header there. Browsers send less than 2 KB.
	pageHeaderBytes   = 8 << 10
	pageHeaderTimeout = 5 * time.Second
	// pageIdleTimeout is longer than the intervals of usual health checks and readers of
	// metrics, of which most are 5 to 60 s.
	pageIdleTimeout = 2 * time.Minute
	// pageTimeout bounds a request with its response, which may have megabytes.
	pageTimeout = 15 * time.Second
	// pageBytes is for the headers of the connections.
	pageBytes = 512 << 10
	// pagesAtOnce is the number of pages that are made and sent at the same time. A page
	// takes up to some megabytes.
	pagesAtOnce = 4
)

const (
	// peerShare is the share of the descriptors for connections that other hosts have
	// opened, and minPeerConnections and maxPeerConnections bound their number. The
	// deployments have up to 39 hosts, of which each opens one connection, and one more for
	// a while when one of them is lost. More would only hold bytes that are not read yet.
	peerShare          = 0.125
	minPeerConnections = 64
	maxPeerConnections = 128
	// frameShare and answerShare are the shares of the memory for messages of other hosts
	// that are larger than a few kilobytes, and for answers that they have not read.
	frameShare  = 0.08
	answerShare = 0.05
)

// peerLimits returns the limits of what other programs send to the address for peers.
func peerLimits(s settings.Host) peer.Limits {
	memory := float64(s.MemoryMB) * megabyte
	return peer.Limits{
		Connections: min(max(int(peerShare*float64(httplimit.Sockets(s.MaxFiles))), minPeerConnections), maxPeerConnections),
		FrameBytes:  int64(memory * frameShare),
		AnswerBytes: int64(memory * answerShare),
	}
}

// guardedServer is an HTTP server whose clients are not trusted.
type guardedServer struct {
	*http.Server
	guard *httplimit.Guard
	// abandon ends the contexts of all requests.
	abandon context.CancelFunc
}

func newGuardedServer(guard *httplimit.Guard, handler http.Handler, log *zap.Logger) guardedServer {
	server := guard.NewServer(handler)
	server.ErrorLog, _ = zap.NewStdLogAt(log, zap.WarnLevel)
	requests, abandon := context.WithCancel(context.Background())
	server.BaseContext = func(net.Listener) context.Context { return requests }
	return guardedServer{Server: server, guard: guard, abandon: abandon}
}

// answerTimeout is how long requests that are abandoned have for their answer.
const answerTimeout = 500 * time.Millisecond

// shutDown stops the server. Requests in progress are finished until the context ends; those
// that are left are abandoned, so that their clients learn what is known of the outcome.
func (s guardedServer) shutDown(ctx context.Context) error {
	if s.Shutdown(ctx) == nil {
		return nil
	}
	s.abandon()
	answers, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	return s.Shutdown(answers)
}

// newClientServer returns the server of the requests of clients.
func newClientServer(s settings.Host, h *host.Host, timers timer.Service, scope tally.Scope, log *zap.Logger) guardedServer {
	log = log.Named("clients")
	config := httplimit.Config{
		Limits: httplimit.NewLimits(s.MemoryMB, s.MaxFiles),
		Rules:  func() httplimit.Rules { return platform.ConnectionRules(h.Manifest()) },
	}
	log.Info("limits of clients", zap.Any("Limits", config.Limits))
	guard := httplimit.New(config, timers, scope.SubScope("clients"), log)
	return newGuardedServer(guard, platform.NewIngress(h, guard), log)
}

// newPageServer returns the server of pages for the balancer or for operators.
func newPageServer(name string, handler http.Handler, timers timer.Service, scope tally.Scope, log *zap.Logger) guardedServer {
	log = log.Named(name)
	rules := httplimit.Rules{MaxHeaderBytes: pageHeaderBytes, HeaderTimeout: pageHeaderTimeout, IdleTimeout: pageIdleTimeout}
	guard := httplimit.New(httplimit.Config{
		Limits:          httplimit.Limits{Connections: pageConnections, BodyBytes: pageBytes},
		Rules:           func() httplimit.Rules { return rules },
		ResponseTimeout: pageTimeout,
	}, timers, scope.SubScope(name), log)
	return newGuardedServer(guard, guard.WithoutBodies(handler), log)
}

// actor returns an actor that runs the server.
func (s guardedServer) actor(addr netip.AddrPort) (execute func() error, interrupt func(error)) {
	return httpActor(s.Server, func() (net.Listener, error) { return s.guard.Listen(addr) })
}
