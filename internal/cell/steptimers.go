package cell

import "time"

// stepTimer fires when the rank of a step changes or when a new measure for it
// becomes possible, such as preemption.
type stepTimer struct {
	at   time.Time
	step *stepState
}

// stepTimers is a heap of timers, of which the first one is the earliest. A large job has
// a thousand steps, each with up to two timers, so that a sorted list would move all
// later timers for each of them.
type stepTimers []stepTimer

// push adds a timer.
func (h *stepTimers) push(t stepTimer) {
	*h = append(*h, t)
	timers := *h
	for i := len(timers) - 1; i > 0; {
		parent := (i - 1) / 2
		if !timers[i].at.Before(timers[parent].at) {
			return
		}
		timers[i], timers[parent] = timers[parent], timers[i]
		i = parent
	}
}

// popDue removes and returns the earliest timer if it is due.
func (h *stepTimers) popDue(now time.Time) (stepTimer, bool) {
	timers := *h
	if len(timers) == 0 || now.Before(timers[0].at) {
		return stepTimer{}, false
	}
	first, last := timers[0], len(timers)-1
	timers[0], timers[last] = timers[last], stepTimer{}
	*h = timers[:last]
	h.down()
	return first, true
}

// down moves the first timer to its place.
func (h *stepTimers) down() {
	timers := *h
	for i := 0; ; {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(timers); child++ {
			if timers[child].at.Before(timers[least].at) {
				least = child
			}
		}
		if least == i {
			return
		}
		timers[i], timers[least] = timers[least], timers[i]
		i = least
	}
}
