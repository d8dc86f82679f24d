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
	// maxQueuesLogged bounds the queues that a log line names.
	maxQueuesLogged = 8
)

// jobAdmission holds the decision which new jobs are refused.
type jobAdmission struct {
	limiter *admission.Limiter
	// decideAt is when the next decision is due.
	decideAt time.Time
	current  atomic.Pointer[admissionDecision]
	// refusing is the number of queues that refused jobs when it was last logged.
	refusing int
	loggedAt time.Time
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

// decideAdmission decides which new jobs are refused, and logs when the number of
// queues that refuse jobs has changed.
func (o *Owner) decideAdmission(now time.Time) {
	if now.Before(o.admission.decideAt) {
		return
	}
	o.admission.decideAt = now.Add(admissionInterval)
	load := o.cell.Load(now)
	decision := o.admission.limiter.Observe(now, load)
	o.admission.current.Store(&admissionDecision{decision, now})
	refusing := len(decision.Queues)
	if decision.LongRunning > 0 {
		refusing++
	}
	o.metrics.scope.Gauge("queues_refusing").Update(float64(refusing))
	if refusing == o.admission.refusing || now.Sub(o.admission.loggedAt) < reportInterval {
		return
	}
	o.admission.refusing, o.admission.loggedAt = refusing, now
	o.logAdmission(load, decision)
}

// logAdmission logs a decision with the inputs that decided it.
func (o *Owner) logAdmission(load admission.Load, decision admission.Decision) {
	message := "new jobs of all queues are accepted"
	if o.admission.refusing > 0 {
		message = "new jobs are refused, since the cell cannot keep up"
	}
	queues := min(len(decision.Queues), maxQueuesLogged)
	most := load.LongRunning
	for _, d := range load.Queues {
		if d.Delayed && d.Tasks >= most.Tasks {
			most = d
		}
	}
	o.log.Warn(message, zap.Int("Refusing", o.admission.refusing), zap.Any("Queues", decision.Queues[:queues]),
		zap.Duration("LongRunning", decision.LongRunning), zap.Float64("StartsPerSecond", o.admission.limiter.Rate()),
		zap.Bool("Delayed", most.Delayed), zap.Int("TasksAhead", most.Tasks), zap.Int("LongRunningAhead", load.LongRunning.Tasks))
}
