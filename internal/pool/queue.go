package pool

import (
	"cmp"
	"slices"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/job"
)

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

// queue holds the waiting tasks. Within a class they stand by team, and within
// a team in lanes of tasks that are alike, so that a pass looks at the head of
// each lane only, however many tasks wait.
type queue struct {
	classes [numClasses]classQueue
	// singleClass makes all tasks wait in singleClass class.
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

// teamQueue holds the lanes of one team, the one with the oldest head first. A
// pass walks them with a cursor, so that a lane without room costs one step.
type teamQueue struct {
	name    string
	byShape map[shape]*shapeQueue
	entries []shapeEntry
	// cursor is the place in order that the current pass has reached.
	cursor int
	// cachedHead is the head at the cursor once sought is set.
	cachedHead *task
	headCached bool
}

// shapeEntry is the shapeEntry of a lane in the order of a team. It keeps the age of the
// lane's head and the size of its tasks at hand.
type shapeEntry struct {
	arrival uint64
	size    job.Size
	queue   *shapeQueue
}

// push adds a task to its lane.
func (q *queue) push(t *task) {
	c := &q.classes[q.classOf(t.job.spec)]
	tq := c.team(t.job.spec.Team)
	if tq == nil {
		tq = &teamQueue{name: t.job.spec.Team, byShape: make(map[shape]*shapeQueue)}
		c.teams = append(c.teams, tq)
	}
	s := shapeOf(t)
	l, ok := tq.byShape[s]
	if !ok {
		l = &shapeQueue{shape: s}
		tq.byShape[s] = l
		l.push(t)
		tq.insert(shapeEntry{arrival: t.job.arrival, size: s.size, queue: l})
		return
	}
	l.push(t)
	if at := tq.find(l); t.job.arrival < tq.entries[at].arrival {
		tq.entries = slices.Delete(tq.entries, at, at+1)
		tq.insert(shapeEntry{arrival: t.job.arrival, size: s.size, queue: l})
	}
}

// markStale tells that a waiting task no longer waits. Its entry goes once it is
// at the head, or when half of its lane is like it.
func (q *queue) markStale(t *task) {
	tq := q.classes[q.classOf(t.job.spec)].team(t.job.spec.Team)
	if tq == nil {
		return
	}
	if l, ok := tq.byShape[shapeOf(t)]; ok {
		l.stale++
		if l.stale > len(l.tasks)/2+minCompactEntries {
			l.compact()
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

// beginPass begins a pass, without the teams that have nothing left to wait.
func (c *classQueue) beginPass() {
	c.teams = slices.DeleteFunc(c.teams, func(tq *teamQueue) bool { return len(tq.entries) == 0 })
	for _, tq := range c.teams {
		tq.cursor, tq.headCached = 0, false
	}
}

func (tq *teamQueue) insert(p shapeEntry) {
	at, _ := slices.BinarySearchFunc(tq.entries, p, func(a, b shapeEntry) int { return cmp.Compare(a.arrival, b.arrival) })
	tq.entries = slices.Insert(tq.entries, at, p)
}

func (tq *teamQueue) find(l *shapeQueue) int {
	return slices.IndexFunc(tq.entries, func(p shapeEntry) bool { return p.queue == l })
}

// head returns the oldest task that waits in any lane of the team which the
// pass has not dealt with or ruled out.
func (tq *teamQueue) head(s *capacityFilter) *task {
	if !tq.headCached {
		tq.cachedHead, tq.headCached = tq.findHead(s), true
	}
	return tq.cachedHead
}

// findHead moves the cursor to the next head, dropping the entries of tasks that
// wait no more.
func (tq *teamQueue) findHead(s *capacityFilter) *task {
	for tq.cursor < len(tq.entries) {
		entry := &tq.entries[tq.cursor]
		if s.rulesOut(entry.size) {
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

// reposition gives the lane at the cursor its place by its new head, or removes it
// when it has none.
func (tq *teamQueue) reposition(head *task) {
	l := tq.entries[tq.cursor].queue
	tq.entries = slices.Delete(tq.entries, tq.cursor, tq.cursor+1)
	if head == nil {
		delete(tq.byShape, l.shape)
		return
	}
	tq.insert(shapeEntry{arrival: head.job.arrival, size: l.shape.size, queue: l})
}

// skipShape leaves the lane at the cursor out of the rest of the pass.
func (tq *teamQueue) skipShape() {
	tq.cursor++
	tq.headCached = false
}

// dropHead removes the task at the cursor.
func (tq *teamQueue) dropHead() {
	tq.entries[tq.cursor].queue.pop()
	tq.headCached = false
}

// enqueue lets a task wait for room.
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

// leadsGang reports whether the task stands in the queue for its gang: it is
// the last of those that have not ended to come back to waiting.
func (t *task) leadsGang() bool {
	for _, o := range t.job.tasks {
		if o != t && o.phase != phaseWaiting && o.phase != phaseEnded {
			return false
		}
	}
	return true
}

// Waiting returns the number of tasks that stand in the queue.
func (p *Pool) Waiting() int {
	n := 0
	for c := range p.queue.classes {
		for _, tq := range p.queue.classes[c].teams {
			for _, l := range tq.byShape {
				n += l.countWaiting()
			}
		}
	}
	return n
}
