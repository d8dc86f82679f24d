package cell

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// stepState is the state of a step in one occurrence of the job.
type stepState struct {
	id    workload.StepID
	job   *jobState
	spec  *workload.Step
	tasks []*task
	// ready is set when all steps that this one depends on are done.
	ready   bool
	readyAt time.Time
	waiting int
	done    int
	// failedRuns has the numbers of the failed runs of a gang.
	failedRuns []int
	// failedRun is the highest number of a gang's runs of which a member is known to have
	// failed.
	failedRun int
	// runTime is the total run time of the timedTasks: the done tasks whose run
	// time is known.
	runTime    time.Duration
	timedTasks int
	// rack is the rack of the first placed task, for steps whose tasks slow
	// down across racks.
	rack string
	// preemptedFor counts the tasks for which other runs are being preempted.
	preemptedFor int
	advice       adviceState
	// open is set while the step has tasks to place. It is then in the
	// evaluation queue, at the position given by key.
	open bool
	key  stepKey
	// class is that of the starts of the step.
	class startClass
	// evaluatedIn is the round of the last decision that evaluated the step.
	evaluatedIn uint64
}

func newStepState(now time.Time, j *jobState, occurrence, number int) *stepState {
	spec := &j.job.Steps[number]
	s := &stepState{
		id:  workload.StepID{Job: j.job.ID, Occurrence: occurrence, Step: number},
		job: j, spec: spec, waiting: spec.Tasks, tasks: make([]*task, spec.Tasks),
	}
	for i := range s.tasks {
		s.tasks[i] = &task{id: workload.TaskID{StepID: s.id, Index: i}, step: s, waitingSince: now}
	}
	return s
}

// openReadySteps opens, in one occurrence of a job, the steps whose dependencies
// are done.
func (c *Cell) openReadySteps(now time.Time, steps []*stepState) {
	for _, s := range steps {
		if s.ready || !s.dependenciesDone(steps) {
			continue
		}
		s.ready = true
		s.readyAt = now
		for _, t := range s.tasks {
			t.waitingSince = now
			c.setTaskTimers(now, t)
		}
		if s.waiting > 0 {
			c.openStep(now, s)
		}
	}
}

func (s *stepState) dependenciesDone(steps []*stepState) bool {
	for _, after := range s.spec.After {
		if steps[after].done < len(steps[after].tasks) {
			return false
		}
	}
	return true
}

// stopStep stops all runs of a step.
func (c *Cell) stopStep(now time.Time, s *stepState) {
	for _, t := range s.tasks {
		if t.current != nil {
			c.stop(now, t.current)
		}
	}
}
