package experiment

import (
	"fmt"
	"math"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// scheduleJobs puts all jobs of a queue on the agenda.
func (p *simulation) scheduleJobs(q *Queue) {
	at := time.Duration(0)
	for number := 0; q.PerSecond > 0; number++ {
		rate := q.PerSecond * p.burstFactor(q.Queue.Name, at)
		if rate <= 0 {
			at += tickInterval
			continue
		}
		at += time.Duration(p.rand.ExpFloat64() / rate * float64(time.Second))
		if at >= p.load.Duration {
			return
		}
		j := p.newJob(q, number)
		p.events.add(p.begin.Add(at), func(now time.Time) { p.accept(now, j) })
	}
}

// burstFactor returns by what the rate of a queue is multiplied at a time.
func (p *simulation) burstFactor(queue string, at time.Duration) float64 {
	times := 1.0
	for _, b := range p.load.Bursts {
		if b.Queue == queue && at >= b.At && at < b.At+b.For {
			times *= b.Factor
		}
	}
	return times
}

func (p *simulation) newJob(q *Queue, number int) *simulatedJob {
	const hexDigits = 16
	id := workload.JobID(fmt.Sprintf("%0*x", hexDigits, len(p.jobs)+1))
	j := &simulatedJob{
		queue: q, hopeless: p.rand.Float64() < q.HopelessShare, cancelled: p.rand.Float64() < q.CancelShare,
		job:      workload.Job{ID: id, Queue: q.Queue.Name, Spec: fmt.Sprintf("%s %d", q.Queue.Name, number)},
		runTimes: make(map[workload.TaskID]time.Duration),
	}
	for i := range p.drawCount(q.MeanSteps) {
		step := workload.Step{
			Tasks: p.drawCount(q.MeanTasks), Size: q.Size, Checkpoints: q.Checkpoints,
			Estimate: time.Duration(float64(q.RunTime) * p.drawErrorFactor(q.EstimateError)),
		}
		if i > 0 {
			step.After = []int{i - 1}
		}
		j.job.Steps = append(j.job.Steps, step)
	}
	j.objective = cell.Objective(&j.job, &q.Queue)
	p.jobs[id] = j
	return j
}

// drawCount draws a number of at least 1 with a geometric tail.
func (p *simulation) drawCount(mean float64) int {
	if mean <= 1 {
		return 1
	}
	return 1 + int(math.Floor(p.rand.ExpFloat64()/math.Log(mean/(mean-1))))
}

// drawErrorFactor draws by what an estimate is wrong, as often too small as too large.
func (p *simulation) drawErrorFactor(wrong float64) float64 {
	return math.Pow(1+wrong, 2*p.rand.Float64()-1)
}

// runTime returns how long a task runs on a sound worker. It is the same for all
// of its runs.
func (p *simulation) runTime(j *simulatedJob, id workload.TaskID) time.Duration {
	took, known := j.runTimes[id]
	if !known {
		const spread = 0.5
		took = time.Duration(float64(j.queue.RunTime) * p.drawErrorFactor(spread))
		j.runTimes[id] = took
	}
	return took
}

func (p *simulation) accept(now time.Time, j *simulatedJob) {
	j.submittedAt = now
	p.cell.Accept(now, cell.AcceptedJob{Job: j.job, Queue: j.queue.Queue})
	if j.cancelled {
		p.scheduleAfter(now, cancelDelay, func(now time.Time) { p.cell.Cancel(now, j.job.ID) })
	}
}
