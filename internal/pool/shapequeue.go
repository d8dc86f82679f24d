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

func (sq *shapeQueue) push(t *task) {
	n := len(sq.tasks)
	if n == sq.first || !olderThan(t, sq.tasks[n-1]) {
		sq.tasks = append(sq.tasks, t)
		return
	}
	at, _ := slices.BinarySearchFunc(sq.tasks[sq.first:], t, func(o, t *task) int {
		if olderThan(t, o) {
			return 1
		}
		return -1
	})
	sq.tasks = slices.Insert(sq.tasks, sq.first+at, t)
}

func olderThan(a, b *task) bool {
	return cmp.Or(cmp.Compare(a.job.arrival, b.job.arrival), cmp.Compare(a.id.Index, b.id.Index)) < 0
}

// head returns the oldest task that still waits, or nil.
func (sq *shapeQueue) head() *task {
	for sq.first < len(sq.tasks) {
		if t := sq.tasks[sq.first]; isWaiting(t) {
			return t
		}
		sq.stale = max(sq.stale-1, 0)
		sq.pop()
	}
	return nil
}

func isWaiting(t *task) bool { return t.phase == phaseWaiting && !t.job.stopped() }

func (sq *shapeQueue) pop() {
	sq.tasks[sq.first] = nil
	sq.first++
	if sq.first > minCompactEntries && sq.first > len(sq.tasks)/2 {
		sq.tasks = slices.Delete(sq.tasks, 0, sq.first)
		sq.first = 0
	}
}

// compact removes the entries of tasks that no longer wait.
func (sq *shapeQueue) compact() {
	sq.tasks = slices.DeleteFunc(sq.tasks[sq.first:], func(t *task) bool { return !isWaiting(t) })
	sq.first, sq.stale = 0, 0
}

func (sq *shapeQueue) countWaiting() int {
	n := 0
	for _, t := range sq.tasks[sq.first:] {
		if isWaiting(t) {
			n++
		}
	}
	return n
}
