package owner

import "time"

const (
	// minStartsInFlight and maxStartsInFlight bound the limit of starts without a
	// response.
	minStartsInFlight = 64
	maxStartsInFlight = 512
	startLimitStep    = 16
	// minOrdersInFlight and maxOrdersInFlight bound the limit of stops and changes of
	// pace without a response.
	minOrdersInFlight = 32
	maxOrdersInFlight = 256
	orderLimitStep    = 8
	// limitDivisor divides a limit when the host is overloaded.
	limitDivisor = 2
	// idleTickDelay is the delay of a tick below which the host has processor time
	// to spare, and overloadTickDelay the delay at which it has too little.
	idleTickDelay     = 10 * time.Millisecond
	overloadTickDelay = 50 * time.Millisecond
)

// limiter adapts a limit of calls in flight to the load of this host (additive
// increase, multiplicative decrease). Calls to distant workers are in flight for
// longer, so a fixed limit would bound their rate. On an overloaded host, further
// calls would only wait for the processor, and the workers would appear not to
// respond.
type limiter struct {
	limit int
	// lowest and highest bound the limit, and step is added to it at a tick.
	lowest, highest, step int
}

func newStartLimiter() limiter {
	return limiter{limit: minStartsInFlight, lowest: minStartsInFlight, highest: maxStartsInFlight, step: startLimitStep}
}

func newOrderLimiter() limiter {
	return limiter{limit: minOrdersInFlight, lowest: minOrdersInFlight, highest: maxOrdersInFlight, step: orderLimitStep}
}

// observe takes the delay with which the event loop received a tick, and the number of
// calls in flight. A limit that is not reached stays.
func (l *limiter) observe(delay time.Duration, inFlight int) {
	switch {
	case delay >= overloadTickDelay:
		l.limit = max(l.limit/limitDivisor, l.lowest)
	case delay <= idleTickDelay && inFlight >= l.limit:
		l.limit = min(l.limit+l.step, l.highest)
	}
}
