package cell_test

import (
	"testing"

	"pgregory.net/rapid"
)

// TestNoTaskStartsAfterItsLastAttempt guards against a task that is started after as many
// runs as it has attempts have failed. The failures are heard late, by another owner, or
// beside a start that is in flight, and are acknowledged before that start or after it.
func TestNoTaskStartsAfterItsLastAttempt(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		if violation := runSimulation(t, omitNothing, rapid.Bool().Draw(t, "unfenced"), frequentFailures, (*simulation).overtakeActions, lateAnswers); violation != "" {
			t.Fatal(violation)
		}
	})
}

// frequentFailures makes half of the runs fail, so that tasks use up their attempts.
func frequentFailures(w *simulation) map[string]func(*rapid.T) {
	w.failingTenths = 5
	return nil
}
