package experiment

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/account"
	"cicadabarrow.example/cicadabarrow/internal/admission"
	"cicadabarrow.example/cicadabarrow/internal/cell"
)

const (
	// admissionInterval is how often the owner decides which new jobs are refused, and
	// admissionDelay how much later hosts know the decision.
	admissionInterval = 200 * time.Millisecond
	admissionDelay    = 400 * time.Millisecond
)

// simulatedAdmission decides which new jobs are refused. It refuses none while its
// limiter is nil.
type simulatedAdmission struct {
	limiter *admission.Limiter
	// known is the decision that the hosts know.
	known admission.Decision
}

func newSimulatedAdmission() simulatedAdmission {
	return simulatedAdmission{limiter: admission.NewLimiter(admission.Decision{})}
}

// decideAdmission takes a decision now, and again every admissionInterval.
func (s *simulation) decideAdmission(now time.Time) {
	decision := s.admission.limiter.Observe(now, s.cell.Load(now))
	s.scheduleAfter(now, admissionDelay, func(time.Time) { s.admission.known = decision })
	s.events.add(now.Add(admissionInterval), s.decideAdmission)
}

// refuses reports whether the hosts refuse a job. They refuse one that never fits under
// the cap of its account always.
func (s *simulation) refuses(a cell.AcceptedJob) bool {
	if account.CanFit(a.Account, &a.Job) != nil {
		return true
	}
	j := admission.Job{
		Service: a.Queue.Service, Priority: a.Queue.Priority, Slack: cell.StartSlack(&a.Job, &a.Queue), Account: a.Account.Name,
	}
	_, inExcess := s.admission.known.RefusesExcess(j)
	_, refused := s.admission.known.Refuses(j)
	return inExcess || refused
}
