package entry_test

import (
	"testing"
	"testing/synctest"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/lease"
	"cicadabarrow.example/cicadabarrow/internal/message"
)

// An ended job keeps its ID: a repeat of its submission gets its outcome, and
// another job of that ID is refused and does not run.
func TestEndedJobKeepsItsID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFixture(t)
		o := w.startOwner(lease.Gained{First: true, Clean: true})
		first := batch("edition", 1, time.Second)
		w.mustSubmit(o, first)
		time.Sleep(30 * time.Second)
		again := w.submit(o, first, time.Second)
		if again.Outcome != message.OutcomeAnswered || again.State != job.StateDone {
			t.Fatalf("the repeat was told %+v", again)
		}
		other := first
		other.Tasks = 7
		out := w.submit(o, other, time.Second)
		if out.Outcome != message.OutcomeNotRun || !out.Invalid {
			t.Fatalf("another job of the same ID was told %+v", out)
		}
		time.Sleep(30 * time.Second)
		if n := w.starts("edition"); n != 1 {
			t.Fatalf("%d attempts started; want 1", n)
		}
	})
}
