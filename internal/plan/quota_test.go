package plan

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"cicadabarrow.example/cicadabarrow/internal/job"
)

// TestAllotments checks that the allotments of a quota never add up to more
// than the quota, and that rounding loses less than one unit of each resource
// per data centre.
func TestAllotments(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := func(name string) job.Size {
			return job.Size{
				MilliCores: rapid.Int64Range(0, 1_000_000_000).Draw(t, name), MemoryMB: rapid.Int64Range(0, 1_000_000_000).Draw(t, name),
				Accelerators: rapid.Int64Range(0, 1_000_000).Draw(t, name),
			}
		}
		q := Quota{Guaranteed: size("guaranteed"), Limit: size("limit")}
		n := rapid.IntRange(1, 6).Draw(t, "data centres")
		for i := range n {
			q.DataCentres = append(q.DataCentres, DataCentreParts{fmt.Sprintf("dc%d", i), rapid.IntRange(1, MaxParts).Draw(t, "parts")})
		}
		var guaranteed, limit job.Size
		for i := range n {
			a := q.Allotment(fmt.Sprintf("dc%d", i))
			guaranteed, limit = guaranteed.Add(a.Guaranteed), limit.Add(a.Limit)
		}
		slack := job.Size{MilliCores: int64(n), MemoryMB: int64(n), Accelerators: int64(n)}
		if !guaranteed.Fits(q.Guaranteed) || !limit.Fits(q.Limit) {
			t.Fatalf("allotments %+v and %+v exceed the quota %+v", guaranteed, limit, q)
		}
		if !q.Guaranteed.Fits(guaranteed.Add(slack)) {
			t.Fatalf("allotments of %+v lose more than rounding: %+v", q.Guaranteed, guaranteed)
		}
	})
}
