package pool

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/job"
)

// maxMovingShare is the share of a service's tasks that may be down because
// they are being moved. One task always may.
const maxMovingShare = 0.1

// draining reports whether the services on the worker have to move away.
func (w *worker) draining() bool { return w.leaving || w.cordoned || w.host.Leaving }

// drainServices stops the tasks of services on workers that are leaving or
// cordoned, so that they run elsewhere: a few of a service at a time, and only
// while there is capacity for them. Other work ends by itself.
func (p *Pool) drainServices(now time.Time) []Action {
	var out []Action
	for _, w := range p.sortedWorkers {
		if !w.draining() || !w.unreachableSince.IsZero() || len(w.tasks) == 0 {
			continue
		}
		for _, t := range w.sortedTasks() {
			if t.job.spec.Kind == job.KindService && t.phase == phaseRunning && !t.stopping && p.mayMove(t) {
				out = append(out, p.preempt(t, now)...)
			}
		}
	}
	return out
}

// mayMove reports whether enough other tasks of the service run, and whether
// another worker has capacity for the task.
func (p *Pool) mayMove(t *task) bool {
	down := 0
	for _, o := range t.job.tasks {
		if o.phase != phaseRunning || o.stopping {
			down++
		}
	}
	if down >= max(1, int(maxMovingShare*float64(len(t.job.tasks)))) {
		return false
	}
	return p.chooser.choose(t, p.schedulable) != nil
}
