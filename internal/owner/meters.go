package owner

import (
	"time"

	"github.com/uber-go/tally/v4"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/metrics"
)

// meters are the owner's figures. Only the duty uses them, but for orderWaits.
type meters struct {
	scope  tally.Scope
	stages map[stageKey]tally.Histogram
	commit tally.Histogram
	starts tally.Counter
	// orderWaits has for each kind of call to a worker how long it waited to be
	// sent. Calls use them beside the duty.
	orderWaits map[string]tally.Histogram
}

type stageKey struct {
	stage cell.Stage
	queue string
}

func newMeters(scope tally.Scope) *meters {
	scope = scope.SubScope("owner")
	waits := make(map[string]tally.Histogram)
	for _, kind := range []string{orderStop, orderPace} {
		waits[kind] = scope.Tagged(map[string]string{"kind": kind}).Histogram("order_wait", metrics.Latencies())
	}
	return &meters{
		orderWaits: waits,
		scope:      scope, stages: make(map[stageKey]tally.Histogram),
		commit: scope.Histogram("commit", metrics.Latencies()), starts: scope.Counter("starts"),
	}
}

// Observe takes in how long a stage took.
func (m *meters) Observe(stage cell.Stage, queue string, took time.Duration) {
	key := stageKey{stage, queue}
	h, ok := m.stages[key]
	if !ok {
		tags := map[string]string{"stage": string(stage), "queue": queue}
		h = m.scope.Tagged(tags).Histogram("stage", metrics.Latencies())
		m.stages[key] = h
	}
	h.RecordDuration(took)
}

func (m *meters) backlog(b cell.Backlog) {
	m.scope.Gauge("jobs_open").Update(float64(b.Jobs))
	m.scope.Gauge("steps_waiting").Update(float64(b.Steps))
	m.scope.Gauge("tasks_waiting").Update(float64(b.Tasks))
	m.scope.Gauge("workers_usable").Update(float64(b.Workers))
	m.scope.Gauge("milli_cores_free").Update(float64(b.FreeMilliCores))
	m.scope.Gauge("questions_open").Update(float64(b.Questions))
	m.scope.Gauge("starts_in_line").Update(float64(b.DispatchQueueLen))
	m.scope.Gauge("records_waiting").Update(float64(b.Records))
}

// load shows what the duty did in the last second and what waits for it.
func (m *meters) load(l load, eventsWaiting, ordersWaiting int) {
	m.scope.Gauge("working_seconds").Update(l.working.Seconds())
	m.scope.Gauge("longest_round_seconds").Update(l.longest.Seconds())
	m.scope.Gauge("events_waiting").Update(float64(eventsWaiting))
	m.scope.Gauge("orders_waiting").Update(float64(ordersWaiting))
}

// waitedToSend takes in how long a call to a worker waited until it was sent.
func (m *meters) waitedToSend(kind string, waited time.Duration) {
	m.orderWaits[kind].RecordDuration(waited)
}
