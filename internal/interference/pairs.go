package interference

import (
	"cmp"
	"slices"
	"time"
)

// Pair is a class that fares worse beside another one.
type Pair struct {
	// Task is the class that suffers the loss, and Beside the one that causes it.
	Task   Class
	Beside Class
	// Loss is the loss that one more task of Beside causes: the part of the latency target
	// by which the latency of a serving task rises, otherwise the part of its speed that
	// a task lacks.
	Loss float64
	// Age is the time since the two were last seen on one worker.
	Age time.Duration
}

// Change tells that a pair has become known or was forgotten.
type Change struct {
	Pair
	Known bool
}

// maxChanges limits the changes that are kept until they are taken.
const maxChanges = 32

// changeLog holds changes that were not taken yet.
type changeLog struct {
	changes []Change
	// omitted counts the changes beyond maxChanges.
	omitted int
}

func (l *changeLog) add(c Change) {
	if len(l.changes) >= maxChanges {
		l.omitted++
		return
	}
	l.changes = append(l.changes, c)
}

// TakeChanges returns the changes since the last call, and how many more there were.
func (m *Model) TakeChanges() (changes []Change, omitted int) {
	out := m.changes
	m.changes = changeLog{}
	return out.changes, out.omitted
}

// Refresh recomputes what the observations of the next classes show, in turn, and forgets
// what no longer holds. Each class should have its turn about once a second.
func (m *Model) Refresh(now time.Time, classes int) {
	weight := m.weightAt(now)
	for range min(classes, len(m.order)) {
		if m.next >= len(m.order) {
			m.next = 0
		}
		s := m.order[m.next]
		if now.Sub(s.seenAt) > dropAfter {
			m.drop(now, s) // the next one takes its place in the order
			continue
		}
		m.refresh(now, s, weight)
		m.next++
	}
}

func (m *Model) refresh(now time.Time, s *subject, weight float64) {
	s.full = false
	errors := s.solve(now, weight)
	for i, n := range s.neighbours {
		if n == nil {
			continue
		}
		loss := n.lossAt(now)
		switch {
		case n.known && loss < forgetLoss:
			m.setKnown(now, s, n, false)
		case !n.known && loss > knownLoss && n.workers[1] != "" && n.coefficient > significance*errors[i]:
			m.setKnown(now, s, n, true)
		}
	}
}

func (m *Model) setKnown(now time.Time, s *subject, n *neighbour, known bool) {
	change := 1
	if !known {
		change = -1
	}
	n.known = known
	m.known += change
	s.knownPairs += change
	if n.subject != s {
		n.subject.knownPairs += change
	}
	m.changes.add(Change{Pair: s.pair(now, n), Known: known})
}

func (s *subject) pair(now time.Time, n *neighbour) Pair {
	return Pair{Task: s.class, Beside: n.subject.class, Loss: n.lossAt(now), Age: max(now.Sub(n.seenAt), 0)}
}

// drop removes a class and its pairs.
func (m *Model) drop(now time.Time, gone *subject) {
	for _, s := range m.order {
		for i, n := range s.neighbours {
			if n == nil || s != gone && n.subject != gone {
				continue
			}
			if n.known {
				m.setKnown(now, s, n, false)
			}
			s.clear(i)
		}
	}
	delete(m.subjects, gone.class)
	m.order = slices.DeleteFunc(m.order, func(s *subject) bool { return s == gone })
}

// Classes returns the number of classes.
func (m *Model) Classes() int { return len(m.order) }

// Pairs returns the number of known pairs.
func (m *Model) Pairs() int { return m.known }

// Worst returns the known pairs with the largest loss, at most limit of them.
func (m *Model) Worst(now time.Time, limit int) []Pair {
	var out []Pair
	for _, s := range m.order {
		for _, n := range s.neighbours {
			if n != nil && n.known {
				out = append(out, s.pair(now, n))
			}
		}
	}
	slices.SortStableFunc(out, func(a, b Pair) int { return cmp.Compare(b.Loss, a.Loss) })
	return out[:min(len(out), limit)]
}

// Known reports whether a class is part of a known pair, so that Penalty may be more than 0.
func (m *Model) Known(c Class) bool {
	if !c.Valid() {
		return false
	}
	s, ok := m.subjects[c]
	return ok && s.knownPairs > 0
}

// Penalty returns the loss that one more task of a class would cause to the given tasks of
// a worker, plus the loss that they would cause to it. Only known pairs count.
func (m *Model) Penalty(now time.Time, task Class, beside []Presence) float64 {
	s, ok := m.subjects[task]
	if !ok || s.knownPairs == 0 {
		return 0
	}
	total := 0.0
	for _, p := range beside {
		if other, ok := m.subjects[p.Class]; ok && other.knownPairs > 0 {
			total += p.Tasks * (s.lossBeside(now, other) + other.lossBeside(now, s))
		}
	}
	return total
}

// lossBeside returns the loss per task of another class, 0 if the pair is not known.
func (s *subject) lossBeside(now time.Time, other *subject) float64 {
	if n := s.find(other); n != nil && n.known {
		return max(n.lossAt(now), 0)
	}
	return 0
}
