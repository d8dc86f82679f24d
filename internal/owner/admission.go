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
	// refusing is the number of refusals when it was last logged.
	refusing int
	loggedAt time.Time
}

// newJobAdmission takes the decision of the predecessor.
func newJobAdmission(now time.Time, inherited admission.Decision) *jobAdmission {
	a := &jobAdmission{limiter: admission.NewLimiter(inherited)}
	a.current.Store(&admissionDecision{inherited, now})
	return a
}

type admissionDecision struct {
	admission.Decision
	at time.Time
}

// Admission returns which new jobs are refused.
func (o *Owner) Admission() admission.Decision {
	if !o.Owns() {
		return admission.Decision{}
	}
	return o.admission.at(o.timers.Now())
}

// at returns the decision that holds at a time.
func (a *jobAdmission) at(now time.Time) admission.Decision {
	d := a.current.Load()
	if now.Sub(d.at) > admissionValidity {
		return admission.Decision{}
	}
	return d.Decision
}

// decideAdmission decides which new jobs are refused, and logs when the number of
// refusals has changed.
func (o *Owner) decideAdmission(now time.Time) {
	if now.Before(o.admission.decideAt) {
		return
	}
	o.admission.decideAt = now.Add(admissionInterval)
	load := o.cell.Load(now)
	decision := o.refuseIfFull(now, o.admission.limiter.Observe(now, load))
	o.admission.current.Store(&admissionDecision{decision, now})
	o.metrics.scope.Gauge("priorities_refused").Update(float64(len(decision.Services)))
	o.metrics.scope.Gauge("accounts_in_excess").Update(float64(len(load.InExcess)))
	refusing := len(decision.Services) + len(decision.Short)
	if refusing == o.admission.refusing || now.Sub(o.admission.loggedAt) < reportInterval {
		return
	}
	o.admission.refusing, o.admission.loggedAt = refusing, now
	o.logAdmission(now, load, decision)
}

// logAdmission logs a decision with the inputs that decided it.
func (o *Owner) logAdmission(now time.Time, load admission.Load, decision admission.Decision) {
	message := "all new jobs are accepted"
	switch {
	case len(decision.Services) > 0:
		message = "new jobs are refused, since the cell cannot keep up"
	case len(decision.Short) > 0:
		message = "new jobs of accounts in excess are refused, since the cell is short of capacity"
	}
	o.log.Warn(message, zap.Any("Refused", decision.Services), zap.Any("Short", decision.Short), zap.Any("InExcess", decision.InExcess), zap.Any("Load", load.Services),
		zap.Float64("StartsPerSecond", o.admission.limiter.Rate(now)), zap.Bool("StartsWait", load.StartsWait), zap.Bool("StartsFail", load.StartsFail))
}
