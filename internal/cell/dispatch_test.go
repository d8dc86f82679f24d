package cell_test

import (
	"testing"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// asksForUrgent reports whether a question is asked at once for a job of the
// highest priority.
func (b *backlog) asksForUrgent() bool {
	b.accept("urgent", "hold", workload.Step{Tasks: 1, Size: job.Size{MilliCores: 100}, Estimate: time.Second})
	for _, a := range b.cell.TakeActions(b.now) {
		if q, is := a.(cell.AskAdvice); is && q.Urgent {
			return true
		}
	}
	return false
}

func TestUndurableRunsDoNotBlockUrgentSteps(t *testing.T) {
	b := newBacklog(t, 100, 0, whyUnanswered)
	for _, id := range []workload.JobID{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"} {
		b.accept(id, "free", workload.Step{Tasks: 50, Size: job.Size{MilliCores: 1000}, Estimate: time.Second, Gang: true})
	}
	b.apply(b.cell.TakeActions(b.now))
	b.now = b.now.Add(time.Second)
	if !b.asksForUrgent() {
		t.Error("an urgent job waits while 600 runs have no durable record")
	}
}

func TestQueuedStartsDoNotBlockUrgentSteps(t *testing.T) {
	b := newBacklog(t, 100, 0, whyUnanswered)
	b.cell.LimitStarts(0)
	b.accept("others", "free", workload.Step{Tasks: 600, Size: job.Size{MilliCores: 1000}, Estimate: time.Second})
	for range 10 {
		b.apply(b.cell.TakeActions(b.now))
		b.cell.Committed(b.now, b.cell.TakeRecords(1000))
	}
	b.now = b.now.Add(time.Second)
	if !b.asksForUrgent() {
		t.Error("an urgent job waits behind the queued starts of others")
	}
}
