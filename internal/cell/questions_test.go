package cell_test

import (
	"testing"

	"cicadabarrow.example/cicadabarrow/internal/cell"
)

// TestABacklogDoesNotAskForTheSameRoomTwice has 300 urgent steps wait beside free workers.
func TestABacklogDoesNotAskForTheSameRoomTwice(t *testing.T) {
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
	const least, task = leastRoom - smallRuns*100, 4500
	for i, id := range b.workers {
		room := ([]int{1, 2, 2, 4}[i%4]*leastRoom - (leastRoom - least)) / task
		if named[id] > room {
			t.Fatalf("%d of %d open questions name %s, which has room for %d tasks; %d of %d workers are named",
				named[id], urgent, id, room, len(named), len(b.workers))
		}
	}
}
