package owner

import (
	"context"
	"maps"
	"sync"
	"time"

	"go.uber.org/zap"
)

// callKind is a kind of call to a worker. The values are labels of metrics.
type callKind string

const (
	callStart  callKind = "start"
	callStop   callKind = "stop"
	callPace   callKind = "pace"
	callHold   callKind = "hold"
	callReport callKind = "report"
)

// callKinds holds all kinds of calls.
var callKinds = []callKind{callStart, callStop, callPace, callHold, callReport}

// timeoutCount counts calls that timed out, and those of them during which this host
// had a local delay.
type timeoutCount struct {
	total   int
	delayed int
}

// callStats counts the calls to workers that timed out.
type callStats struct {
	metrics *ownerMetrics

	mu       sync.Mutex
	timeouts map[callKind]timeoutCount
}

func newCallStats(metrics *ownerMetrics) *callStats {
	return &callStats{metrics: metrics, timeouts: make(map[callKind]timeoutCount)}
}

// note counts a call that has ended.
func (s *callStats) note(kind callKind, end callEnd) {
	if !end.timedOut {
		return
	}
	s.metrics.countTimeout(kind, end.delayed > 0)
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.timeouts[kind]
	n.total++
	if end.delayed > 0 {
		n.delayed++
	}
	s.timeouts[kind] = n
}

// counts returns the counts so far.
func (s *callStats) counts() map[callKind]timeoutCount {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.timeouts)
}

// beginCall starts a call to a worker. The caller calls the returned function when
// the call has returned.
func (o *Owner) beginCall(kind callKind, timeout time.Duration) (context.Context, func() callEnd) {
	ctx, call := o.callClock.begin(o.ctx, timeout)
	return ctx, o.noteEnd(kind, call)
}

// beginHold is beginCall for a hold call that waits at its worker.
func (o *Owner) beginHold(wait time.Duration) (context.Context, func() callEnd) {
	ctx, call := o.callClock.beginPoll(o.ctx, wait, holdMargin)
	return ctx, o.noteEnd(callHold, call)
}

// noteEnd returns a function that ends and counts a call.
func (o *Owner) noteEnd(kind callKind, call *timedCall) func() callEnd {
	return func() callEnd {
		end := call.end()
		o.callStats.note(kind, end)
		return end
	}
}

// reportCalls writes the orders of workers that answer and of silent ones to the log,
// and the timeouts of calls and the local delay since the last report, if there are any.
func (o *Owner) reportCalls(now time.Time) {
	answering, silent := o.orders.groups(now)
	o.metrics.orders(answering, silent, o.starts.overdue)
	timeouts, delay := o.callStats.counts(), o.callClock.localDelay()
	before, recent := o.reportedTimeouts, delay-o.reportedDelay
	o.reportedTimeouts, o.reportedDelay = timeouts, delay
	none := groupStats{}
	if maps.Equal(timeouts, before) && recent == 0 && answering == none && silent == none {
		return
	}
	var total, delayed []zap.Field
	for _, kind := range callKinds {
		if n, reported := timeouts[kind], before[kind]; n != reported {
			total = append(total, zap.Int(string(kind), n.total-reported.total))
			delayed = append(delayed, zap.Int(string(kind), n.delayed-reported.delayed))
		}
	}
	o.log.Info("calls to workers", zap.Duration("LocalDelay", recent),
		zap.Dict("Answering", answering.fields()...), zap.Dict("Silent", silent.fields()...),
		zap.Dict("TimedOut", total...), zap.Dict("TimedOutLate", delayed...))
}
