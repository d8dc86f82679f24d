// Package metrics provides the root metrics scope of a process and the HTTP
// handler that exposes its metrics.
package metrics

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"
)

const (
	prefix = "cicadabarrow"
	// reportInterval is the interval at which the scope reports its counters to
	// the Prometheus registry.
	reportInterval = time.Second
)

// Exporter collects the metrics of a process and exposes them over HTTP.
type Exporter struct {
	// Scope is the root scope, in which the packages of the process create
	// their metrics.
	Scope tally.Scope
	// Handler serves the metrics in the Prometheus text format.
	Handler http.Handler
	// Close stops the reporting.
	Close func()
}

// New returns an exporter that includes the collectors of the Go runtime and of
// the process.
func New() Exporter {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	reporter := promreporter.NewReporter(promreporter.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: prefix, CachedReporter: reporter, Separator: promreporter.DefaultSeparator,
		SanitizeOptions: &promreporter.DefaultSanitizerOpts,
	}, reportInterval)
	return Exporter{Scope: scope, Handler: reporter.HTTPHandler(), Close: func() { _ = closer.Close() }}
}

// LatencyBuckets returns the buckets of all latency histograms.
func LatencyBuckets() tally.Buckets {
	return tally.DurationBuckets{
		time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
		50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond, time.Second,
		2 * time.Second, 5 * time.Second, 10 * time.Second, 30 * time.Second, time.Minute,
	}
}
