package entry_test

import (
	"testing"
	"testing/synctest"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/lease"
	"cicadabarrow.example/cicadabarrow/internal/message"
)

// The ID of an ended job stays taken: a repeat of its submission gets its outcome,
// and another job with the same ID is refused and does not run.
func TestEndedJobKeepsItsID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t)
		o := fx.startOwner(lease.Gained{First: true, Clean: true})
		first := batch("edition", 1, time.Second)
		fx.mustSubmit(o, first)
		time.Sleep(30 * time.Second)
		again := fx.submit(o, first, time.Second)
		if again.Outcome != message.OutcomeAnswered || again.State != job.StateDone {
			t.Fatalf("the repeat got %+v", again)
		}
		other := first
		other.Tasks = 7
		out := fx.submit(o, other, time.Second)
		if out.Outcome != message.OutcomeNotRun || !out.Invalid {
			t.Fatalf("another job with the same ID got %+v", out)
		}
		time.Sleep(30 * time.Second)
		if n := fx.starts("edition"); n != 1 {
			t.Fatalf("%d attempts started; want 1", n)
		}
	})
}
