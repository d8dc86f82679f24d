package cell

import "time"

// AdviceBalancer assigns each question for advice to the host that should
// receive its answer first. The advice service answers the questions of one
// host one at a time. The first hosts in a list get no questions that are not
// urgent, so that an urgent question never waits behind a long one.
type AdviceBalancer[H comparable] struct {
	// busyUntil has, for each host, when its last question should be answered.
	busyUntil map[H]time.Time
}

// NewAdviceBalancer returns a balancer whose hosts are all idle.
func NewAdviceBalancer[H comparable]() *AdviceBalancer[H] {
	return &AdviceBalancer[H]{busyUntil: make(map[H]time.Time)}
}

// Pick returns the host for a question and how long the answer should take.
// There must be at least one host.
func (b *AdviceBalancer[H]) Pick(now time.Time, hosts []H, question AskAdvice) (H, time.Duration) {
	if !question.Urgent {
		hosts = hosts[UrgentAdviceHosts(len(hosts)):]
	}
	best := hosts[0]
	busyUntil := b.busyUntil[best]
	for _, h := range hosts[1:] {
		if until := b.busyUntil[h]; until.Before(busyUntil) {
			best, busyUntil = h, until
		}
	}
	begin := now
	if busyUntil.After(now) {
		begin = busyUntil
	}
	end := begin.Add(question.Cost)
	b.busyUntil[best] = end
	return best, end.Sub(now)
}
