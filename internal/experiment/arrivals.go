package experiment

import (
	"fmt"
	"math"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// scheduleJobs adds the submissions of all jobs of a queue to the event queue.
// The times between them are exponentially distributed.
func (s *simulation) scheduleJobs(q *Queue) {
	at := time.Duration(0)
	for number := 0; q.PerSecond > 0; number++ {
		rate := q.PerSecond * s.burstFactor(q.Queue.Name, at)
		if rate <= 0 {
			at += tickInterval
			continue
		}
		at += time.Duration(s.rand.ExpFloat64() / rate * float64(time.Second))
		if at >= s.load.Duration {
			return
		}
		j := s.newJob(q, number)
		s.events.add(s.begin.Add(at), func(now time.Time) { s.accept(now, j) })
	}
}

// burstFactor returns the factor by which bursts multiply the rate of a queue at
// a time.
func (s *simulation) burstFactor(queue string, at time.Duration) float64 {
	factor := 1.0
	for _, b := range s.load.Bursts {
		if b.Queue == queue && at >= b.At && at < b.At+b.For {
			factor *= b.Factor
		}
	}
	return factor
}

func (s *simulation) newJob(q *Queue, number int) *simulatedJob {
	const hexDigits = 16
	id := workload.JobID(fmt.Sprintf("%0*x", hexDigits, len(s.jobs)+1))
	j := &simulatedJob{
		queue: q, alwaysFails: s.rand.Float64() < q.HopelessShare, cancelled: s.rand.Float64() < q.CancelShare,
		job:      workload.Job{ID: id, Queue: q.Queue.Name, Spec: fmt.Sprintf("%s %d", q.Queue.Name, number)},
		runTimes: make(map[workload.TaskID]time.Duration),
	}
	for i := range s.drawCount(q.MeanSteps) {
		step := workload.Step{
			Tasks: s.drawCount(q.MeanTasks), Size: q.Size, Checkpoints: q.Checkpoints,
			Estimate: time.Duration(float64(q.RunTime) * s.drawErrorFactor(q.EstimateError)),
		}
		if i > 0 {
			step.After = []int{i - 1}
		}
		j.job.Steps = append(j.job.Steps, step)
	}
	j.objective = cell.Objective(&j.job, &q.Queue)
	s.jobs[id] = j
	return j
}

// drawCount draws a number of at least 1 with a geometric tail.
func (s *simulation) drawCount(mean float64) int {
	if mean <= 1 {
		return 1
	}
	return 1 + int(math.Floor(s.rand.ExpFloat64()/math.Log(mean/(mean-1))))
}

// drawErrorFactor draws the factor by which an estimate is off, which is as often
// below 1 as above.
func (s *simulation) drawErrorFactor(maxError float64) float64 {
	return math.Pow(1+maxError, 2*s.rand.Float64()-1)
}

// runTime returns how long a task runs on a worker that is not slow. All runs of
// the task take the same time.
func (s *simulation) runTime(j *simulatedJob, id workload.TaskID) time.Duration {
	took, known := j.runTimes[id]
	if !known {
		const spread = 0.5
		took = time.Duration(float64(j.queue.RunTime) * s.drawErrorFactor(spread))
		j.runTimes[id] = took
	}
	return took
}

func (s *simulation) accept(now time.Time, j *simulatedJob) {
	j.submittedAt = now
	s.cell.Accept(now, cell.AcceptedJob{Job: j.job, Queue: j.queue.Queue})
	if j.cancelled {
		s.scheduleAfter(now, cancelDelay, func(now time.Time) { s.cell.Cancel(now, j.job.ID) })
	}
}
