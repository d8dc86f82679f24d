package owner

import (
	"math"
	"runtime/metrics"
	"time"

	"golang.org/x/sys/unix"
)

const (
	metricCollection = "/cpu/classes/gc/total:cpu-seconds"
	metricQueueDelay = "/sched/latencies:seconds"
	// queueDelayQuantile is the quantile of the run queue delays that is reported.
	queueDelayQuantile = 0.99
)

// processorUsage is the use of the processor by this process since the last sample.
type processorUsage struct {
	used time.Duration
	// collecting is the part of the garbage collector, as of its last cycle.
	collecting time.Duration
	// queueDelay is the 99th percentile of how long goroutines that could run waited
	// for the processor. A call is at least this late.
	queueDelay time.Duration
}

// processorMeter measures the use of the processor by this process.
type processorMeter struct {
	samples    []metrics.Sample
	used       time.Duration
	collecting time.Duration
	// delays has the counts of the run queue delays at the last sample.
	delays []uint64
}

func newProcessorMeter() *processorMeter {
	m := &processorMeter{samples: []metrics.Sample{{Name: metricCollection}, {Name: metricQueueDelay}}}
	m.sample()
	return m
}

// sample returns the use since the last call.
func (m *processorMeter) sample() processorUsage {
	metrics.Read(m.samples)
	used, collecting := processTime(), seconds(m.samples[0].Value.Float64())
	usage := processorUsage{
		used: used - m.used, collecting: collecting - m.collecting,
		queueDelay: m.delaySince(m.samples[1].Value.Float64Histogram()),
	}
	m.used, m.collecting = used, collecting
	return usage
}

// delaySince returns the quantile of the delays that were counted since the last
// sample.
func (m *processorMeter) delaySince(h *metrics.Float64Histogram) time.Duration {
	before := m.delays
	if len(before) != len(h.Counts) {
		before = make([]uint64, len(h.Counts))
	}
	m.delays = append([]uint64(nil), h.Counts...)
	total := uint64(0)
	for i, n := range h.Counts {
		total += n - before[i]
	}
	rank := uint64(math.Ceil(queueDelayQuantile * float64(total)))
	seen := uint64(0)
	for i, n := range h.Counts {
		seen += n - before[i]
		if total > 0 && seen >= rank {
			return seconds(bucketLimit(h, i))
		}
	}
	return 0
}

// bucketLimit returns the finite limit of a bucket that is farther from zero.
func bucketLimit(h *metrics.Float64Histogram, i int) float64 {
	if limit := h.Buckets[i+1]; !math.IsInf(limit, 0) {
		return limit
	}
	return h.Buckets[i]
}

// processTime returns the processor time of this process, or 0 if the system does not
// tell.
func processTime() time.Duration {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
