// Package daemon runs an entry host as a process of its own, as its settings
// say.
//
// Daemon runs one incarnation of the entry host after the other: when a peer
// has fenced the host, it starts again under a new name. Each incarnation is a
// kernel whose services find each other by name. Stop ends the last one in good
// order, so that no request in progress is cut.
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

// Kind tells why a daemon could not start or had to end.
type Kind string

const (
	// KindSettings means that the settings name something that cannot be had,
	// such as a file or an address.
	KindSettings Kind = "settings"
	// KindInterrupted means that a stop ran out of time and cut requests in progress.
	KindInterrupted Kind = "cut"
)

// Error is the error of this package.
type Error = fault.Error[Kind]

// restartDelay is the wait before a fenced host starts again.
const restartDelay = 500 * time.Millisecond

// Daemon is an entry host as a process.
type Daemon struct {
	settings    settings.Settings
	keys        gateway.Keys
	certificate *tls.Config
	metrics     http.Handler
	scope       tally.Scope
	timers      timer.Service
	log         *zap.Logger

	// stop begins the end in good order, end the one at once.
	stop, end    context.CancelFunc
	stopCtx      context.Context
	endCtx       context.Context
	done         chan struct{}
	err          error
	closeMetrics func()
	incarnations tally.Counter
}

// New starts the daemon. An error of KindSettings tells what the settings name
// that cannot be had.
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

// run runs one incarnation after the other until one ends for good.
func (d *Daemon) run(l *incarnation, log *zap.Logger) error {
	for {
		err := l.wait()
		if !isFenced(err) {
			return err
		}
		d.log.Warn("a peer has fenced this host; it starts again as a new incarnation", zap.Error(err))
		if !d.pause(restartDelay) {
			return nil
		}
		if l, err = d.newIncarnation(log); err != nil {
			return err
		}
	}
}

func isFenced(err error) bool { return fault.Is(err, entry.KindNotOwner) }

// pause waits and reports false when the daemon is stopped first.
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

// Stop begins to end the daemon in good order: the health page turns, the
// balancer's grace passes, requests in progress are finished, and everything
// that the host owns is handed over.
func (d *Daemon) Stop() { d.stop() }

// Done is closed when the daemon has ended.
func (d *Daemon) Done() <-chan struct{} { return d.done }

// Err tells why the daemon ended; nil after a stop in good order.
func (d *Daemon) Err() error {
	<-d.done
	return d.err
}

// Close ends the daemon at once and cuts the requests in progress.
func (d *Daemon) Close() {
	d.end()
	<-d.done
}
