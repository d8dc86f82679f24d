package cell

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// ComparedChoice compares the worker that a step would get with the one without a model of
// interference.
type ComparedChoice struct {
	Step    workload.StepID
	Changed bool
	// Fault tells which precedence was not kept; empty if there is none.
	Fault string
}

// CompareChoices compares the choices for all steps of all jobs, as if they had one more
// task. It also makes some workers slow.
func (c *Cell) CompareChoices(now time.Time) []ComparedChoice {
	for i, w := range c.sortedWorkers {
		if i%4 == 0 {
			w.health.slowness, w.health.slownessAt = float64(i), now
		}
	}
	usable := newUsableWorkers(c)
	usable.begin(now)
	var out []ComparedChoice
	for _, id := range sortedKeys(c.jobs) {
		for _, steps := range c.jobs[id].occurrences {
			for _, s := range steps {
				eligible := c.eligible(now, s, c.queueOf(s.job), &usable)
				out = append(out, c.compareChoice(now, s, eligible))
				rack := s.rack
				s.rack = "" // as before its first task
				out = append(out, c.compareChoice(now, s, eligible))
				s.rack = rack
			}
		}
	}
	return out
}

func (c *Cell) compareChoice(now time.Time, s *stepState, eligible []*worker) ComparedChoice {
	model := c.interference.model
	c.interference.model = nil
	without := c.choose(now, s, eligible, "")
	c.interference.model = model
	with := c.choose(now, s, eligible, "")
	return ComparedChoice{s.id, with != without, s.precedenceFault(now, with, without)}
}

// precedenceFault compares two choices by the rules themselves, not by those functions that
// the choice uses.
func (s *stepState) precedenceFault(now time.Time, with, without *worker) string {
	if with == nil || without == nil {
		if with != without {
			return "without a worker with or without the model only"
		}
		return ""
	}
	inRack := func(w *worker) bool { return w.registration.HasLabel(s.spec.DataRack) }
	slow := func(w *worker) float64 {
		if v := w.health.currentSlowness(now); v > slowThreshold {
			return v
		}
		return 0
	}
	switch {
	case s.spec.DataRack != "" && inRack(without) && !inRack(with):
		return "away from its data"
	case s.spec.SameRack && with.registration.Rack() != without.registration.Rack():
		return "in another rack"
	case slow(with) > slow(without):
		return "on a slower worker"
	case !s.spec.Reserved().Fits(with.freeCapacity()):
		return "on a worker without room"
	case s.spec.MaxPerWorker > 0 && with.tasksOf(s.id) >= s.spec.MaxPerWorker:
		return "on a worker that has as many tasks of the step as it may"
	case s.spec.BestEffort && with.serves() && !without.serves():
		return "a best-effort task on a worker that serves"
	}
	return ""
}
