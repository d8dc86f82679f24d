package host

import (
	"github.com/uber-go/tally/v4"

	"cicadabarrow.example/cicadabarrow/internal/metrics"
)

// hostMetrics are the metrics of a host's monitoring of the owner.
type hostMetrics struct {
	// ping is the time until the owner answers a ping.
	ping tally.Histogram
	// suspicions counts how often the owner was suspected.
	suspicions tally.Counter
	// delay is how late the timers of this host fired at most in the last second.
	delay tally.Gauge
}

func newHostMetrics(scope tally.Scope) hostMetrics {
	scope = scope.SubScope("host")
	return hostMetrics{
		ping: scope.Histogram("owner_ping", metrics.LatencyBuckets()), suspicions: scope.Counter("owner_suspicions"),
		delay: scope.Gauge("delay_seconds"),
	}
}
