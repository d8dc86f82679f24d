package cell_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// TestNoSuccessIsAcknowledgedBesideAStartInFlight guards against a task that is started
// after its success was acknowledged, or after its job was shown as completed. The worker of
// a successful run is silent for longer than its lease, the task is started elsewhere, and
// the worker answers before that start has arrived.
func TestNoSuccessIsAcknowledgedBesideAStartInFlight(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		if violation := runSimulation(t, omitNothing, rapid.Bool().Draw(t, "unfenced"), (*simulation).lateSuccessActions, (*simulation).overtakeActions); violation != "" {
			t.Fatal(violation)
		}
	})
}

// TestLateSuccessDetectsOmittedGuards omits guards so that starts arrive, or are in flight,
// beside a successful run of their task. Each check of the oracle about that has to report
// it; otherwise the other tests prove nothing about it.
func TestLateSuccessDetectsOmittedGuards(t *testing.T) {
	t.Parallel()
	for _, detects := range []struct {
		message string
		omit    omittedGuard
	}{
		{"had ended as done", omitUncertainStart},
		{"had ended as failed", omitUncertainStart},
		{"is acknowledged while the start of", omitUncertainStart},
		{"is shown as completed while the start of", omitUncertainStart},
		{"although its success was acknowledged", omitAckDurable},
		{"although its job was shown as completed", omitDurable},
	} {
		t.Run(strings.ReplaceAll(detects.message, " ", "-"), func(t *testing.T) {
			t.Parallel()
			if !detectedAs(t, detects.message, detects.omit, (*simulation).overtakeActions, frequentFailures) {
				t.Fatalf("no simulation reported %q", detects.message)
			}
		})
	}
}

// lateSuccessActions returns the actions by which owners hear late of a success.
func (w *simulation) lateSuccessActions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"go on": func(*rapid.T) { w.stepsWithoutFaults() },
		"late":  func(*rapid.T) { w.reportSuccessLate() },
		"late2": func(*rapid.T) { w.reportSuccessLate() },
	}
}

// overtakeActions returns the action by which starts arrive late.
func (w *simulation) overtakeActions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"overtake": func(*rapid.T) { w.overtakeCalls() },
	}
}

// overtakeCalls waits for a start, reports the calls in flight as unanswered and has newer
// ones arrive before them. Commits succeed at first, and then take long.
func (w *simulation) overtakeCalls() {
	const steps = 10
	anyTask := func(workload.TaskID) bool { return true }
	for i := 0; i < steps && w.startInFlight(w.owner(), anyTask) == nil; i++ {
		w.stepWithoutFaults()
	}
	w.delayAll()
	late := slices.Clone(w.calls)
	slowFrom := w.now.Add(w.drawDuration("committed", 100, 2000))
	for until := slowFrom.Add(w.drawDuration("uncommitted", 0, 2000)); w.now.Before(until); {
		w.holdAll()
		w.deliverExcept(late)
		if w.now.Before(slowFrom) {
			w.commitNow()
			w.check()
		}
		w.advance(100 * time.Millisecond)
	}
	if rapid.Bool().Draw(w.t, "arrive") {
		w.deliverAll()
	}
}

// deliverExcept executes the calls that are in flight now, apart from some.
func (w *simulation) deliverExcept(late []*simCall) {
	for _, c := range slices.Clone(w.calls) {
		if !slices.Contains(late, c) {
			w.calls = slices.DeleteFunc(w.calls, func(other *simCall) bool { return other == c })
			w.finish(c)
		}
	}
}

// reportSuccessLate cuts a worker off until the start of a task that has succeeded is in
// flight, and has it answer before that start arrives. Another owner may take over in
// between.
func (w *simulation) reportSuccessLate() {
	const longest = 12 * time.Second
	s := w.anyWorker()
	s.cut, s.cutFromEpoch = true, 0
	begun := w.now
	takeover := begun.Add(w.drawDuration("takeover", 0, int(2*longest/time.Millisecond)))
	for w.now.Sub(begun) < longest && !w.startsAfterSuccess() {
		w.stepWithoutFaults()
		if !w.now.Before(takeover) {
			w.takeOver()
			takeover = begun.Add(2 * longest)
		}
	}
	s.cut = s.replaced
	for range rapid.IntRange(0, 3).Draw(w.t, "answers") {
		w.holdAll()
		w.commitNow()
		w.check()
	}
}

// startsAfterSuccess reports whether the owner has a start in flight of a task that has
// succeeded without its knowledge.
func (w *simulation) startsAfterSuccess() bool {
	return w.startInFlight(w.owner(), func(id workload.TaskID) bool { return w.everDone[id] && !w.done[id] }) != nil
}
