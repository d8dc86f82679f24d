package cell_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// TestDecisionsMissNoPlaceableStep plays steps that need advice, and compares
// each decision with one that evaluates every step.
func TestDecisionsMissNoPlaceableStep(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) { checkAdvisedBacklog(t, false) })
}

// TestDecisionsMissNoPlaceableStepWithoutSweep guards against a step that only a
// sweep evaluates.
func TestDecisionsMissNoPlaceableStepWithoutSweep(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) { checkAdvisedBacklog(t, true) })
}

func checkAdvisedBacklog(t *rapid.T, unswept bool) {
	p := &advisedBacklog{backlog: newBacklog(t, 6, 0, whyUnanswered), t: t, unswept: unswept}
	p.cell.SetAdviceHosts(3)
	t.Repeat(p.actions())
}

func (p *advisedBacklog) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"submit":  func(*rapid.T) { p.submit() },
		"answer":  func(*rapid.T) { p.answerOne() },
		"answer2": func(*rapid.T) { p.answerOne() },
		"end":     func(*rapid.T) { p.endOne() },
		"end2":    func(*rapid.T) { p.endOne() },
		"tick":    func(*rapid.T) { p.tick() },
		"":        func(*rapid.T) { p.check() },
	}
}

// advisedBacklog is a cell whose questions are answered in random order.
type advisedBacklog struct {
	*backlog
	t *rapid.T
	// unswept is set if ticks sweep no steps.
	unswept   bool
	jobs      int
	questions []cell.AskAdvice
}

// maxAdvisedJobs is small enough that a freed worker is offered to all waiting
// steps.
const maxAdvisedJobs = 30

func (p *advisedBacklog) submit() {
	if p.jobs == maxAdvisedJobs {
		return
	}
	p.jobs++
	queue := rapid.SampledFrom([]string{"hold", "settle", "free"}).Draw(p.t, "queue")
	p.accept(workload.JobID(fmt.Sprintf("%016x", p.jobs)), queue, workload.Step{
		Tasks:        rapid.IntRange(1, 6).Draw(p.t, "tasks"),
		Size:         job.Size{MilliCores: int64(rapid.IntRange(1, 15).Draw(p.t, "cores")) * 1000},
		Estimate:     time.Second,
		Checkpoints:  rapid.Bool().Draw(p.t, "saves"),
		MaxPerWorker: rapid.IntRange(0, 2).Draw(p.t, "maxPerWorker"),
	})
}

func (p *advisedBacklog) answerOne() {
	if len(p.questions) == 0 {
		return
	}
	i := rapid.IntRange(0, len(p.questions)-1).Draw(p.t, "question")
	asked := p.questions[i]
	p.questions = append(p.questions[:i:i], p.questions[i+1:]...)
	answer := cell.Advice{Step: asked.Step, Asked: asked.Workers, Failed: rapid.IntRange(0, 9).Draw(p.t, "lost") == 0}
	for _, id := range asked.Workers {
		if rapid.Bool().Draw(p.t, "allowed") {
			answer.Allowed = append(answer.Allowed, cell.Ticket{Worker: id, Value: "t"})
		}
	}
	p.cell.Advised(p.now, answer)
}

func (p *advisedBacklog) endOne() {
	id := rapid.SampledFrom(p.workers).Draw(p.t, "worker")
	if len(p.running[id]) == 0 {
		return
	}
	how := rapid.SampledFrom([]cell.EndKind{cell.EndDone, cell.EndDone, cell.EndStopped, cell.EndFailed}).Draw(p.t, "how")
	p.endRun(id, rapid.IntRange(0, len(p.running[id])-1).Draw(p.t, "run"), how)
}

// tick advances the time, after which each worker reports.
func (p *advisedBacklog) tick() {
	p.now = p.now.Add(time.Duration(rapid.IntRange(1, 1000).Draw(p.t, "pass")) * time.Millisecond)
	for _, id := range p.workers {
		p.report(id)
	}
	if p.unswept {
		p.cell.TickWithoutSweep(p.now)
		return
	}
	p.cell.Tick(p.now)
}

func (p *advisedBacklog) check() {
	p.questions = append(p.questions, p.runActions()...)
	if missed := p.cell.MissedSteps(p.now); len(missed) > 0 {
		p.t.Fatalf("a decision missed steps that could be placed or asked about: %v\n%s", missed, p.cell.Describe())
	}
}
