package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// noticeTime is after what time a task that is not at work counts as away for any cause.
const noticeTime = 5500 * time.Millisecond

// tracker follows the tasks of a step that lasts, to judge what ends them.
type tracker struct {
	mayMiss int
	record  *record

	mu     sync.Mutex
	tasks  map[string]*trackedTask
	broken []string
}

type trackedTask struct {
	runs    int
	since   time.Time
	endedAt time.Time
	byOrder bool
}

func newTracker(mayMiss int, r *record) *tracker {
	return &tracker{mayMiss: mayMiss, record: r, tasks: make(map[string]*trackedTask)}
}

func (t *tracker) started(task string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k, known := t.tasks[task]
	if !known {
		k = &trackedTask{endedAt: time.Now()}
		t.tasks[task] = k
	}
	k.runs++
	k.since = time.Now()
	if k.runs > 1 {
		t.violated("TWICE: %s runs %d times", task, k.runs)
	}
}

func (t *tracker) violated(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	t.broken = append(t.broken, text)
	t.record.add("BROKEN %s", text)
}

func (k *trackedTask) atWork() bool { return k.runs > 0 && time.Since(k.since) >= startUp }

// away reports whether a task is away: ended by an order and not at work since, or not at
// work for noticeTime.
func (k *trackedTask) away() bool {
	if k.atWork() {
		return false
	}
	return k.byOrder || time.Since(k.endedAt) >= noticeTime
}

func (t *tracker) ended(task string, byOrder bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k, known := t.tasks[task]
	if !known {
		return
	}
	if byOrder && k.atWork() {
		away := []string{}
		for name, other := range t.tasks {
			if name != task && other.away() {
				away = append(away, name)
			}
		}
		if len(away) >= t.mayMiss {
			t.violated("AVAIL: an order ends %s while %d others are away: %s", task, len(away), strings.Join(away, " "))
		}
	}
	if k.atWork() || !k.byOrder {
		k.byOrder = byOrder
		k.endedAt = time.Now()
	}
	k.runs--
}
