package cell_test

import (
	"testing"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/cell"
)

// TestQuestionsDoNotCompeteForTheSameCapacity has 300 urgent steps wait while
// workers have free capacity. The open questions must not name a worker more
// often than it has capacity for tasks.
func TestQuestionsDoNotCompeteForTheSameCapacity(t *testing.T) {
	b := newBacklog(t, 350, 0, whyUnanswered)
	named := make(map[cell.WorkerID]int)
	urgent := 0
	for _, q := range b.acceptBacklog(600) {
		if !q.Urgent {
			continue
		}
		urgent++
		for _, id := range q.Workers {
			named[id]++
		}
	}
	const least, task = minCapacity - smallRuns*100, 4500
	for i, id := range b.workers {
		capacity := ([]int{1, 2, 2, 4}[i%4]*minCapacity - (minCapacity - least)) / task
		if named[id] > capacity {
			t.Fatalf("%d of %d open questions name %s, which has capacity for %d tasks; %d of %d workers are named",
				named[id], urgent, id, capacity, len(named), len(b.workers))
		}
	}
}

// TestFailedQuestionsBackOff fails each question at once for ten seconds. A
// step must not repeat its question without a delay.
func TestFailedQuestionsBackOff(t *testing.T) {
	const steps, span, pause = 50, 10 * time.Second, 10 * time.Millisecond
	b := newBacklog(t, 40, 0, whyUnanswered)
	questions := b.acceptBacklog(2 * steps)
	asked := 0
	for range int(span / pause) {
		for _, q := range questions {
			if q.Urgent {
				asked++
			}
			b.cell.Advised(b.now, cell.Advice{Step: q.Step, Asked: q.Workers, Failed: true})
		}
		b.now = b.now.Add(pause)
		b.cell.Tick(b.now)
		questions = b.apply(b.cell.TakeActions(b.now))
	}
	// Three questions per second and step are a small part of what 30 hosts can
	// ask, which is about 30 per second each.
	if most := steps * 3 * int(span/time.Second); asked > most || asked < steps {
		t.Errorf("%d questions about %d steps in %v, at most %d expected", asked, steps, span, most)
	}
}
