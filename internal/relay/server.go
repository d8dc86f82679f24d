package relay

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/message"
	"cicadabarrow.example/cicadabarrow/internal/peer"
	"cicadabarrow.example/cicadabarrow/internal/permit"
	"cicadabarrow.example/cicadabarrow/internal/timer"
)

const (
	// maxHolds and maxOrders bound the calls that are made at the same time. They
	// are apart, so that no number of orders delays a renewal.
	maxHolds  = 512
	maxOrders = 256
	// maxTimeout bounds the timeout of a call.
	maxTimeout = 5 * time.Second
)

// Server makes the calls of the owner to workers.
type Server struct {
	workers    Workers
	permission permission
	// holds and orders hold an element for each call in progress.
	holds   chan struct{}
	orders  chan struct{}
	specs   *specCache
	metrics serverMetrics
}

// serverMetrics counts the calls by outcome.
type serverMetrics struct {
	made    tally.Counter
	refused tally.Counter
	failed  tally.Counter
}

// NewServer returns a server without a permission.
func NewServer(workers Workers, clock timer.Clock, scope tally.Scope) *Server {
	scope = scope.SubScope("relay_server")
	outcome := func(name string) tally.Counter {
		return scope.Tagged(map[string]string{"outcome": name}).Counter("calls")
	}
	return &Server{
		workers: workers, permission: permission{clock: clock}, specs: newSpecCache(),
		holds: make(chan struct{}, maxHolds), orders: make(chan struct{}, maxOrders),
		metrics: serverMetrics{made: outcome("answered"), refused: outcome("refused"), failed: outcome("failed")},
	}
}

// Grant extends the owner's permission. sent is the reading of timer.Clock.Latest when
// the ping was sent to which the owner answered.
func (s *Server) Grant(epoch uint64, sent time.Time, remaining time.Duration) {
	s.permission.grant(epoch, sent, remaining)
}

// Hold makes a hold call. An error means that the call was certainly not sent.
func (s *Server) Hold(ctx context.Context, m message.WorkerHold) (message.WorkerReport, error) {
	var out message.WorkerReport
	err := s.make(ctx, s.holds, m.WorkerCall, &out.WorkerResult, func(ctx context.Context) (err error) {
		out.Report, err = s.workers.Hold(ctx, m.Request, m.Epoch)
		return err
	})
	return out, err
}

// Start makes a start. An error means that the call was certainly not sent.
func (s *Server) Start(ctx context.Context, m message.WorkerStart) (message.WorkerStarted, error) {
	var out message.WorkerStarted
	if err := s.check(m.WorkerCall); err != nil {
		s.metrics.refused.Inc(1)
		return out, err
	}
	if !s.specs.complete(ctx, &m) {
		out.Failure, out.Outcome.NotSent = message.WorkerNeedsSpec, true
		return out, nil
	}
	err := s.make(ctx, s.orders, m.WorkerCall, &out.WorkerResult, func(ctx context.Context) (err error) {
		out.Outcome, err = s.workers.Start(ctx, m.Addr, m.Start, m.Epoch)
		return err
	})
	return out, err
}

// Stop makes a stop. An error means that the call was certainly not sent.
func (s *Server) Stop(ctx context.Context, m message.WorkerStop) (message.WorkerDone, error) {
	var out message.WorkerDone
	err := s.make(ctx, s.orders, m.WorkerCall, &out.WorkerResult, func(ctx context.Context) (err error) {
		out.Clock, err = s.workers.Stop(ctx, m.Addr, m.Stop, m.Epoch)
		return err
	})
	return out, err
}

// SetPace sets a pace. An error means that the call was certainly not sent.
func (s *Server) SetPace(ctx context.Context, m message.WorkerPace) (message.WorkerDone, error) {
	var out message.WorkerDone
	err := s.make(ctx, s.orders, m.WorkerCall, &out.WorkerResult, func(ctx context.Context) error {
		return s.workers.SetPace(ctx, m.Addr, m.Pace, m.Epoch)
	})
	return out, err
}

// make makes a call if there is a permission and a free slot, and stores its result.
func (s *Server) make(
	ctx context.Context, slots chan struct{}, to message.WorkerCall, result *message.WorkerResult,
	call func(context.Context) error,
) error {
	if err := s.admit(slots, to); err != nil {
		s.metrics.refused.Inc(1)
		return err
	}
	defer func() { <-slots }()
	var sent atomic.Bool
	ctx, cancel := context.WithTimeout(ctx, min(to.Timeout, maxTimeout))
	defer cancel()
	err := call(permit.With(ctx, func() error {
		err := s.permission.verify(to.Epoch)
		if err == nil {
			sent.Store(true)
		}
		return err
	}))
	switch {
	case err == nil:
		s.metrics.made.Inc(1)
		return nil
	case errors.Is(err, cell.ErrFenced):
		result.Failure = message.WorkerFenced
	case !sent.Load():
		result.Failure = message.WorkerNotSent
	default:
		result.Failure = message.WorkerSilent
	}
	s.metrics.failed.Inc(1)
	result.Error = err.Error()
	return nil
}

// check returns why a call is refused if it is malformed or not permitted.
func (s *Server) check(to message.WorkerCall) error {
	if !to.Addr.IsValid() || to.Timeout <= 0 {
		return fault.New("relay", KindRefused, "address %v, timeout %v", to.Addr, to.Timeout)
	}
	return s.permission.verify(to.Epoch)
}

// admit takes a slot, or returns why the call is refused.
func (s *Server) admit(slots chan struct{}, to message.WorkerCall) error {
	if err := s.check(to); err != nil {
		return err
	}
	select {
	case slots <- struct{}{}:
		return nil
	default:
		return fault.New("relay", KindRefused, "%d calls in progress: %w", cap(slots), peer.ErrBusy)
	}
}
