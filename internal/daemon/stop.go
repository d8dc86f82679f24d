package daemon

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/gateway"
	"cicadabarrow.example/cicadabarrow/internal/settings"
	"cicadabarrow.example/cicadabarrow/internal/timer"
)

// handoffTimeout is the timeout for the handoff of everything that a host owns.
const handoffTimeout = 15 * time.Second

// drainable is the part of the gateway that the stopper uses.
type drainable interface {
	FailHealthCheck()
	Shutdown(ctx context.Context) error
}

// stoppable is the part of the entry host that the stopper uses.
type stoppable interface {
	Stop(ctx context.Context) error
}

// stopper stops an incarnation gracefully once its stopCtx is done.
type stopper struct {
	gateway drainable
	host    stoppable
	grace   time.Duration
	// maxDeadline is the longest time that a request in progress may take.
	maxDeadline time.Duration
	timers      timer.Service
	log         *zap.Logger

	stopCtx context.Context
	endCtx  context.Context
	cancel  context.CancelFunc
	done    chan struct{}
	started bool
	err     error
}

func newStopper(
	stop, end context.Context, g drainable, host stoppable, s settings.Settings, timers timer.Service, log *zap.Logger,
) *stopper {
	p := &stopper{
		gateway: g, host: host, grace: s.BalancerGrace, maxDeadline: s.Limits.MaxDeadline, timers: timers,
		log: log.Named("daemon"), stopCtx: stop, endCtx: end, done: make(chan struct{}),
	}
	var waiting context.Context
	waiting, p.cancel = context.WithCancel(end)
	go func() {
		defer close(p.done)
		select {
		case <-p.stopCtx.Done():
			p.started = true
			p.err = p.run()
		case <-waiting.Done():
		}
	}()
	return p
}

// run performs the steps of a graceful stop. Each step ends early once endCtx is
// done.
func (p *stopper) run() error {
	if p.endCtx.Err() != nil {
		return nil
	}
	p.log.Info("graceful stop begins; the health page reports that the host is leaving", zap.Duration("Grace", p.grace))
	p.gateway.FailHealthCheck()
	p.pause(p.grace)
	shutdownCtx, cancel := context.WithTimeout(p.endCtx, p.maxDeadline)
	defer cancel()
	shutdownErr := p.gateway.Shutdown(shutdownCtx)
	if shutdownErr == nil {
		p.log.Info("requests in progress are finished")
	} else {
		p.log.Warn("requests in progress were interrupted", zap.Error(shutdownErr))
	}
	handoffCtx, cancelHandoff := context.WithTimeout(p.endCtx, handoffTimeout)
	defer cancelHandoff()
	err := p.host.Stop(handoffCtx)
	if isFenced(err) {
		// A peer has already taken over everything that this host owned.
		err = nil
	}
	if err == nil {
		p.log.Info("everything owned is handed over")
	} else {
		p.log.Warn("the handoff to other hosts did not complete", zap.Error(err))
	}
	if shutdownErr != nil {
		return fault.New("stop", KindInterrupted, "requests in progress were interrupted: %w", shutdownErr)
	}
	if err != nil {
		return fault.New("stop", KindInterrupted, "the handoff to other hosts did not complete: %w", err)
	}
	return nil
}

func (p *stopper) pause(wait time.Duration) {
	sub := p.timers.After(wait)
	defer sub.Stop()
	select {
	case <-sub.C:
	case <-p.endCtx.Done():
	}
}

// Done is closed when a graceful stop has ended, or when none can begin any more.
func (p *stopper) Done() <-chan struct{} { return p.done }

// Err returns why a graceful stop did not complete.
func (p *stopper) Err() error { return p.err }

// waitStarted waits for Done and reports whether a graceful stop has started.
func (p *stopper) waitStarted() bool {
	<-p.done
	return p.started
}

// Close prevents a stop that has not begun, and waits for one that has.
func (p *stopper) Close() {
	p.cancel()
	<-p.done
}

// gracefulGateway is a gateway that finishes the requests in progress when the
// kernel closes it, for instance after the host was fenced. An immediate stop of
// the daemon interrupts them.
type gracefulGateway struct {
	*gateway.Gateway
	ctx     context.Context
	timeout time.Duration
}

// Close finishes the requests in progress within the timeout.
func (g *gracefulGateway) Close() {
	ctx, cancel := context.WithTimeout(g.ctx, g.timeout)
	defer cancel()
	_ = g.Shutdown(ctx) // The next line interrupts the requests that are left.
	g.Gateway.Close()
}
