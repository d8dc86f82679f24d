package pool

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cicadabarrow.example/cicadabarrow/internal/job"
)

func drawSpec(t *rapid.T, n int) job.Spec {
	kind := rapid.SampledFrom([]job.Kind{job.KindBatch, job.KindBatch, job.KindAllAtOnce, job.KindService}).Draw(t, "kind")
	s := job.Spec{
		ID: fmt.Sprintf("j%d", n), Team: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team"), Name: "n", Kind: kind,
		Tasks: rapid.IntRange(1, 4).Draw(t, "tasks"),
		Size: job.Size{
			MilliCores: 1000 * rapid.Int64Range(1, 5).Draw(t, "cores"), MemoryMB: 1000 * rapid.Int64Range(1, 4).Draw(t, "memory"),
		},
		Replayable: rapid.IntRange(0, 3).Draw(t, "replayable") > 0, MaxAttempts: rapid.IntRange(1, 8).Draw(t, "attempts"),
	}
	if kind != job.KindService {
		s.RunTime = time.Duration(rapid.IntRange(3, 300).Draw(t, "runtime")) * 100 * time.Millisecond
	}
	if rapid.IntRange(0, 4).Draw(t, "urgent") == 0 && kind != job.KindService {
		s.Priority = job.PriorityUrgent
	}
	return s
}

func (m *clusterModel) anyWorker() *modelWorker {
	return rapid.SampledFrom(m.workers).Draw(m.draw, "worker")
}

func (m *clusterModel) actions() map[string]func(*rapid.T) {
	step := func(f func()) func(*rapid.T) {
		return func(t *rapid.T) { m.t, m.draw = t, t; f(); m.perform(m.pool.Schedule(m.now)) }
	}
	deliver := step(func() {
		if len(m.calls) > 0 {
			m.deliver(rapid.IntRange(0, len(m.calls)-1).Draw(m.draw, "call"), rapid.IntRange(0, 9).Draw(m.draw, "lost") == 0)
		}
	})
	persist := step(func() {
		if len(m.pendingBatches) > 0 {
			m.persist()
		}
	})
	flow := step(func() {
		for len(m.pendingBatches) > 0 {
			m.persist()
		}
		for range len(m.calls) {
			m.deliver(0, false)
		}
		m.advance(modelTick)
	})
	return map[string]func(*rapid.T){
		"submit":   step(func() { m.submit(drawSpec(m.draw, len(m.jobs))) }),
		"submit2":  step(func() { m.submit(drawSpec(m.draw, len(m.jobs))) }),
		"deliver":  deliver,
		"deliver2": deliver,
		"persist":  persist,
		"flow":     flow,
		"flow2":    flow,
		"flow3":    flow,
		"advance":  step(func() { m.advance(time.Duration(rapid.IntRange(1, 40).Draw(m.draw, "ticks")) * modelTick) }),
		"cancel": step(func() {
			if len(m.jobs) > 0 {
				actions, _ := m.pool.Cancel(rapid.SampledFrom(m.jobs).Draw(m.draw, "job"), m.now)
				m.perform(actions)
			}
		}),
		"wave":     step(func() { m.pool.CancelAll(m.jobs[len(m.jobs)/2:]) }),
		"silent":   step(func() { w := m.anyWorker(); w.unreachable = !w.unreachable }),
		"failing":  step(func() { w := m.anyWorker(); w.failing = !w.failing }),
		"leaving":  step(func() { w := m.anyWorker(); w.leaving = !w.leaving }),
		"listed":   step(func() { w := m.anyWorker(); w.host.Leaving = !w.host.Leaving }),
		"longer":   step(func() { m.anyWorker().runTimeFactor = rapid.Float64Range(0.1, 3).Draw(m.draw, "factor") }),
		"restart":  step(func() { m.anyWorker().restart(m.now) }),
		"takeover": step(m.takeOver),
		"":         func(t *rapid.T) { m.t = t; m.check() },
	}
}

// TestPoolAgainstModel combines faults of all kinds, and then ends the faults
// and checks that every job ends exactly once.
func TestPoolAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newClusterModel(t)
		if rapid.Bool().Draw(t, "quotas") {
			m.quotas = map[string]Quota{
				"a": {Guaranteed: job.Size{MilliCores: 16_000, MemoryMB: 16_000}, Limit: job.Size{MilliCores: 24_000, MemoryMB: 24_000}},
				"b": {Guaranteed: job.Size{MilliCores: 16_000, MemoryMB: 16_000}},
			}
			m.pool.SetQuotas(m.quotas)
		}
		m.advance(modelTick)
		t.Repeat(m.actions())
		m.t = t
		m.runToCompletion()
	})
}
