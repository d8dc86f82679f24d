package owner

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// The memory of jobs that are kept or being accepted must stay within its limit, but for a
// single large job and for small ones of which the cell has not heard yet.
func TestJobMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 20 * cell.LargeJobBytes
		m := newJobMemory(limit)
		now := time.Unix(0, 0)
		accepting := make(map[workload.JobID]int64)
		known := make(map[workload.JobID]int64)
		next := 0
		sum := func(jobs map[workload.JobID]int64) (all, large int64) {
			for _, bytes := range jobs {
				all += bytes
				if bytes >= cell.LargeJobBytes {
					large += bytes
				}
			}
			return all, large
		}
		update := func() {
			var held cell.HeldBytes
			held.All, held.Large = sum(known)
			m.update(now, held, func(id workload.JobID) bool { _, ok := known[id]; return ok })
		}
		anyOf := func(jobs map[workload.JobID]int64) workload.JobID {
			for i := range next {
				id := workload.JobID(fmt.Sprintf("%016x", i))
				if _, ok := jobs[id]; ok && rapid.Bool().Draw(t, "this") {
					return id
				}
			}
			t.Skip("none")
			return ""
		}
		t.Repeat(map[string]func(*rapid.T){
			"reserve": func(t *rapid.T) {
				id := workload.JobID(fmt.Sprintf("%016x", next))
				next++
				bytes := rapid.Int64Range(1, 12*cell.LargeJobBytes).Draw(t, "bytes")
				if bytes < cell.LargeJobBytes {
					return // checked in "small"
				}
				_, largeBefore := sum(accepting)
				_, largeKnown := sum(known)
				if !m.reserve(now, id, bytes) {
					if largeBefore+largeKnown == 0 {
						t.Fatalf("a single job of %d bytes is refused", bytes)
					}
					return
				}
				accepting[id] = bytes
				if _, large := sum(accepting); largeBefore+largeKnown > 0 && float64(large+largeKnown) > largeJobShare*limit {
					t.Fatalf("%d bytes of large jobs are accepted", large+largeKnown)
				}
			},
			"small": func(t *rapid.T) {
				all, _ := sum(accepting)
				held, _ := sum(known)
				bytes := rapid.Int64Range(1, cell.LargeJobBytes-1).Draw(t, "bytes")
				if got, want := m.reserve(now, "small", bytes), all+held+bytes <= limit; got != want {
					t.Fatalf("a small job of %d bytes beside %d is accepted: %v", bytes, all+held, got)
				}
			},
			"accept": func(*rapid.T) {
				id := anyOf(accepting)
				known[id] = accepting[id]
				delete(accepting, id)
				update()
			},
			"fail": func(*rapid.T) {
				id := anyOf(accepting)
				delete(accepting, id)
				m.release(id)
			},
			"forget": func(*rapid.T) {
				delete(known, anyOf(known))
				update()
			},
			"lose": func(*rapid.T) {
				// The outcomes of all submissions stay unknown.
				now = now.Add(reservationTimeout + 1)
				clear(accepting)
				update()
			},
		})
	})
}
