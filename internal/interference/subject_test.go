package interference

import (
	"strconv"
	"testing"
	"time"
)

// A neighbour that lost its place to another one of the same observation would share the
// sums of that place with it.
func TestNeighboursOfAnObservationKeepTheirPlaces(t *testing.T) {
	const tasks = 0.5 // less than the evidence that keeps a place
	now := time.Unix(1_700_000_000, 0)
	s := &subject{class: Class{Image: "web", Serving: true}}
	for round := range 3 {
		var present []presentSubject
		for i := range maxNeighbours + 10 {
			present = append(present, presentSubject{&subject{class: Class{Image: strconv.Itoa(100*round + i)}}, tasks})
		}
		before := s.presence
		now = now.Add(time.Minute)
		s.full = false
		s.observe(now, 1, "w1", present, 0.5, 1)
		for i := range s.presence {
			if added := s.presence[i] - before[i]; added > tasks {
				t.Errorf("round %d: %v tasks were added at place %d", round, added, i)
			}
		}
	}
}
