package pool

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/job"
)

// benchBacklog and benchLongBacklog are the numbers of jobs that wait for
// capacity.
const (
	benchBacklog     = 2000
	benchLongBacklog = 50_000
)

// BenchmarkSchedule ends one task, accepts one job and makes the placements
// that follow, in a pool that is full and has a backlog. p99-us is the 99th
// percentile of the time of such a step.
func BenchmarkSchedule(b *testing.B) {
	for _, c := range []struct{ workers, backlog int }{
		{50, benchBacklog}, {580, benchBacklog}, {5000, benchBacklog}, {580, benchLongBacklog},
	} {
		b.Run(fmt.Sprintf("workers=%d,backlog=%d", c.workers, c.backlog), func(b *testing.B) {
			l := newLoad(DefaultConfig(), c.workers, 1)
			l.fill()
			for range c.backlog {
				l.accept(l.next())
			}
			l.schedule()
			times := make([]time.Duration, 0, b.N)
			before := l.placed
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				start := time.Now()
				l.endOne()
				l.accept(l.next())
				l.schedule()
				times = append(times, time.Since(start))
			}
			b.StopTimer()
			slices.Sort(times)
			b.ReportMetric(float64(l.placed-before)/b.Elapsed().Seconds(), "placed/s")
			b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), "p99-us")
		})
	}
}

// BenchmarkCancelWave cancels 10,000 jobs at once while urgent jobs arrive.
// worst-us is the longest time by which the cancellation delayed the start of
// an urgent job.
func BenchmarkCancelWave(b *testing.B) {
	const wave = 10_000
	for _, sliced := range []bool{true, false} {
		b.Run(fmt.Sprintf("sliced=%v", sliced), func(b *testing.B) {
			var worst time.Duration
			for range b.N {
				worst = max(worst, cancelWave(wave, sliced))
			}
			b.ReportMetric(float64(worst.Microseconds()), "worst-us")
		})
	}
}

// cancelWave returns the longest time from the arrival of an urgent job to the
// end of the pass that follows.
func cancelWave(wave int, sliced bool) time.Duration {
	l := newLoad(DefaultConfig(), 580, 1)
	l.fill()
	for range wave {
		l.accept(l.next())
	}
	ids := make([]string, 0, wave)
	for _, v := range l.pool.Jobs() {
		if v.Spec.Kind != job.KindService && len(ids) < wave {
			ids = append(ids, v.Spec.ID)
		}
	}
	var worst time.Duration
	for step := range 30 {
		start := time.Now()
		switch {
		case step == 0 && sliced:
			l.pool.CancelAll(ids)
		case step == 0:
			for _, id := range ids {
				actions, err := l.pool.Cancel(id, l.now)
				if err == nil {
					l.perform(actions)
				}
			}
		}
		s := l.next()
		s.Priority = job.PriorityUrgent
		l.accept(s)
		l.schedule()
		worst = max(worst, time.Since(start))
	}
	return worst
}
