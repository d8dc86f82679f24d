package cell

import "time"

// AdviceBalancer gives each question for advice to the asker that should have its answer
// first. The advice service answers one question of an asker after the other. The
// first askers in a list are kept free of questions that are not urgent, so that
// an urgent one never waits behind a long one.
type AdviceBalancer[A comparable] struct {
	// busy has for each asker when its last question should be answered.
	busy map[A]time.Time
}

// NewAdviceBalancer returns a spread whose askers are all idle.
func NewAdviceBalancer[A comparable]() *AdviceBalancer[A] {
	return &AdviceBalancer[A]{busy: make(map[A]time.Time)}
}

// Pick returns the asker for a question, and how long its answer should take.
// There is at least one asker.
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
