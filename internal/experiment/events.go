package experiment

import (
	"container/heap"
	"time"
)

// eventQueue is a priority queue of future events, ordered by time. Events at the
// same time keep the order in which they were added.
type eventQueue struct {
	events  []event
	lastSeq int
}

type event struct {
	at  time.Time
	seq int
	run func(now time.Time)
}

// add schedules an event.
func (q *eventQueue) add(at time.Time, run func(now time.Time)) {
	q.lastSeq++
	heap.Push(q, event{at, q.lastSeq, run})
}

// next removes and returns the next event; false means that the queue is empty.
func (q *eventQueue) next() (event, bool) {
	if len(q.events) == 0 {
		return event{}, false
	}
	return heap.Pop(q).(event), true
}

// Len is part of heap.Interface.
func (q *eventQueue) Len() int { return len(q.events) }

// Less is part of heap.Interface.
func (q *eventQueue) Less(i, j int) bool {
	if !q.events[i].at.Equal(q.events[j].at) {
		return q.events[i].at.Before(q.events[j].at)
	}
	return q.events[i].seq < q.events[j].seq
}

// Swap is part of heap.Interface.
func (q *eventQueue) Swap(i, j int) { q.events[i], q.events[j] = q.events[j], q.events[i] }

// Push is part of heap.Interface.
func (q *eventQueue) Push(x any) { q.events = append(q.events, x.(event)) }

// Pop is part of heap.Interface.
func (q *eventQueue) Pop() any {
	last := q.events[len(q.events)-1]
	q.events = q.events[:len(q.events)-1]
	return last
}
