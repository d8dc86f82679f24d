package cell

import (
	"cicadabarrow.example/cicadabarrow/internal/manifest"
)

// asking bounds the open questions for advice that are urgent, or those that are
// not. More of them would wait at the hosts that ask, while what they ask for
// changes.
type asking struct {
	open  int
	limit int
	// named is how many workers the open questions name in all.
	named int
	// waiting holds the steps that wait until another question is answered.
	waiting stepList
}

// room returns how many more questions may be asked now.
func (a *asking) room() int { return a.limit - a.open }

// ready reports whether a step that waits may ask now.
func (a *asking) ready() bool { return a.room() > 0 && a.waiting.len() > 0 }

// asked notes a question that names some workers.
func (a *asking) asked(workers int) {
	a.open++
	a.named += workers
}

// settled notes that such a question is answered or given up.
func (a *asking) settled(workers int) {
	a.open--
	a.named -= workers
}

// urgentPerAdviser is how many urgent questions may be open for each host that
// asks, so that it has the next one when one is answered.
const urgentPerAdviser = 2

// askings returns both bounds, the urgent one first.
func (c *Cell) askings() []*asking { return []*asking{&c.urgentAsking, &c.longAsking} }

// askingFor returns the bound that holds for the questions of a queue.
func (c *Cell) askingFor(q *manifest.Queue) *asking {
	if q.Priority == 0 {
		return &c.urgentAsking
	}
	return &c.longAsking
}

// SetAdviceHosts tells how many hosts can ask the advice service. A host's
// questions are answered in turn, so no more long ones are asked than there
// are hosts for them, and some hosts are kept free for urgent ones.
func (c *Cell) SetAdviceHosts(hosts int) {
	long, urgent := max(hosts-UrgentAdviceHosts(hosts), 1), max(hosts, 1)*urgentPerAdviser
	c.reconsider = c.reconsider || long > c.longAsking.limit || urgent > c.urgentAsking.limit
	c.longAsking.limit, c.urgentAsking.limit = long, urgent
}

// urgentShare is the part of the hosts that is kept free of long questions.
const urgentShare = 3

// UrgentAdviceHosts returns how many of some hosts are kept free of long
// questions.
func UrgentAdviceHosts(hosts int) int {
	if hosts < 2 {
		return 0
	}
	return (hosts + urgentShare - 1) / urgentShare
}
