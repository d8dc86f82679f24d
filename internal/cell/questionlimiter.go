package cell

import (
	"cicadabarrow.example/cicadabarrow/internal/manifest"
)

// questionLimiter bounds the open questions for advice that are urgent, or those that are
// not. More of them would wait at the hosts that ask, while what they ask for
// changes.
type questionLimiter struct {
	open  int
	limit int
	// workersNamed is how many workers the open questions name in all.
	workersNamed int
	// waiting holds the steps that wait until another question is answered.
	waiting stepList
}

// available returns how many more questions may be asked now.
func (a *questionLimiter) available() int { return a.limit - a.open }

// ready reports whether a step that waits may ask now.
func (a *questionLimiter) ready() bool { return a.available() > 0 && a.waiting.len() > 0 }

// acquire notes a question that names some workers.
func (a *questionLimiter) acquire(workers int) {
	a.open++
	a.workersNamed += workers
}

// release notes that such a question is answered or given up.
func (a *questionLimiter) release(workers int) {
	a.open--
	a.workersNamed -= workers
}

// urgentPerHost is how many urgent questions may be open for each host that
// asks, so that it has the next one when one is answered.
const urgentPerHost = 2

// questionLimiters returns both bounds, the urgent one first.
func (c *Cell) questionLimiters() []*questionLimiter {
	return []*questionLimiter{&c.urgentQuestions, &c.longQuestions}
}

// limiterFor returns the bound that holds for the questions of a queue.
func (c *Cell) limiterFor(q *manifest.Queue) *questionLimiter {
	if q.Priority == 0 {
		return &c.urgentQuestions
	}
	return &c.longQuestions
}

// SetAdviceHosts tells how many hosts can ask the advice service. A host's
// questions are answered in turn, so no more long ones are asked than there
// are hosts for them, and some hosts are kept free for urgent ones.
func (c *Cell) SetAdviceHosts(hosts int) {
	long, urgent := max(hosts-UrgentAdviceHosts(hosts), 1), max(hosts, 1)*urgentPerHost
	c.placementPending = c.placementPending || long > c.longQuestions.limit || urgent > c.urgentQuestions.limit
	c.longQuestions.limit, c.urgentQuestions.limit = long, urgent
}

// urgentHostDivisor is the part of the hosts that is kept free of long questions.
const urgentHostDivisor = 3

// UrgentAdviceHosts returns how many of some hosts are kept free of long
// questions.
func UrgentAdviceHosts(hosts int) int {
	if hosts < 2 {
		return 0
	}
	return (hosts + urgentHostDivisor - 1) / urgentHostDivisor
}
