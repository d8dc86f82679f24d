package pool

import (
	"cmp"
	"slices"

	"cicadabarrow.example/cicadabarrow/internal/job"
)

// minCompactEntries is the number of forgotten entries that a lane keeps at least.
const minCompactEntries = 32

// shape is what makes waiting tasks alike: where one finds no room, the next
// one finds none either.
type shape struct {
	kind    job.Kind
	members int
	size    job.Size
	// replayable tasks may start while the journal stands still.
	replayable bool
}

func shapeOf(t *task) shape {
	s := shape{kind: t.job.spec.Kind, members: 1, size: t.size, replayable: t.mayStartUnjournaled()}
	if t.job.isGang() {
		s.members = len(t.job.tasks)
	}
	return s
}

// total is the room that the lane's head needs altogether.
func (s shape) total() job.Size { return s.size.Times(int64(s.members)) }

// shapeQueue holds waiting tasks of one shape, those of the oldest job first.
type shapeQueue struct {
	shape shape
	tasks []*task
	// first is the place of the head in tasks.
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

// head returns the oldest task that still waits, nil when there is none.
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

// compact removes the entries of tasks that wait no more.
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
