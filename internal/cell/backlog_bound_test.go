package cell_test

import (
	"fmt"
	"testing"
)

// healthySteps is how many steps wait in a cell that keeps up, at the most.
const healthySteps = 100

// TestABacklogDoesNotMakeDecisionsDear bounds a decision in a backlog by one without.
func TestABacklogDoesNotMakeDecisionsDear(t *testing.T) {
	for _, why := range []why{whyUnanswered, whyFull, whyDenied} {
		for _, steps := range []int{30, 300, 1000} {
			t.Run(fmt.Sprintf("%s-%d", why, steps), func(t *testing.T) {
				b := newBacklog(t, 40, steps, why)
				for range 20 {
					b.bound("end", func() { b.end(b.workers[0]) })
					b.bound("tick", func() { b.cell.Tick(b.now) })
				}
			})
		}
	}
}

// bound fails if the decision after an event looks at too many steps.
func (b *backlog) bound(what string, event func()) {
	b.t.Helper()
	event()
	before := b.cell.Looked()
	actions := b.cell.Take(b.now)
	if looked := b.cell.Looked() - before; looked > healthySteps {
		b.t.Fatalf("the decision after the %s looks at %d steps, want at most %d", what, looked, healthySteps)
	}
	b.carryOut(actions)
	b.settle()
}
