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

// handoffTimeout bounds the hand-over of everything that a host owns.
const handoffTimeout = 15 * time.Second

// drainable is what the stopper needs of the gateway.
type drainable interface {
	Drain()
	Shutdown(ctx context.Context) error
}

// stoppable is what the stopper needs of the entry host.
type stoppable interface {
	Stop(ctx context.Context) error
}

// stopper ends an incarnation in good order when it is asked to.
type stopper struct {
	gateway drainable
	host    stoppable
	grace   time.Duration
	// maxDeadline is the maxDeadline that a request in progress may last.
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

// run ends the incarnation step by step. The end at once cuts every step short.
func (p *stopper) run() error {
	if p.endCtx.Err() != nil {
		return nil
	}
	p.log.Info("stop begins; the health page has turned", zap.Duration("Grace", p.grace))
	p.gateway.Drain()
	p.pause(p.grace)
	finish, cancel := context.WithTimeout(p.endCtx, p.maxDeadline)
	defer cancel()
	finishErr := p.gateway.Shutdown(finish)
	p.log.Info("requests in progress are finished", zap.Error(finishErr))
	handOver, cancelHandOver := context.WithTimeout(p.endCtx, handoffTimeout)
	defer cancelHandOver()
	err := p.host.Stop(handOver)
	if isFenced(err) {
		// A peer has taken everything over already.
		err = nil
	}
	p.log.Info("everything owned is handed over", zap.Error(err))
	if finishErr != nil {
		return fault.New("stop", KindInterrupted, "requests in progress were cut: %w", finishErr)
	}
	if err != nil {
		return fault.New("stop", KindInterrupted, "the hand-over did not end: %w", err)
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

// Done is closed when the incarnation was ended in good order.
func (p *stopper) Done() <-chan struct{} { return p.done }

// Err tells why the stop was not in good order.
func (p *stopper) Err() error { return p.err }

// hasStarted reports whether a stop has begun. Call it after Done.
func (p *stopper) hasStarted() bool {
	<-p.done
	return p.started
}

// Close waits for a stop that has begun.
func (p *stopper) Close() {
	p.cancel()
	<-p.done
}

// gracefulGateway is a gateway that finishes the requests in progress when the kernel
// closes it, as after a fence. The end at once cuts them.
type gracefulGateway struct {
	*gateway.Gateway
	ctx     context.Context
	timeout time.Duration
}

// Close finishes the requests in progress within the timeout.
func (f *gracefulGateway) Close() {
	ctx, cancel := context.WithTimeout(f.ctx, f.timeout)
	defer cancel()
	_ = f.Shutdown(ctx) // What is left over is cut by the next line.
	f.Gateway.Close()
}
