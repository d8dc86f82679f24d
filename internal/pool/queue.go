package pool

import (
	"cmp"
	"slices"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/job"
)

// class determines when a pass places a task: first those of urgent jobs of any
// kind, then those of services, then all others. With PolicyFIFO all tasks wait
// in one class.
type class int

const (
	classUrgent class = iota
	classService
	classNormal
	numClasses
)

func classOf(s job.Spec) class {
	switch {
	case s.Priority == job.PriorityUrgent:
		return classUrgent
	case s.Kind == job.KindService:
		return classService
	}
	return classNormal
}

// queue holds the waiting tasks: by class, within a class by team, and within a
// team in queues of tasks of the same shape. A pass therefore examines only the
// head of each shape queue, however many tasks wait.
type queue struct {
	classes [numClasses]classQueue
	// singleClass puts all tasks into one class, for PolicyFIFO.
	singleClass bool
}

func (q *queue) classOf(s job.Spec) class {
	if q.singleClass {
		return classNormal
	}
	return classOf(s)
}

// classQueue holds the teams that have waiting tasks of one class.
type classQueue struct {
	teams []*teamQueue
}

// teamQueue holds the shape queues of one team, ordered by the arrival of their
// heads. A pass walks them with a cursor, so that a shape without capacity
// costs one step.
type teamQueue struct {
	name    string
	byShape map[shape]*shapeQueue
	entries []shapeEntry
	// cursor is the index in entries that the current pass has reached.
	cursor int
	// cachedHead is the head at the cursor. It is valid while headCached is
	// set.
	cachedHead *task
	headCached bool
}

// shapeEntry is the entry of a shape queue in the order of a team. It copies
// the arrival of the queue's head and the size of its tasks.
type shapeEntry struct {
	arrival uint64
	size    job.Size
	queue   *shapeQueue
}

// push adds a task to the queue of its shape.
func (q *queue) push(t *task) {
	c := &q.classes[q.classOf(t.job.spec)]
	tq := c.team(t.job.spec.Team)
	if tq == nil {
		tq = &teamQueue{name: t.job.spec.Team, byShape: make(map[shape]*shapeQueue)}
		c.teams = append(c.teams, tq)
	}
	s := shapeOf(t)
	sq, ok := tq.byShape[s]
	if !ok {
		sq = &shapeQueue{shape: s}
		tq.byShape[s] = sq
		sq.push(t)
		tq.insert(shapeEntry{arrival: t.job.arrival, size: s.size, queue: sq})
		return
	}
	sq.push(t)
	if at := tq.find(sq); t.job.arrival < tq.entries[at].arrival {
		tq.entries = slices.Delete(tq.entries, at, at+1)
		tq.insert(shapeEntry{arrival: t.job.arrival, size: s.size, queue: sq})
	}
}

// markStale notes that a queued task no longer waits. Its entry is removed when
// it reaches the head, or when about half of the entries of its shape queue are
// stale.
func (q *queue) markStale(t *task) {
	tq := q.classes[q.classOf(t.job.spec)].team(t.job.spec.Team)
	if tq == nil {
		return
	}
	if sq, ok := tq.byShape[shapeOf(t)]; ok {
		sq.stale++
		if sq.stale > len(sq.tasks)/2+minCompactEntries {
			sq.compact()
		}
	}
}

func (c *classQueue) team(name string) *teamQueue {
	for _, tq := range c.teams {
		if tq.name == name {
			return tq
		}
	}
	return nil
}

// beginPass resets the cursors and drops the teams without waiting tasks.
func (c *classQueue) beginPass() {
	c.teams = slices.DeleteFunc(c.teams, func(tq *teamQueue) bool { return len(tq.entries) == 0 })
	for _, tq := range c.teams {
		tq.cursor, tq.headCached = 0, false
	}
}

func (tq *teamQueue) insert(e shapeEntry) {
	at, _ := slices.BinarySearchFunc(tq.entries, e, func(a, b shapeEntry) int { return cmp.Compare(a.arrival, b.arrival) })
	tq.entries = slices.Insert(tq.entries, at, e)
}

func (tq *teamQueue) find(sq *shapeQueue) int {
	return slices.IndexFunc(tq.entries, func(e shapeEntry) bool { return e.queue == sq })
}

// head returns the oldest waiting task of the team that the pass has neither
// handled nor ruled out, or nil.
func (tq *teamQueue) head(f *capacityFilter) *task {
	if !tq.headCached {
		tq.cachedHead, tq.headCached = tq.findHead(f), true
	}
	return tq.cachedHead
}

// findHead moves the cursor to the next head, dropping the entries of tasks
// that no longer wait.
func (tq *teamQueue) findHead(f *capacityFilter) *task {
	for tq.cursor < len(tq.entries) {
		entry := &tq.entries[tq.cursor]
		if f.rulesOut(entry.size) {
			tq.cursor++
			continue
		}
		t := entry.queue.head()
		if t != nil && t.job.arrival == entry.arrival {
			return t
		}
		tq.reposition(t)
	}
	return nil
}

// reposition moves the shape queue at the cursor to the position of its new
// head, or removes it when it is empty.
func (tq *teamQueue) reposition(head *task) {
	sq := tq.entries[tq.cursor].queue
	tq.entries = slices.Delete(tq.entries, tq.cursor, tq.cursor+1)
	if head == nil {
		delete(tq.byShape, sq.shape)
		return
	}
	tq.insert(shapeEntry{arrival: head.job.arrival, size: sq.shape.size, queue: sq})
}

// skipShape excludes the shape queue at the cursor from the rest of the pass.
func (tq *teamQueue) skipShape() {
	tq.cursor++
	tq.headCached = false
}

// dropHead removes the task at the cursor.
func (tq *teamQueue) dropHead() {
	tq.entries[tq.cursor].queue.pop()
	tq.headCached = false
}

// enqueue makes a task wait for capacity.
func (p *Pool) enqueue(t *task, now time.Time) {
	t.phase = phaseWaiting
	t.worker = nil
	t.stopping = false
	if t.firstQueuedAt.IsZero() {
		t.firstQueuedAt = now
	}
	if t.waitingSince.IsZero() {
		t.waitingSince = now
	}
	if t.job.isGang() && !t.job.inStartWindow(now) && !t.leadsGang() {
		return
	}
	if p.mustHold(t, now) {
		p.hold(t)
		return
	}
	p.queue.push(t)
}

// leadsGang reports whether the task is queued on behalf of its gang, as its
// leader: every other member either waits or has ended.
func (t *task) leadsGang() bool {
	for _, o := range t.job.tasks {
		if o != t && o.phase != phaseWaiting && o.phase != phaseEnded {
			return false
		}
	}
	return true
}

// Waiting returns the number of tasks in the queue. Held tasks, and members of
// a gang whose leader is queued on their behalf, are not in it.
func (p *Pool) Waiting() int {
	n := 0
	for c := range p.queue.classes {
		for _, tq := range p.queue.classes[c].teams {
			for _, sq := range tq.byShape {
				n += sq.countWaiting()
			}
		}
	}
	return n
}
