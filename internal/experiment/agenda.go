package experiment

import (
	"container/heap"
	"time"
)

// eventQueue holds what happens later, in the order of time and then of entry.
type eventQueue struct {
	events []event
	lastSeq  int
}

type event struct {
	at    time.Time
	seq int
	run    func(now time.Time)
}

// add has something happen at a time.
func (a *eventQueue) add(at time.Time, do func(now time.Time)) {
	a.lastSeq++
	heap.Push(a, event{at, a.lastSeq, do})
}

// next removes what happens next; false means that nothing does.
func (a *eventQueue) next() (event, bool) {
	if len(a.events) == 0 {
		return event{}, false
	}
	return heap.Pop(a).(event), true
}

// Len is part of heap.Interface.
func (a *eventQueue) Len() int { return len(a.events) }

// Less is part of heap.Interface.
func (a *eventQueue) Less(i, j int) bool {
	if !a.events[i].at.Equal(a.events[j].at) {
		return a.events[i].at.Before(a.events[j].at)
	}
	return a.events[i].seq < a.events[j].seq
}

// Swap is part of heap.Interface.
func (a *eventQueue) Swap(i, j int) { a.events[i], a.events[j] = a.events[j], a.events[i] }

// Push is part of heap.Interface.
func (a *eventQueue) Push(x any) { a.events = append(a.events, x.(event)) }

// Pop is part of heap.Interface.
func (a *eventQueue) Pop() any {
	last := a.events[len(a.events)-1]
	a.events = a.events[:len(a.events)-1]
	return last
}
