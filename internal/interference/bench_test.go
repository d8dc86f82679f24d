package interference_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/interference"
)

// fullModel returns a model in which all places for classes and neighbours are taken, and
// an observation with ten classes present.
func fullModel(now time.Time) (*interference.Model, interference.Observation) {
	m := interference.New()
	random := rand.New(rand.NewPCG(1, 1))
	var o interference.Observation
	for i := range 3000 {
		o = interference.Observation{Worker: strconv.Itoa(i % 10)}
		for range 10 {
			c := interference.Class{Image: strconv.Itoa(random.IntN(128))}
			o.Presences = append(o.Presences, interference.Presence{Class: c, Tasks: 1})
			o.Measured = append(o.Measured, interference.Measurement{Class: c, Own: 1, Value: random.Float64()})
		}
		m.Observe(now, o)
	}
	return m, o
}

// BenchmarkObserve adds an observation of ten classes to a full model.
func BenchmarkObserve(b *testing.B) {
	now := time.Unix(1_700_000_000, 0)
	m, o := fullModel(now)
	for b.Loop() {
		m.Observe(now, o)
	}
}

// BenchmarkRefresh refreshes all classes of a full model.
func BenchmarkRefresh(b *testing.B) {
	now := time.Unix(1_700_000_000, 0)
	for b.Loop() {
		b.StopTimer()
		m, _ := fullModel(now)
		b.StartTimer()
		m.Refresh(now, m.Classes())
	}
}
