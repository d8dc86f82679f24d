package cell_test

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"cicadabarrow.example/cicadabarrow/internal/cell"
)

// simLateAnswer is the answer to a hold call that the owner has given up.
type simLateAnswer struct {
	call   *simCall
	report cell.Report
}

// lateAnswers returns the actions of owners that use late answers to hold calls, as package
// owner does.
func lateAnswers(w *simulation) map[string]func(*rapid.T) {
	var late []simLateAnswer
	return map[string]func(*rapid.T){
		"give up a hold call": func(*rapid.T) {
			i := slices.IndexFunc(w.calls, func(c *simCall) bool { return c.hold != nil && !c.answered && c.reaches() })
			if i < 0 {
				return
			}
			c := w.calls[i]
			w.calls = slices.Delete(w.calls, i, i+1)
			if _, report, fenced := w.execute(c); !fenced {
				late = append(late, simLateAnswer{c, report})
			}
			w.unanswered(c)
		},
		"late answer": func(t *rapid.T) {
			if len(late) == 0 {
				return
			}
			i := rapid.IntRange(0, len(late)-1).Draw(t, "late")
			e := late[i]
			late = slices.Delete(late, i, i+1)
			if o := e.call.owner; !o.stopped {
				o.cell.Reported(w.now, e.call.worker.id, e.report)
				o.cell.HoldFailed(e.call.worker.id)
				w.act(o)
			}
		},
	}
}

// Guards against rules that a report breaks since it comes later than the failure of its call:
// after further calls, after the worker has restarted, and after a takeover.
func TestJobLifecycleWithLateAnswers(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		if violation := runSimulation(t, omitNothing, false, lateAnswers); violation != "" {
			t.Fatal(violation)
		}
	})
}
