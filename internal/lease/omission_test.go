package lease

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// detection is the result of one run of the machine.
type detection struct {
	violation string
	steps     int
	at        time.Duration
}

// TestStateMachineDetectsOmittedGuards leaves out each guard in turn. The oracle
// must find a violation within the number of steps that CI takes.
func TestStateMachineDetectsOmittedGuards(t *testing.T) {
	useFixedSeed(t)
	guards := []struct {
		name string
		omit omission
	}{
		{"deadline check", omitDeadline},
		{"epoch check", omitEpoch},
		{"wait for the row to lapse", omitLapseWait},
		{"wait for the promise to lapse", omitPromiseWait},
		{"refusal while fencing", omitRefusal},
		{"write id", omitWriteID},
		{"check of the own host row", omitOwnRow},
		{"rule of empty grantors", omitEmptyGrantors},
		{"grantors of unsettled renewals", omitUnsettledGrantors},
	}
	for _, g := range guards {
		t.Run(g.name, func(t *testing.T) {
			t.Parallel()
			run := rapid.Custom(func(t *rapid.T) detection {
				w, steps := runMachine(t, g.omit)
				return detection{w.oracle.violation, steps, w.now}
			})
			steps := 0
			for seed := 1; steps < minSteps; seed++ {
				c := run.Example(seed)
				steps += c.steps
				if c.violation != "" {
					t.Logf("detected with seed %d after %d steps: %s", seed, steps, c.violation)
					return
				}
			}
			t.Fatalf("not detected in %d steps", steps)
		})
	}
}
