package experiment

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// Options choose how a load is played.
type Options struct {
	Seed   uint64
	Policy cell.Policy
	// WaitForRecords has every start wait for its record, however long commits
	// take.
	WaitForRecords bool
	// Progress is told how much of the play is over, from 0 to 1; nil is told
	// nothing.
	Progress func(share float64)
}

const (
	service = "workers"
	// tickInterval is the period of the cell's clock, and holdEvery that of the
	// reports of a worker on which nothing ends.
	tickInterval = 100 * time.Millisecond
	reportInterval = 1 * time.Second
	// cancelDelay is when a caller cancels a job that is cancelled at all.
	cancelDelay = 1 * time.Second
	// progressSteps is how often progress is told.
	progressSteps = 20
)

// simulation is an experiment while it runs.
type simulation struct {
	load    Load
	options Options
	begin   time.Time
	end     time.Time
	rand    *rand.Rand
	cell    *cell.Cell
	events  eventQueue
	workers map[cell.WorkerID]*worker
	workerList   []*worker
	adviceHosts  []int
	adviceBalancer  *cell.AdviceBalancer[int]
	jobs    map[workload.JobID]*simulatedJob
	// checkpoints has the work that checkpoints hold.
	checkpoints      map[string]time.Duration
	committing bool
	metrics      metrics
}

// simulatedJob is a job and what became of it.
type simulatedJob struct {
	queue     *Queue
	job       workload.Job
	submittedAt  time.Time
	objective time.Duration
	hopeless  bool
	cancelled bool
	// startedAt is zero until its first task has started, and endedAt until its
	// end was shown.
	startedAt time.Time
	endedAt   time.Time
	state     workload.State
	runTimes  map[workload.TaskID]time.Duration
}

// Simulate plays a load and returns what its callers got.
func Simulate(ctx context.Context, load Load, options Options) (Result, error) {
	p := newSimulation(load, options)
	p.schedule()
	told := 0
	for {
		next, more := p.events.next()
		if !more || next.at.After(p.end) {
			return p.result(), nil
		}
		if err := ctx.Err(); err != nil {
			return Result{}, fault.New("play", KindStopped, "%w", err)
		}
		p.metrics.advance(next.at)
		next.run(next.at)
		p.performActions(next.at)
		share := float64(next.at.Sub(p.begin)) / float64(p.end.Sub(p.begin))
		if step := int(share * progressSteps); step > told && options.Progress != nil {
			told = step
			options.Progress(share)
		}
	}
}

func newSimulation(load Load, options Options) *simulation {
	begin := time.Unix(0, 0).UTC()
	p := &simulation{
		load: load, options: options, begin: begin, end: begin.Add(load.Duration + load.Duration/2),
		rand:    rand.New(rand.NewPCG(options.Seed, options.Seed)),
		workers: make(map[cell.WorkerID]*worker), adviceBalancer: cell.NewAdviceBalancer[int](),
		jobs: make(map[workload.JobID]*simulatedJob), checkpoints: make(map[string]time.Duration),
	}
	p.metrics = newMetrics(begin, load)
	p.cell = cell.New(begin, cell.Config{
		Lease: time.Minute, MaxLease: time.Minute, ContactTimeout: time.Minute, StopRetryInterval: time.Second, KeepEnded: time.Hour,
		Policy: options.Policy,
	}, noopObserver{}, zap.NewNop())
	m := &manifest.Manifest{Version: 1}
	for i := range load.Queues {
		m.Queues = append(m.Queues, load.Queues[i].Queue)
	}
	p.cell.SetManifest(m)
	for i := range load.AdviceHosts {
		p.adviceHosts = append(p.adviceHosts, i)
	}
	p.cell.SetAdviceHosts(load.AdviceHosts)
	return p
}

// noopObserver is the observer of a cell whose stages nobody reads.
type noopObserver struct{}

// Observe does nothing.
func (noopObserver) Observe(cell.Stage, string, time.Duration) {}

// schedule puts the workers, the ticks and all jobs on the agenda.
func (p *simulation) schedule() {
	for i := range p.load.Workers.Count {
		p.addWorker(i)
	}
	p.tick(p.begin)
	for i := range p.load.Queues {
		p.scheduleJobs(&p.load.Queues[i])
	}
}

func (p *simulation) addWorker(number int) {
	w := &worker{
		id: cell.WorkerID(fmt.Sprintf("w%04d", number)), slowdown: 1, runs: make(map[workload.TaskID]*run),
		failing: p.rand.Float64() < p.load.Workers.FailingShare,
	}
	if p.rand.Float64() < p.load.Workers.SlowShare {
		w.slowdown = max(p.load.Workers.SlowFactor, 1)
	}
	p.workers[w.id] = w
	p.workerList = append(p.workerList, w)
	p.cell.Register(p.begin, w.registration(number, &p.load))
	p.reportPeriodically(p.begin, w)
}

func (p *simulation) tick(now time.Time) {
	p.cell.Tick(now)
	p.events.add(now.Add(tickInterval), p.tick)
}

// reportPeriodically has a worker report, now and again after a while.
func (p *simulation) reportPeriodically(now time.Time, w *worker) {
	p.report(now, w)
	p.events.add(now.Add(reportInterval), func(now time.Time) { p.reportPeriodically(now, w) })
}

// report has a worker report once.
func (p *simulation) report(now time.Time, w *worker) {
	plan, ok := p.cell.NextHold(now, w.id)
	if !ok {
		return
	}
	p.cell.Reported(now, w.id, w.report(now, p.begin, plan.Acknowledged))
}

// performActions carries out what the cell wants done, and commits its records.
func (p *simulation) performActions(now time.Time) {
	for _, a := range p.cell.TakeActions(now) {
		switch a := a.(type) {
		case cell.SendStart:
			p.scheduleAfter(now, p.load.CallTime, func(now time.Time) { p.start(now, a) })
		case cell.SendStop:
			p.scheduleAfter(now, p.load.CallTime, func(now time.Time) { p.stop(now, a) })
		case cell.AskAdvice:
			_, took := p.adviceBalancer.Pick(now, p.adviceHosts, a)
			p.metrics.adviceRequests++
			p.scheduleAfter(now, took, func(now time.Time) { p.cell.Advised(now, p.adviceFor(a)) })
		case cell.RequestReport:
			p.report(now, p.workers[a.Worker])
		}
	}
	if !p.committing && p.cell.HasRecords() {
		p.commit(now)
	}
}

func (p *simulation) scheduleAfter(now time.Time, wait time.Duration, do func(now time.Time)) {
	p.events.add(now.Add(wait), do)
}

const recordsPerCommit = 90

func (p *simulation) commit(now time.Time) {
	p.committing = true
	p.cell.SetEarlyStarts(p.load.CommitTime >= cell.SlowCommit && !p.options.WaitForRecords)
	records := p.cell.TakeRecords(recordsPerCommit)
	named := p.cell.EarlyStartWorkers(now)
	p.scheduleAfter(now, p.load.CommitTime, func(now time.Time) {
		p.committing = false
		p.cell.EarlyStartWorkersCommitted(named)
		p.cell.Committed(now, records)
		for i := range records {
			p.recordEnd(now, records[i].Job, records[i].State)
		}
	})
}

func (p *simulation) recordEnd(now time.Time, id workload.JobID, state workload.State) {
	if j := p.jobs[id]; state.Final() && j.endedAt.IsZero() {
		j.endedAt, j.state = now, state
	}
}

// start begins a run at a worker.
func (p *simulation) start(now time.Time, a cell.SendStart) {
	w := p.workers[a.Worker]
	j := p.jobs[a.Task.Job]
	if j.startedAt.IsZero() {
		j.startedAt = now
	}
	r := &run{task: a.Task, number: a.Run, startedAt: now, savedWork: p.checkpoints[a.Checkpoint]}
	r.duration = time.Duration(float64(p.runTime(j, a.Task)) * w.slowdown)
	r.fails = w.failing || j.hopeless || p.rand.Float64() < j.queue.FailShare
	w.runs[a.Task] = r
	p.metrics.starts++
	p.metrics.addCores(now, p.cores(j, a.Task))
	p.cell.Started(now, a.Worker, a.Task, a.Run, cell.StartOutcome{Clock: now.Sub(p.begin)})
	p.scheduleAfter(now, max(r.duration-r.savedWork, 0), func(now time.Time) { p.finish(now, w, r) })
}

// finish ends a run that has come to its end by itself.
func (p *simulation) finish(now time.Time, w *worker, r *run) {
	if r.ended {
		return
	}
	how := cell.EndDone
	if r.fails {
		how = cell.EndFailed
		p.metrics.addWasted(now.Sub(r.startedAt), p.cores(p.jobs[r.task.Job], r.task))
	}
	w.end(r, how, "")
	p.metrics.addCores(now, -p.cores(p.jobs[r.task.Job], r.task))
	p.scheduleAfter(now, p.load.CallTime, func(now time.Time) { p.report(now, w) })
}

// stop ends a run on the owner's word.
func (p *simulation) stop(now time.Time, a cell.SendStop) {
	w := p.workers[a.Worker]
	if r, there := w.runs[a.Task]; there && r.number == a.Run {
		j := p.jobs[a.Task.Job]
		checkpoint := ""
		if j.queue.Checkpoints {
			checkpoint = fmt.Sprintf("%s/%d", a.Task, a.Run)
			p.checkpoints[checkpoint] = r.savedWork + now.Sub(r.startedAt)
		} else {
			p.metrics.addWasted(now.Sub(r.startedAt), p.cores(j, a.Task))
		}
		w.end(r, cell.EndStopped, checkpoint)
		p.metrics.stops++
		p.metrics.addCores(now, -p.cores(j, a.Task))
	}
	p.cell.Stopped(a.Worker, a.Task, a.Run, now.Sub(p.begin))
	p.report(now, w)
}

func (p *simulation) cores(j *simulatedJob, id workload.TaskID) float64 {
	const milli = 1000
	return float64(j.job.Steps[id.Step].Size.MilliCores) / milli
}

// adviceFor answers a question. Which workers are allowed never changes.
func (p *simulation) adviceFor(a cell.AskAdvice) cell.Advice {
	out := cell.Advice{Step: a.Step, Asked: a.Workers}
	share := p.jobs[a.Step.Job].queue.AllowedShare
	for _, id := range a.Workers {
		h := fnv.New32a()
		_, _ = io.WriteString(h, a.Step.String()+"/"+string(id))
		const buckets = 1000
		if float64(h.Sum32()%buckets) < share*buckets {
			out.Allowed = append(out.Allowed, cell.Ticket{Worker: id, Value: "allowed"})
		}
	}
	return out
}
