package cell

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/admission"
)

// waitingWork is work that waits to be started.
type waitingWork struct {
	tasks      int
	milliCores int64
}

func (w *waitingWork) add(tasks int, s *stepState) {
	w.tasks += tasks
	w.milliCores += int64(tasks) * s.spec.Reserved().MilliCores
}

// Load returns what decides whether new jobs are accepted.
func (c *Cell) Load(now time.Time) admission.Load {
	out := admission.Load{Started: c.startsAccepted}
	if c.manifest == nil {
		return out
	}
	waiting, free := c.waitingByClass(), c.freeMilliCores(now)
	out.StartsFail = c.startsFail(now)
	longRunning := waiting[classLongRunning]
	out.LongRunning = admission.Demand{
		Tasks:   longRunning.tasks + c.dispatch.parts[startLongRunning].waiting,
		Delayed: c.dispatch.full(now, startLongRunning) || longRunning.milliCores > free,
	}
	targets := make(map[int]time.Duration)
	for i := range c.manifest.Queues {
		q := &c.manifest.Queues[i]
		if known, ok := targets[q.Priority]; !ok || q.TargetLatency < known {
			targets[q.Priority] = q.TargetLatency
		}
	}
	for _, priority := range sortedKeys(targets) {
		d := c.demandOf(now, priority, waiting, free)
		d.Target = targets[priority]
		out.Priorities = append(out.Priorities, d)
	}
	return out
}

// demandOf returns the demand before a new job of a priority: long-running tasks, and
// those of its priority or a higher one. Jobs in classExpired go after it.
func (c *Cell) demandOf(now time.Time, priority int, waiting map[int]waitingWork, free int64) admission.Demand {
	class := startOther
	if priority == 0 {
		class = startUrgent
	}
	out := admission.Demand{Priority: priority, Delayed: c.dispatch.full(now, class)}
	milliCores := int64(0)
	for before, work := range waiting {
		if before <= priority {
			out.Tasks += work.tasks
			milliCores += work.milliCores
		}
	}
	for earlier := range class + 1 {
		out.Tasks += c.dispatch.parts[earlier].waiting
	}
	out.Delayed = out.Delayed || milliCores > free
	return out
}

// waitingByClass returns the tasks that wait to be placed by the class of their rank,
// with all long-running ones in classLongRunning.
func (c *Cell) waitingByClass() map[int]waitingWork {
	out := make(map[int]waitingWork)
	for _, s := range c.openSteps {
		class := s.key.rank.class
		if s.spec.LongRunning {
			class = classLongRunning
		}
		work := out[class]
		work.add(s.waiting, s)
		out[class] = work
	}
	return out
}

// freeMilliCores returns the free capacity of the workers that may get starts.
func (c *Cell) freeMilliCores(now time.Time) int64 {
	free := int64(0)
	for _, w := range c.sortedWorkers {
		if c.usable(now, w) {
			free += max(w.freeCapacity().MilliCores, 0)
		}
	}
	return free
}

const (
	// failedStartAge is how long a start without an answer counts, unless the worker
	// accepts one after it.
	failedStartAge = 2 * time.Second
	// failingDivisor of the workers that may get starts gives how many of them may fail
	// at once for reasons of their own.
	failingDivisor = 4
)

// startsFail reports whether the last starts on many of the workers that answer hold
// calls had no answer.
func (c *Cell) startsFail(now time.Time) bool {
	usable, failing := 0, 0
	for _, w := range c.sortedWorkers {
		if !c.usable(now, w) {
			continue
		}
		usable++
		if now.Sub(w.startFailedAt) < failedStartAge {
			failing++
		}
	}
	return failing > usable/failingDivisor
}
