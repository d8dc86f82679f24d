package cell_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"cicadabarrow.example/cicadabarrow/internal/cell"
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

// TestNoTaskStartsAfterItsListedEnds guards against a task that is started although its
// worker has listed the success, or the last failure, in an answer that was lost. Nothing
// but answers is lost, and those of a worker for a shorter time than owners wait for it.
func TestNoTaskStartsAfterItsListedEnds(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		further := waves
		if rapid.Bool().Draw(t, "takeovers") {
			further = takeovers
		}
		if violation := playLostAnswers(t, longestHeardSilence, further); violation != "" {
			t.Fatal(violation)
		}
	})
}

// TestListedEndsDetectLongSilence loses the answers of a worker for longer than owners wait
// for it. The oracle has to report the starts of its tasks; otherwise
// TestNoTaskStartsAfterItsListedEnds proves nothing.
func TestListedEndsDetectLongSilence(t *testing.T) {
	t.Parallel()
	for _, how := range []cell.EndKind{cell.EndDone, cell.EndFailed} {
		t.Run(string(how), func(t *testing.T) {
			t.Parallel()
			play := rapid.Custom(func(t *rapid.T) string { return playLostAnswers(t, 2*longestHeardSilence) })
			if !detectedIn(t, "had ended as "+string(how), play) {
				t.Fatalf("no simulation reported a start after listed ends as %s", how)
			}
		})
	}
}

// longestHeardSilence is how long the answers of a worker may be lost while owners wait for
// it: 2.3 s longer than its lease, less the time between two answers.
const longestHeardSilence = 5300 * time.Millisecond

func waves(w *simulation) map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){"wave": func(*rapid.T) { w.announceWave() }}
}

func takeovers(w *simulation) map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){"takeover": func(*rapid.T) { w.takeOver() }}
}

// playLostAnswers plays jobs without a fault but that the answers of a worker are lost, for
// a time up to the longest one, and returns the first violation.
func playLostAnswers(t *rapid.T, longest time.Duration, further ...simActions) string {
	w := newSimulation(t, omitNothing, rapid.Bool().Draw(t, "unfenced"))
	w.slow = rapid.Bool().Draw(t, "slow")
	w.listedEndsCount, w.failingTenths = true, 5
	return w.playActions(t, map[string]func(*rapid.T){
		"submit":  func(*rapid.T) { w.submit() },
		"go on":   func(*rapid.T) { w.stepsWithoutFaults() },
		"unread":  func(*rapid.T) { w.loseAnswers(longest) },
		"unread2": func(*rapid.T) { w.loseAnswers(longest) },
		"":        func(*rapid.T) { w.check() },
	}, further...)
}

// loseAnswers loses all answers of a worker for a while, up to the longest time. It
// executes its calls meanwhile, and answers before and after.
func (w *simulation) loseAnswers(longest time.Duration) {
	w.stepWithoutFaults()
	s := w.anyWorker()
	s.unread = true
	for until := w.now.Add(w.drawDuration("unread", 100, int(longest/time.Millisecond))); w.now.Before(until); {
		w.stepWithoutFaults()
	}
	s.unread = false
	w.stepWithoutFaults()
}

// TestNoTaskStartsAfterEndsLostInMaintenance guards against a task that is started after
// listed ends of its runs were lost with their worker: a new owner orders the maintenance of
// a machine while early starts of its predecessor on the worker there may still be unknown.
func TestNoTaskStartsAfterEndsLostInMaintenance(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		if violation := playLostAnswers(t, longestHeardSilence, waves, takeovers); violation != "" {
			t.Fatal(violation)
		}
	})
}
