package owner

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/admission"
)

const (
	// admissionInterval is how often it is decided which new jobs are refused.
	admissionInterval = 200 * time.Millisecond
	// admissionValidity is how long a decision holds. An owner whose event loop does
	// not run decides nothing new, and refuses nothing.
	admissionValidity = time.Second
)

// jobAdmission holds the decision which new jobs are refused.
type jobAdmission struct {
	limiter *admission.Limiter
	// decideAt is when the next decision is due.
	decideAt time.Time
	current  atomic.Pointer[admissionDecision]
}

type admissionDecision struct {
	admission.Decision
	at time.Time
}

// Admission returns which new jobs are refused.
func (o *Owner) Admission() admission.Decision {
	d := o.admission.current.Load()
	if d == nil || o.timers.Now().Sub(d.at) > admissionValidity || !o.Owns() {
		return admission.Decision{}
	}
	return d.Decision
}

// decideAdmission decides which new jobs are refused, and logs each change.
func (o *Owner) decideAdmission(now time.Time) {
	if now.Before(o.admission.decideAt) {
		return
	}
	o.admission.decideAt = now.Add(admissionInterval)
	load := o.cell.Load(now)
	before := o.Admission()
	after := o.admission.limiter.Observe(now, load)
	o.admission.current.Store(&admissionDecision{after, now})
	for _, d := range load.Queues {
		o.logAdmission(before, after, d, false)
	}
	o.logAdmission(before, after, load.LongRunning, true)
	refusing := len(after.Queues)
	if after.LongRunning > 0 {
		refusing++
	}
	o.metrics.scope.Gauge("queues_refusing").Update(float64(refusing))
}

func (o *Owner) logAdmission(before, after admission.Decision, d admission.Demand, longRunning bool) {
	_, refused := before.RetryAfter(d.Queue, longRunning)
	retry, refuses := after.RetryAfter(d.Queue, longRunning)
	if refused == refuses {
		return
	}
	message := "new jobs are accepted again"
	if refuses {
		message = "new jobs are refused, since the cell cannot keep up"
	}
	o.log.Warn(message, zap.String("Queue", d.Queue), zap.Bool("LongRunning", longRunning), zap.Int("TasksAhead", d.Tasks),
		zap.Float64("StartsPerSecond", o.admission.limiter.Rate()), zap.Bool("Delayed", d.Delayed), zap.Duration("RetryAfter", retry))
}
