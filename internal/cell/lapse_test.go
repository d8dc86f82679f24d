package cell_test

import (
	"testing"

	"pgregory.net/rapid"
)

// TestWaveLimitHoldsAlthoughEntriesLapse guards against a machine that goes down
// for maintenance beyond the limit of its wave: the entry of its worker lapsed
// while the worker was drained, another machine was next, and the entry came back.
func TestWaveLimitHoldsAlthoughEntriesLapse(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t, omitNothing, false)
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(*rapid.T) { w.submit() },
			"go on":  func(*rapid.T) { w.stepWithoutFaults() },
			"lapse":  func(*rapid.T) { w.lapse() },
			"wave":   func(*rapid.T) { w.announceWave() },
			"":       func(*rapid.T) { w.check() },
		})
		if w.finishJobs(); w.violation != "" {
			t.Fatal(w.violation)
		}
	})
}
