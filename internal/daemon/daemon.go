// Package daemon runs an entry host as a process, according to its settings.
//
// A Daemon runs an entry host as a sequence of incarnations: when a peer fences
// one, the daemon starts the next. Each incarnation has a kernel, in which its
// services are looked up by name. Stop stops the current incarnation gracefully,
// so that no request in progress is interrupted.
package daemon

import (
	"context"
	"crypto/tls"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/entry"
	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/gateway"
	"cicadabarrow.example/cicadabarrow/internal/metrics"
	"cicadabarrow.example/cicadabarrow/internal/settings"
	"cicadabarrow.example/cicadabarrow/internal/timer"
)

// Kind is the kind of an error that prevents a daemon from starting or that makes
// it end.
type Kind string

const (
	// KindSettings means that something that the settings name is unavailable,
	// such as a file or an address.
	KindSettings Kind = "settings"
	// KindInterrupted means that a graceful stop timed out: requests in progress
	// were interrupted, or the handoff of the owned units was.
	KindInterrupted Kind = "cut"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// restartDelay is the time before a fenced host starts again.
const restartDelay = 500 * time.Millisecond

// Daemon is an entry host that runs as a process.
type Daemon struct {
	settings    settings.Settings
	keys        gateway.Keys
	certificate *tls.Config
	metrics     http.Handler
	scope       tally.Scope
	timers      timer.Service
	log         *zap.Logger

	// stop begins a graceful stop and end an immediate one, for Stop and Close.
	// stopCtx and endCtx are the contexts that they cancel.
	stop, end    context.CancelFunc
	stopCtx      context.Context
	endCtx       context.Context
	done         chan struct{}
	err          error
	closeMetrics func()
	incarnations tally.Counter
}

// New starts a daemon. An error of KindSettings names the setting whose file or
// address is unavailable.
func New(s settings.Settings, timers timer.Service, log *zap.Logger) (*Daemon, error) {
	keys, err := s.Keys()
	if err != nil {
		return nil, fault.New("start", KindSettings, "KeysFile: %w", err)
	}
	certificate, err := loadCertificate(s.TLS)
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		settings: s, keys: keys, certificate: certificate, timers: timers, log: log.Named("daemon"),
		done: make(chan struct{}),
	}
	page := metrics.New()
	d.scope, d.metrics, d.closeMetrics = page.Scope, page.Handler, page.Close
	d.incarnations = d.scope.SubScope("entry").Counter("incarnations")
	d.endCtx, d.end = context.WithCancel(context.Background())
	d.stopCtx, d.stop = context.WithCancel(d.endCtx)
	first, err := d.newIncarnation(log)
	if err != nil {
		d.end()
		d.closeMetrics()
		return nil, err
	}
	go func() {
		defer close(d.done)
		defer d.closeMetrics()
		d.err = d.run(first, log)
	}()
	return d, nil
}

func loadCertificate(files settings.TLS) (*tls.Config, error) {
	if files.IsZero() {
		return nil, nil
	}
	pair, err := tls.LoadX509KeyPair(files.CertFile, files.KeyFile)
	if err != nil {
		return nil, fault.New("start", KindSettings, "TLS: %w", err)
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{pair}}, nil
}

// run runs one incarnation after the other, until one ends without having been
// fenced.
func (d *Daemon) run(inc *incarnation, log *zap.Logger) error {
	for {
		err := inc.wait()
		if !isFenced(err) {
			return err
		}
		d.log.Warn("a peer has fenced this host; it starts again as a new incarnation", zap.Error(err))
		if !d.pause(restartDelay) {
			return nil
		}
		if inc, err = d.newIncarnation(log); err != nil {
			return err
		}
	}
}

// isFenced reports whether an entry host ended because a peer has fenced it. That
// is the only way in which it ends with KindNotOwner.
func isFenced(err error) bool { return fault.Is(err, entry.KindNotOwner) }

// pause waits. It returns false if the daemon is stopped before the time is over.
func (d *Daemon) pause(wait time.Duration) bool {
	sub := d.timers.After(wait)
	defer sub.Stop()
	select {
	case <-sub.C:
		return true
	case <-d.stopCtx.Done():
		return false
	}
}

// Stop begins a graceful stop: the health page reports that the host is leaving,
// the balancer's grace period passes, requests in progress are finished, and
// everything that the host owns is handed over to other hosts.
func (d *Daemon) Stop() { d.stop() }

// Done is closed when the daemon has stopped.
func (d *Daemon) Done() <-chan struct{} { return d.done }

// Err waits for the end of the daemon and returns its cause; nil after a graceful
// stop.
func (d *Daemon) Err() error {
	<-d.done
	return d.err
}

// Close stops the daemon immediately and interrupts the requests in progress.
func (d *Daemon) Close() {
	d.end()
	<-d.done
}
