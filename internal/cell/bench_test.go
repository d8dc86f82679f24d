package cell_test

import (
	"fmt"
	"testing"
)

const benchWorkers = 350

// BenchmarkDecision ends a run on one worker and makes a decision, with a
// backlog.
func BenchmarkDecision(b *testing.B) {
	for _, why := range []waitReason{whyUnanswered, whyFull, whyDenied} {
		for _, steps := range []int{30, 300, 1000} {
			b.Run(fmt.Sprintf("%s-%d", why, steps), func(b *testing.B) { benchDecision(b, why, steps) })
		}
	}
}

func benchDecision(b *testing.B, why waitReason, steps int) {
	l := newBacklog(b, benchWorkers, steps, why)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		l.end(l.workers[i%len(l.workers)])
		actions := l.cell.TakeActions(l.now)
		b.StopTimer()
		l.apply(actions)
		l.runActions()
		b.StartTimer()
	}
}

// BenchmarkTick runs one tick and makes a decision, with a backlog.
func BenchmarkTick(b *testing.B) {
	for _, why := range []waitReason{whyUnanswered, whyFull, whyDenied} {
		for _, steps := range []int{30, 300, 1000} {
			b.Run(fmt.Sprintf("%s-%d", why, steps), func(b *testing.B) { benchTick(b, why, steps) })
		}
	}
}

func benchTick(b *testing.B, why waitReason, steps int) {
	l := newBacklog(b, benchWorkers, steps, why)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		l.cell.Tick(l.now)
		l.cell.TakeActions(l.now)
	}
}

// BenchmarkReported handles an unchanged report of a worker with some runs.
func BenchmarkReported(b *testing.B) {
	l := newBacklog(b, benchWorkers, 0, whyFull)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		l.report(l.workers[i%len(l.workers)])
	}
}

// BenchmarkLoad gathers what decides on new jobs, with a backlog.
func BenchmarkLoad(b *testing.B) {
	const workers, steps = 1100, 500
	for _, why := range []waitReason{whyUnanswered, whyFull, whyDenied} {
		b.Run(fmt.Sprintf("%s-%d-%d", why, workers, steps), func(b *testing.B) {
			l := newBacklog(b, workers, steps, why)
			b.ReportAllocs()
			for b.Loop() {
				l.cell.Load(l.now)
			}
		})
	}
}
