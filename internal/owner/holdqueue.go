package owner

import (
	"container/heap"
	"time"
)

// holdQueue holds the idle hold loops in order of the time at which their next call is
// due, so that a decision examines only the loops that are due and not those of all
// workers.
type holdQueue struct {
	loops dueLoops
	// acknowledging holds the loops that wait for a commit to acknowledge ends, at most
	// until they are due.
	acknowledging []*holdLoop
}

// add adds a loop that has become idle.
func (q *holdQueue) add(h *holdLoop, due time.Time) {
	h.due = due
	heap.Push(&q.loops, h)
}

// addAcknowledging adds a loop that waits for a commit, or until it is due.
func (q *holdQueue) addAcknowledging(h *holdLoop, due time.Time) {
	q.add(h, due)
	if !h.acknowledging {
		h.acknowledging = true
		q.acknowledging = append(q.acknowledging, h)
	}
}

// next removes and returns a loop whose next call is due, or returns nil.
func (q *holdQueue) next(now time.Time) *holdLoop {
	if len(q.loops) == 0 || now.Before(q.loops[0].due) {
		return nil
	}
	h, _ := heap.Pop(&q.loops).(*holdLoop)
	return h
}

// committed makes the loops due that wait for a commit.
func (q *holdQueue) committed(now time.Time) {
	for _, h := range q.acknowledging {
		h.acknowledging = false
		q.advance(h, now)
	}
	clear(q.acknowledging)
	q.acknowledging = q.acknowledging[:0]
}

// advance makes an idle loop due now, unless a failure delays its next call.
func (q *holdQueue) advance(h *holdLoop, now time.Time) {
	if h.position == notIdle || h.notBefore.After(now) {
		return
	}
	h.due = now
	heap.Fix(&q.loops, h.position)
}

// notIdle is the position of a loop that is not in the queue.
const notIdle = -1

// dueLoops is a heap by the time at which a loop is due. Of those that are due at the
// same time, since their reports were handled together, the one with the earliest last
// call goes first: its lease ends first.
type dueLoops []*holdLoop

func (l dueLoops) Len() int { return len(l) }

func (l dueLoops) Less(i, j int) bool {
	if l[i].due.Equal(l[j].due) {
		return l[i].sentAt.Before(l[j].sentAt)
	}
	return l[i].due.Before(l[j].due)
}

func (l dueLoops) Swap(i, j int) {
	l[i], l[j] = l[j], l[i]
	l[i].position, l[j].position = i, j
}

// Push is called by package heap.
func (l *dueLoops) Push(x any) {
	h, _ := x.(*holdLoop)
	h.position = len(*l)
	*l = append(*l, h)
}

// Pop is called by package heap.
func (l *dueLoops) Pop() any {
	last := len(*l) - 1
	h := (*l)[last]
	(*l)[last] = nil
	*l = (*l)[:last]
	h.position = notIdle
	return h
}
