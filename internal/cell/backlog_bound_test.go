package cell_test

import (
	"fmt"
	"slices"
	"testing"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// maxStepsPerDecision is the maximum number of waiting steps in a cell that
// keeps up.
const maxStepsPerDecision = 100

// TestBacklogDoesNotSlowDecisions checks that a decision in a backlog evaluates
// no more steps than one in a cell that keeps up.
func TestBacklogDoesNotSlowDecisions(t *testing.T) {
	for _, why := range []waitReason{whyUnanswered, whyFull, whyDenied} {
		for _, steps := range []int{30, 300, 1000} {
			t.Run(fmt.Sprintf("%s-%d", why, steps), func(t *testing.T) {
				b := newBacklog(t, 40, steps, why)
				for range 20 {
					b.checkDecisionCost("end", func() { b.end(b.workers[0]) })
					b.checkDecisionCost("tick", func() { b.cell.Tick(b.now) })
				}
			})
		}
	}
}

// checkDecisionCost fails if the decision after an event evaluates too many
// steps.
func (b *backlog) checkDecisionCost(what string, event func()) {
	b.t.Helper()
	event()
	before := b.cell.StepsEvaluated()
	actions := b.cell.TakeActions(b.now)
	if evaluated := b.cell.StepsEvaluated() - before; evaluated > maxStepsPerDecision {
		b.t.Fatalf("the decision after the %s evaluates %d steps, want at most %d", what, evaluated, maxStepsPerDecision)
	}
	b.apply(actions)
	b.runActions()
}

// TestManifestsAddNoTimers installs manifests that leave all ranks unchanged.
func TestManifestsAddNoTimers(t *testing.T) {
	b := newBacklog(t, 40, 300, whyUnanswered)
	before := b.cell.TimerCount()
	for version := range uint64(20) {
		m := backlogManifest
		m.Version += version + 1
		b.cell.SetManifest(&m)
		b.cell.TakeActions(b.now)
	}
	if after := b.cell.TimerCount(); after > before {
		t.Errorf("the manifests added %d timers to %d", after-before, before)
	}
}

// TestBacklogKeepsRankOrder frees capacity for one task that many steps could
// use.
func TestBacklogKeepsRankOrder(t *testing.T) {
	b := newBacklog(t, 40, 300, whyFull)
	id := b.workers[0]
	large := slices.IndexFunc(b.running[id], func(r cell.Running) bool { return r.Task.Job == "large" })
	b.endRun(id, large, cell.EndDone)
	b.runActions()
	for _, r := range b.running[id] {
		if r.Task.Job == "0000000000000000" {
			return
		}
	}
	t.Errorf("the capacity does not go to the urgent step that is due first: %v", b.running[id])
}

// TestAllStepsInBacklogAskAboutNewWorker registers a worker that no waiting step
// has asked about. Every urgent step must ask about it within 50 ticks, although
// a worker with new capacity is offered to few steps per decision.
func TestAllStepsInBacklogAskAboutNewWorker(t *testing.T) {
	const steps, ticks = 1000, 50
	b := newBacklog(t, 40, steps, whyDenied)
	b.addWorker("new", minCapacity)
	urgentByStep := make(map[workload.StepID]bool)
	for range ticks {
		b.cell.Tick(b.now)
		questions := b.runActions()
		for len(questions) > 0 {
			for _, a := range questions {
				urgentByStep[a.Step] = a.Urgent
				b.cell.Advised(b.now, cell.Advice{Step: a.Step, Asked: a.Workers})
			}
			questions = b.runActions()
		}
	}
	urgent := 0
	for _, u := range urgentByStep {
		if u {
			urgent++
		}
	}
	if urgent != steps/2 {
		t.Errorf("%d of the %d urgent steps have asked about the new worker after %d ticks", urgent, steps/2, ticks)
	}
}
