package cell

import (
	"cmp"
	"slices"

	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// stepKey determines the order of the open steps: the smaller key gets capacity
// first. Keys are unique.
type stepKey struct {
	rank rank
	id   workload.StepID
}

func (k stepKey) compare(o stepKey) int {
	if n := k.rank.compare(o.rank); n != 0 {
		return n
	}
	return cmp.Or(cmp.Compare(k.id.Job, o.id.Job), cmp.Compare(k.id.Occurrence, o.id.Occurrence), cmp.Compare(k.id.Step, o.id.Step))
}

// stepList holds open steps sorted by key.
type stepList struct {
	steps []*stepState
}

// find returns the index of the first step whose key is not less than key.
func (l *stepList) find(key stepKey) int {
	at, _ := slices.BinarySearchFunc(l.steps, key, func(s *stepState, key stepKey) int { return s.key.compare(key) })
	return at
}

// add inserts a step unless it is present.
func (l *stepList) add(s *stepState) {
	at := l.find(s.key)
	if at == len(l.steps) || l.steps[at] != s {
		l.steps = slices.Insert(l.steps, at, s)
	}
}

// remove removes a step, and reports whether it was present.
func (l *stepList) remove(s *stepState) bool {
	at := l.find(s.key)
	if at == len(l.steps) || l.steps[at] != s {
		return false
	}
	l.steps = slices.Delete(l.steps, at, at+1)
	return true
}

// popFirst removes and returns the first step that meets a condition, or returns
// nil.
func (l *stepList) popFirst(meets func(*stepState) bool) *stepState {
	at := slices.IndexFunc(l.steps, meets)
	if at < 0 {
		return nil
	}
	first := l.steps[at]
	l.steps = slices.Delete(l.steps, at, at+1)
	return first
}

// first returns at most n steps from the start of the list.
func (l *stepList) first(n int) []*stepState { return l.steps[:max(min(n, len(l.steps)), 0)] }

func (l *stepList) len() int { return len(l.steps) }
