package cell

import "time"

// AdviceBalancer assigns each question for advice to the host that should
// receive its answer first. The advice service answers the questions of one
// host one at a time. The first hosts in a list get no questions that are not
// urgent, so that an urgent question never waits behind a long one.
type AdviceBalancer[A comparable] struct {
	// busy has, for each host, when its last question should be answered.
	busy map[A]time.Time
}

// NewAdviceBalancer returns a balancer whose hosts are all idle.
func NewAdviceBalancer[A comparable]() *AdviceBalancer[A] {
	return &AdviceBalancer[A]{busy: make(map[A]time.Time)}
}

// Pick returns the host for a question and how long the answer should take.
// There must be at least one host.
func (s *AdviceBalancer[A]) Pick(now time.Time, askers []A, question AskAdvice) (A, time.Duration) {
	if !question.Urgent {
		askers = askers[UrgentAdviceHosts(len(askers)):]
	}
	best := askers[0]
	for _, a := range askers[1:] {
		if s.busy[a].Before(s.busy[best]) {
			best = a
		}
	}
	begin := now
	if s.busy[best].After(now) {
		begin = s.busy[best]
	}
	end := begin.Add(question.Cost)
	s.busy[best] = end
	return best, end.Sub(now)
}
