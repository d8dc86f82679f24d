package plan

import (
	"maps"
	"testing"

	"pgregory.net/rapid"
)

// TestReplicaNeverReverts adopts the same sections in two replicas, in
// different orders and some of them several times. No team's revision may go
// back, and both replicas must end with the same digest.
func TestReplicaNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		adopted := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Section {
			return Section{
				Team:     rapid.SampledFrom([]string{"payments", "editorial", "feeds"}).Draw(t, "Team"),
				Revision: rapid.Uint64Range(0, 12).Draw(t, "Revision"),
			}
		}), 1, 40).Draw(t, "Adopted")
		replica, other := NewReplica(), NewReplica()
		want := make(map[string]uint64)
		for _, s := range adopted {
			if got := replica.Adopt(s); got != (s.Revision > want[s.Team]) {
				t.Fatalf("Adopt(%s at revision %d) = %v with revision %d in force", s.Team, s.Revision, got, want[s.Team])
			}
			if s.Revision > want[s.Team] {
				want[s.Team] = s.Revision
			}
			if got := replica.Revisions(); !maps.Equal(got, want) {
				t.Fatalf("revisions %v, want %v", got, want)
			}
		}
		for _, s := range rapid.Permutation(adopted).Draw(t, "Shuffled") {
			other.Adopt(s)
		}
		if replica.Digest() != other.Digest() {
			t.Fatalf("digests %v and %v differ for the same sections", replica.Digest(), other.Digest())
		}
		for _, s := range replica.Newer(map[string]uint64{"payments": 6}) {
			if s.Revision <= 6 && s.Team == "payments" {
				t.Fatalf("Newer returned %s at revision %d, want above 6", s.Team, s.Revision)
			}
		}
		after := rapid.Uint64Range(0, 12).Draw(t, "After")
		changed := replica.Changed(after)
		for _, revision := range want {
			if revision > after {
				changed = changed[1:]
			}
		}
		if len(changed) != 0 {
			t.Fatalf("%d sections too many with a revision above %d", len(changed), after)
		}
	})
}
