package owner

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/metrics"
)

// ownerMetrics are the metrics of an owner. Only the event loop may use them, except
// for orderWaits, timeouts and renewals.
type ownerMetrics struct {
	scope    tally.Scope
	accounts *accountMetrics
	stages   map[stageKey]tally.Histogram
	commit   tally.Histogram
	starts   tally.Counter
	// renewals counts the renewals of the owner's row without a batch.
	renewals tally.Counter
	// orderWaits holds, for each kind of order, the histogram of the time in the
	// order queue, and timeouts the counters of the calls that timed out. The
	// goroutines of the calls use them concurrently.
	orderWaits map[callKind]tally.Histogram
	timeouts   map[timeoutKey]tally.Counter
}

// timeoutKey identifies a counter of timeouts.
type timeoutKey struct {
	kind callKind
	// delayed is set for the calls during which this host had a local delay.
	delayed bool
}

type stageKey struct {
	stage cell.Stage
	queue string
}

func newOwnerMetrics(scope tally.Scope) *ownerMetrics {
	scope = scope.SubScope("owner")
	waits := make(map[callKind]tally.Histogram)
	for _, kind := range []callKind{callStop, callPace} {
		waits[kind] = scope.Tagged(map[string]string{"kind": string(kind)}).Histogram("order_wait", metrics.LatencyBuckets())
	}
	return &ownerMetrics{
		orderWaits: waits, timeouts: timeoutCounters(scope),
		scope: scope, stages: make(map[stageKey]tally.Histogram),
		commit: scope.Histogram("commit", metrics.LatencyBuckets()), starts: scope.Counter("starts"),
		renewals: scope.Counter("renewals"), accounts: newAccountMetrics(scope),
	}
}

func timeoutCounters(scope tally.Scope) map[timeoutKey]tally.Counter {
	counters := make(map[timeoutKey]tally.Counter)
	for _, kind := range callKinds {
		for _, delayed := range []bool{false, true} {
			tags := map[string]string{"kind": string(kind), "late_host": strconv.FormatBool(delayed)}
			counters[timeoutKey{kind, delayed}] = scope.Tagged(tags).Counter("call_timeouts")
		}
	}
	return counters
}

// countTimeout counts a call that timed out.
func (m *ownerMetrics) countTimeout(kind callKind, delayed bool) {
	m.timeouts[timeoutKey{kind, delayed}].Inc(1)
}

// Observe records the duration of a stage.
func (m *ownerMetrics) Observe(stage cell.Stage, queue string, took time.Duration) {
	key := stageKey{stage, queue}
	h, ok := m.stages[key]
	if !ok {
		tags := map[string]string{"stage": string(stage), "queue": queue}
		h = m.scope.Tagged(tags).Histogram("stage", metrics.LatencyBuckets())
		m.stages[key] = h
	}
	h.RecordDuration(took)
}

// Count counts an event of the cell.
func (m *ownerMetrics) Count(counter cell.Counter) { m.scope.Counter(string(counter)).Inc(1) }

func (m *ownerMetrics) backlog(b cell.Backlog) {
	m.scope.Gauge("jobs_open").Update(float64(b.Jobs))
	m.scope.Gauge("steps_waiting").Update(float64(b.Steps))
	m.scope.Gauge("tasks_waiting").Update(float64(b.Tasks))
	m.scope.Gauge("workers_usable").Update(float64(b.Workers))
	m.scope.Gauge("milli_cores_free").Update(float64(b.FreeMilliCores))
	m.scope.Gauge("questions_open").Update(float64(b.Questions))
	m.scope.Gauge("starts_in_line").Update(float64(b.DispatchQueueLen))
	m.scope.Gauge("records_waiting").Update(float64(b.Records))
	m.scope.Gauge("interfering_pairs").Update(float64(b.InterferingPairs))
}

// load updates the gauges of the event loop and its queues.
func (m *ownerMetrics) load(l load, eventsWaiting, ordersWaiting int) {
	m.scope.Gauge("working_seconds").Update(l.busy.Seconds())
	m.scope.Gauge("longest_round_seconds").Update(l.longest.Seconds())
	m.scope.Gauge("events_waiting").Update(float64(eventsWaiting))
	m.scope.Gauge("orders_waiting").Update(float64(ordersWaiting))
	for a, spent := range l.spent {
		m.scope.Tagged(map[string]string{"on": string(a)}).Gauge("working_on_seconds").Update(spent.Seconds())
	}
}

// processor updates the gauges of the processor time of this process.
func (m *ownerMetrics) processor(u processorUsage) {
	m.scope.Gauge("processor_seconds").Update(u.used.Seconds())
	m.scope.Gauge("garbage_collection_seconds").Update(u.collecting.Seconds())
	m.scope.Gauge("run_queue_delay_seconds").Update(u.queueDelay.Seconds())
}

// orders updates the gauges of the orders to workers that answer and to silent ones, and
// of overdue starts.
func (m *ownerMetrics) orders(answering, silent groupStats, startsOverdue int) {
	m.scope.Gauge("starts_overdue").Update(float64(startsOverdue))
	m.scope.Gauge("orders_in_flight").Update(float64(answering.inFlight))
	m.scope.Gauge("orders_overdue").Update(float64(answering.overdue))
	m.scope.Gauge("silent_orders_waiting").Update(float64(silent.waiting))
	m.scope.Gauge("silent_orders_in_flight").Update(float64(silent.inFlight))
	m.scope.Gauge("oldest_order_seconds").Update(answering.oldest.Seconds())
	m.scope.Gauge("oldest_silent_order_seconds").Update(silent.oldest.Seconds())
}

// observeOrderWait records how long an order was queued.
func (m *ownerMetrics) observeOrderWait(kind callKind, waited time.Duration) {
	m.orderWaits[kind].RecordDuration(waited)
}
