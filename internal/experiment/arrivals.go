package experiment

import (
	"fmt"
	"math"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// scheduleJobs adds the submissions of all jobs of a queue to the event queue.
func (s *simulation) scheduleJobs(q *Queue) {
	if len(s.load.Accounts) == 0 {
		s.scheduleJobsOf(q, nil, q.PerSecond)
		return
	}
	shares := 0.0
	for i := range s.load.Accounts {
		shares += s.load.Accounts[i].Share
	}
	for i := range s.load.Accounts {
		if a := &s.load.Accounts[i]; a.Share > 0 {
			s.scheduleJobsOf(q, a, q.PerSecond*a.Share/shares)
		}
	}
}

// scheduleJobsOf adds the submissions of the jobs of an account, or of none, to a queue.
// The times between them are exponentially distributed.
func (s *simulation) scheduleJobsOf(q *Queue, a *Account, perSecond float64) {
	at := time.Duration(0)
	for number := 0; perSecond > 0; number++ {
		rate := perSecond * s.burstFactor(q.Queue.Name, a, at)
		if rate <= 0 {
			at += tickInterval
			continue
		}
		at += time.Duration(s.rand.ExpFloat64() / rate * float64(time.Second))
		if at >= s.load.Duration {
			return
		}
		j := s.newJob(q, a, number)
		s.events.add(s.begin.Add(at), func(now time.Time) { s.accept(now, j) })
	}
}

// burstFactor returns the factor by which bursts multiply the rate of an account, or of
// none, in a queue at a time.
func (s *simulation) burstFactor(queue string, a *Account, at time.Duration) float64 {
	factor := 1.0
	for _, b := range s.load.Bursts {
		concerns := (b.Queue == "" || b.Queue == queue) && (b.Account == "" || a != nil && a.Terms.Name == b.Account)
		if concerns && at >= b.At && at < b.At+b.For {
			factor *= b.Factor
		}
	}
	return factor
}

func (s *simulation) newJob(q *Queue, a *Account, number int) *simulatedJob {
	const hexDigits = 16
	id := workload.JobID(fmt.Sprintf("%0*x", hexDigits, len(s.jobs)+1))
	j := &simulatedJob{
		queue: q, account: a, alwaysFails: s.rand.Float64() < q.HopelessShare, cancelled: s.rand.Float64() < q.CancelShare,
		job:      workload.Job{ID: id, Queue: q.Queue.Name, Spec: fmt.Sprintf("%s %d", q.Queue.Name, number)},
		runTimes: make(map[workload.TaskID]time.Duration),
	}
	meanTasks := q.MeanTasks
	if a != nil {
		meanTasks *= a.TaskFactor
	}
	for i := range s.drawCount(q.MeanSteps) {
		step := workload.Step{
			Tasks: s.drawCount(meanTasks), Size: q.Size, Checkpoints: q.Checkpoints,
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
	accepted := cell.AcceptedJob{Job: j.job, Queue: j.queue.Queue}
	if j.account != nil && !s.options.IgnoreAccounts {
		accepted.Account = j.account.Terms
	}
	if j.refused = s.refuses(accepted); j.refused {
		return
	}
	s.cell.Accept(now, accepted)
	if j.cancelled {
		s.scheduleAfter(now, cancelDelay, func(now time.Time) { s.cell.Cancel(now, j.job.ID) })
	}
}
