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

// first returns at most n steps from the start of the list.
func (l *stepList) first(n int) []*stepState { return l.steps[:max(min(n, len(l.steps)), 0)] }

func (l *stepList) len() int { return len(l.steps) }

// classifiedSteps holds open steps by the class of their starts, so that steps of a class
// for which the dispatch queue is full cost nothing.
type classifiedSteps struct {
	lists [startClasses]stepList
}

// classSet is a set of classes of starts.
type classSet [startClasses]bool

func (l *classifiedSteps) add(s *stepState) { l.lists[s.class].add(s) }

// remove removes a step, and reports whether it was present.
func (l *classifiedSteps) remove(s *stepState) bool { return l.lists[s.class].remove(s) }

func (l *classifiedSteps) len() int {
	n := 0
	for class := range l.lists {
		n += l.lists[class].len()
	}
	return n
}

// popFirst removes and returns the first step of the given classes, or returns nil.
func (l *classifiedSteps) popFirst(of *classSet) *stepState {
	steps := l.first(1, of)
	if len(steps) == 0 {
		return nil
	}
	l.remove(steps[0])
	return steps[0]
}

// first returns at most n steps of the given classes in order.
func (l *classifiedSteps) first(n int, of *classSet) []*stepState {
	var out []*stepState
	var next [startClasses]int
	for len(out) < n {
		var first *stepState
		for class := range l.lists {
			steps := l.lists[class].steps[next[class]:]
			if of[class] && len(steps) > 0 && (first == nil || steps[0].key.compare(first.key) < 0) {
				first = steps[0]
			}
		}
		if first == nil {
			break
		}
		next[first.class]++
		out = append(out, first)
	}
	return out
}
