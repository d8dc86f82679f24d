package pool

import (
	"cmp"
	"slices"

	"cicadabarrow.example/cicadabarrow/internal/job"
)

// minCompactEntries is the number of removed or stale entries that a shape
// queue keeps at least before it compacts.
const minCompactEntries = 32

// shape describes tasks that are placed alike: when one task of a shape finds
// no capacity, the next one finds none either.
type shape struct {
	kind    job.Kind
	members int
	size    job.Size
	// replayable is set for tasks that may start before their intents are
	// durable.
	replayable bool
}

func shapeOf(t *task) shape {
	s := shape{kind: t.job.spec.Kind, members: 1, size: t.size, replayable: t.mayStartUnjournaled()}
	if t.job.isGang() {
		s.members = len(t.job.tasks)
	}
	return s
}

// total returns the capacity that the head of the queue needs: that of the
// whole gang, or of the single task.
func (s shape) total() job.Size { return s.size.Times(int64(s.members)) }

// shapeQueue holds the waiting tasks of one shape, oldest job first.
type shapeQueue struct {
	shape shape
	tasks []*task
	// first is the index of the head in tasks.
	first int
	stale int
}

func (l *shapeQueue) push(t *task) {
	n := len(l.tasks)
	if n == l.first || !olderThan(t, l.tasks[n-1]) {
		l.tasks = append(l.tasks, t)
		return
	}
	at, _ := slices.BinarySearchFunc(l.tasks[l.first:], t, func(o, t *task) int {
		if olderThan(t, o) {
			return 1
		}
		return -1
	})
	l.tasks = slices.Insert(l.tasks, l.first+at, t)
}

func olderThan(a, b *task) bool {
	return cmp.Or(cmp.Compare(a.job.arrival, b.job.arrival), cmp.Compare(a.id.Index, b.id.Index)) < 0
}

// head returns the oldest task that still waits, or nil.
func (l *shapeQueue) head() *task {
	for l.first < len(l.tasks) {
		if t := l.tasks[l.first]; isWaiting(t) {
			return t
		}
		l.stale = max(l.stale-1, 0)
		l.pop()
	}
	return nil
}

func isWaiting(t *task) bool { return t.phase == phaseWaiting && !t.job.stopped() }

func (l *shapeQueue) pop() {
	l.tasks[l.first] = nil
	l.first++
	if l.first > minCompactEntries && l.first > len(l.tasks)/2 {
		l.tasks = slices.Delete(l.tasks, 0, l.first)
		l.first = 0
	}
}

// compact removes the entries of tasks that no longer wait.
func (l *shapeQueue) compact() {
	l.tasks = slices.DeleteFunc(l.tasks[l.first:], func(t *task) bool { return !isWaiting(t) })
	l.first, l.stale = 0, 0
}

func (l *shapeQueue) countWaiting() int {
	n := 0
	for _, t := range l.tasks[l.first:] {
		if isWaiting(t) {
			n++
		}
	}
	return n
}
