package pool

import "cicadabarrow.example/cicadabarrow/internal/job"

// bestFit is the default policy. Batch work and gangs go to the worker where
// the least capacity is left over. The tasks of a service go to the rack that
// runs the fewest of them, and there to the worker where the most is left over.
type bestFit struct{}

func (bestFit) choose(t *task, workers []*worker) *worker {
	if t.job.spec.Kind == job.KindService {
		return chooseSpread(t, workers)
	}
	return choosePacked(t, workers)
}

// choosePacked returns the worker that is fullest once the task runs there. It
// avoids workers with accelerators for tasks that need none.
func choosePacked(t *task, workers []*worker) *worker {
	var best *worker
	var bestScore float64
	for _, w := range workers {
		if !t.size.Fits(w.freeFor(t)) {
			continue
		}
		score := w.used.Add(t.size).DominantShare(w.host.Capacity)
		if t.size.Accelerators == 0 && w.host.Capacity.Accelerators > 0 {
			score--
		}
		if best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// chooseSpread returns a worker in the rack that runs the fewest tasks of the
// job, and within that rack the emptiest one.
func chooseSpread(t *task, workers []*worker) *worker {
	var best *worker
	var bestRack int
	var bestScore float64
	for _, w := range workers {
		if !t.size.Fits(w.freeFor(t)) {
			continue
		}
		rack := t.job.tasksPerRack[w.host.Rack]
		score := w.used.Add(t.size).DominantShare(w.host.Capacity)
		if best == nil || rack < bestRack || (rack == bestRack && score < bestScore) {
			best, bestRack, bestScore = w, rack, score
		}
	}
	return best
}
