package experiment

import (
	"container/heap"
	"time"
)

// agenda holds what happens later, in the order of time and then of entry.
type agenda struct {
	items []item
	next  int
}

type item struct {
	at    time.Time
	order int
	do    func(now time.Time)
}

// add has something happen at a time.
func (a *agenda) add(at time.Time, do func(now time.Time)) {
	a.next++
	heap.Push(a, item{at, a.next, do})
}

// take removes what happens next; false means that nothing does.
func (a *agenda) take() (item, bool) {
	if len(a.items) == 0 {
		return item{}, false
	}
	return heap.Pop(a).(item), true
}

// Len is part of heap.Interface.
func (a *agenda) Len() int { return len(a.items) }

// Less is part of heap.Interface.
func (a *agenda) Less(i, j int) bool {
	if !a.items[i].at.Equal(a.items[j].at) {
		return a.items[i].at.Before(a.items[j].at)
	}
	return a.items[i].order < a.items[j].order
}

// Swap is part of heap.Interface.
func (a *agenda) Swap(i, j int) { a.items[i], a.items[j] = a.items[j], a.items[i] }

// Push is part of heap.Interface.
func (a *agenda) Push(x any) { a.items = append(a.items, x.(item)) }

// Pop is part of heap.Interface.
func (a *agenda) Pop() any {
	last := a.items[len(a.items)-1]
	a.items = a.items[:len(a.items)-1]
	return last
}
