package owner

import "time"

const (
	// initialStartsInFlight is the first limit of starts without a response on a host
	// whose processor share is unknown, and startsInFlightPerCore times the share that on
	// other hosts. minStartsInFlight and maxStartsInFlight bound the limit.
	initialStartsInFlight = 16
	startsInFlightPerCore = 80
	minStartsInFlight     = 8
	maxStartsInFlight     = 512
	startLimitStep        = 16
	// initialOrdersInFlight is the first limit of stops and changes of pace without a
	// response, and minOrdersInFlight and maxOrdersInFlight bound it.
	initialOrdersInFlight = 32
	minOrdersInFlight     = 8
	maxOrdersInFlight     = 256
	orderLimitStep        = 8
	// limitDivisor divides a limit when the host is overloaded, and slowStartFactor
	// multiplies it until then.
	limitDivisor    = 2
	slowStartFactor = 2
	// growthDivisor gives the increase of a limit as a part of it.
	growthDivisor = 4
	// limitHold is the number of ticks after a decrease in which the latencies are
	// still those of calls sent before it.
	limitHold = 3
	// maxLateTicks is the number of ticks for which a late host reaches a limit until the
	// limit grows by one step.
	maxLateTicks = 5
)

// limiter adapts a limit of calls in flight to the load of this host. The limit grows
// exponentially up to the first overload (slow start), and from then on by additive
// increase and multiplicative decrease. Calls to distant workers are in flight for longer, so a
// fixed limit would bound their rate. On an overloaded host, further calls would only
// wait for the processor or the link, and the workers would appear not to respond.
type limiter struct {
	limit int
	// lowest and highest bound the limit, and step is the largest increase at a tick.
	lowest, highest, step int
	// overloaded is set from the first overload on.
	overloaded bool
	// hold is the number of ticks until the limit may fall again, and lateTicks that of
	// the ticks since the last change for which a late host has reached it.
	hold, lateTicks int
}

// newStartLimiter returns the limiter of starts of a host with a processor share, which
// is 0 if it is unknown. A new owner begins with all that has waited for it, so that a
// strong host should not begin like the weakest one.
func newStartLimiter(cores float64) limiter {
	initial := max(initialStartsInFlight, min(int(cores*startsInFlightPerCore), maxStartsInFlight))
	return limiter{limit: initial, lowest: minStartsInFlight, highest: maxStartsInFlight, step: startLimitStep}
}

func newOrderLimiter() limiter {
	return limiter{limit: initialOrdersInFlight, lowest: minOrdersInFlight, highest: maxOrdersInFlight, step: orderLimitStep}
}

// observe takes the load of this host at a tick, the largest number of calls in flight
// since the last tick, and the number of answers. A limit that is not reached stays, and
// without an answer nothing shows that the host can bear more. On a late host it grows
// slowly.
func (l *limiter) observe(load hostLoad, inFlight, answers int) {
	l.hold = max(l.hold-1, 0)
	switch {
	case load == hostOverloaded && l.hold == 0:
		l.overloaded = true
		l.hold = limitHold
		l.limit = max(l.limit/limitDivisor, l.lowest)
		l.lateTicks = 0
	case load >= hostBusy || inFlight < l.limit || answers == 0:
	case load == hostLate && l.lateTicks < maxLateTicks:
		l.lateTicks++
	case load == hostLate || l.overloaded:
		l.limit = min(l.limit+min(l.step, max(l.limit/growthDivisor, 1)), l.highest)
		l.lateTicks = 0
	default:
		l.limit = min(l.limit*slowStartFactor, l.highest)
		l.lateTicks = 0
	}
}

// hostLoad is the load of this host's processor and link.
type hostLoad int

const (
	// hostIdle means that there is capacity for more calls.
	hostIdle hostLoad = iota
	// hostLate means that its timers are late, and that starts do not wait for it. The
	// timers of some hosts are never in time.
	hostLate
	// hostBusy means that there is capacity for the present calls.
	hostBusy
	// hostOverloaded means that calls wait for this host.
	hostOverloaded
)

const (
	// idleTickDelay is the delay of a tick, and local delay between two ticks, below
	// which the host has processor time to spare, and overloadTickDelay the one at
	// which it has too little.
	idleTickDelay     = 10 * time.Millisecond
	overloadTickDelay = 50 * time.Millisecond
	// idleExcess is the median excess latency of starts below which they do not wait
	// for this host, and overloadExcess the one at which they do.
	idleExcess     = 50 * time.Millisecond
	overloadExcess = 100 * time.Millisecond
)

// loadOf returns the load that the delay of a tick and the excess latencies of starts
// show. Starts to single workers that are slow do not change the median.
func loadOf(delay, excess time.Duration) hostLoad {
	switch {
	case delay >= overloadTickDelay || excess >= overloadExcess:
		return hostOverloaded
	case excess > idleExcess:
		return hostBusy
	case delay > idleTickDelay:
		return hostLate
	}
	return hostIdle
}
