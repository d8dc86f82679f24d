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
	// tickEvery is the period of the cell's clock, and holdEvery that of the
	// reports of a worker on which nothing ends.
	tickEvery = 100 * time.Millisecond
	holdEvery = 1 * time.Second
	// cancelAfter is when a caller cancels a job that is cancelled at all.
	cancelAfter = 1 * time.Second
	// progressSteps is how often progress is told.
	progressSteps = 20
)

// play is an experiment while it runs.
type play struct {
	load    Load
	options Options
	begin   time.Time
	end     time.Time
	rand    *rand.Rand
	cell    *cell.Cell
	agenda  agenda
	workers map[cell.WorkerID]*worker
	order   []*worker
	askers  []int
	spread  *cell.AdviceBalancer[int]
	jobs    map[workload.JobID]*jobPlay
	// saved has the work that checkpoints hold.
	saved      map[string]time.Duration
	committing bool
	tally      tally
}

// jobPlay is a job and what became of it.
type jobPlay struct {
	queue     *Queue
	job       workload.Job
	handedIn  time.Time
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
	p := newPlay(load, options)
	p.schedule()
	told := 0
	for {
		next, more := p.agenda.take()
		if !more || next.at.After(p.end) {
			return p.result(), nil
		}
		if err := ctx.Err(); err != nil {
			return Result{}, fault.New("play", KindStopped, "%w", err)
		}
		p.tally.pass(next.at)
		next.do(next.at)
		p.act(next.at)
		share := float64(next.at.Sub(p.begin)) / float64(p.end.Sub(p.begin))
		if step := int(share * progressSteps); step > told && options.Progress != nil {
			told = step
			options.Progress(share)
		}
	}
}

func newPlay(load Load, options Options) *play {
	begin := time.Unix(0, 0).UTC()
	p := &play{
		load: load, options: options, begin: begin, end: begin.Add(load.Duration + load.Duration/2),
		rand:    rand.New(rand.NewPCG(options.Seed, options.Seed)),
		workers: make(map[cell.WorkerID]*worker), spread: cell.NewAdviceBalancer[int](),
		jobs: make(map[workload.JobID]*jobPlay), saved: make(map[string]time.Duration),
	}
	p.tally = newTally(begin, load)
	p.cell = cell.New(begin, cell.Config{
		Lease: time.Minute, MaxLease: time.Minute, ContactTimeout: time.Minute, StopRetryInterval: time.Second, KeepEnded: time.Hour,
		Policy: options.Policy,
	}, unobserved{}, zap.NewNop())
	m := &manifest.Manifest{Version: 1}
	for i := range load.Queues {
		m.Queues = append(m.Queues, load.Queues[i].Queue)
	}
	p.cell.SetManifest(m)
	for i := range load.AdviceHosts {
		p.askers = append(p.askers, i)
	}
	p.cell.SetAdviceHosts(load.AdviceHosts)
	return p
}

// unobserved is the observer of a cell whose stages nobody reads.
type unobserved struct{}

// Observe does nothing.
func (unobserved) Observe(cell.Stage, string, time.Duration) {}

// schedule puts the workers, the ticks and all jobs on the agenda.
func (p *play) schedule() {
	for i := range p.load.Workers.Count {
		p.addWorker(i)
	}
	p.tick(p.begin)
	for i := range p.load.Queues {
		p.handIn(&p.load.Queues[i])
	}
}

func (p *play) addWorker(number int) {
	w := &worker{
		id: cell.WorkerID(fmt.Sprintf("w%04d", number)), slowdown: 1, runs: make(map[workload.TaskID]*run),
		failing: p.rand.Float64() < p.load.Workers.FailingShare,
	}
	if p.rand.Float64() < p.load.Workers.SlowShare {
		w.slowdown = max(p.load.Workers.SlowFactor, 1)
	}
	p.workers[w.id] = w
	p.order = append(p.order, w)
	p.cell.Register(p.begin, w.registration(number, &p.load))
	p.hold(p.begin, w)
}

func (p *play) tick(now time.Time) {
	p.cell.Tick(now)
	p.agenda.add(now.Add(tickEvery), p.tick)
}

// hold has a worker report, now and again after a while.
func (p *play) hold(now time.Time, w *worker) {
	p.tell(now, w)
	p.agenda.add(now.Add(holdEvery), func(now time.Time) { p.hold(now, w) })
}

// tell has a worker report once.
func (p *play) tell(now time.Time, w *worker) {
	plan, ok := p.cell.NextHold(now, w.id)
	if !ok {
		return
	}
	p.cell.Reported(now, w.id, w.report(now, p.begin, plan.Acknowledged))
}

// act carries out what the cell wants done, and commits its records.
func (p *play) act(now time.Time) {
	for _, a := range p.cell.TakeActions(now) {
		switch a := a.(type) {
		case cell.SendStart:
			p.later(now, p.load.CallTime, func(now time.Time) { p.start(now, a) })
		case cell.SendStop:
			p.later(now, p.load.CallTime, func(now time.Time) { p.stop(now, a) })
		case cell.AskAdvice:
			_, took := p.spread.Pick(now, p.askers, a)
			p.tally.questions++
			p.later(now, took, func(now time.Time) { p.cell.Advised(now, p.advise(a)) })
		case cell.RequestReport:
			p.tell(now, p.workers[a.Worker])
		}
	}
	if !p.committing && p.cell.HasRecords() {
		p.commit(now)
	}
}

func (p *play) later(now time.Time, wait time.Duration, do func(now time.Time)) {
	p.agenda.add(now.Add(wait), do)
}

const recordsPerCommit = 90

func (p *play) commit(now time.Time) {
	p.committing = true
	p.cell.SetEarlyStarts(p.load.CommitTime >= cell.SlowCommit && !p.options.WaitForRecords)
	records := p.cell.TakeRecords(recordsPerCommit)
	named := p.cell.EarlyStartWorkers(now)
	p.later(now, p.load.CommitTime, func(now time.Time) {
		p.committing = false
		p.cell.EarlyStartWorkersCommitted(named)
		p.cell.Committed(now, records)
		for i := range records {
			p.noteEnd(now, records[i].Job, records[i].State)
		}
	})
}

func (p *play) noteEnd(now time.Time, id workload.JobID, state workload.State) {
	if j := p.jobs[id]; state.Final() && j.endedAt.IsZero() {
		j.endedAt, j.state = now, state
	}
}

// start begins a run at a worker.
func (p *play) start(now time.Time, a cell.SendStart) {
	w := p.workers[a.Worker]
	j := p.jobs[a.Task.Job]
	if j.startedAt.IsZero() {
		j.startedAt = now
	}
	r := &run{task: a.Task, number: a.Run, from: now, done: p.saved[a.Checkpoint]}
	r.took = time.Duration(float64(p.runTime(j, a.Task)) * w.slowdown)
	r.fails = w.failing || j.hopeless || p.rand.Float64() < j.queue.FailShare
	w.runs[a.Task] = r
	p.tally.starts++
	p.tally.use(now, p.cores(j, a.Task))
	p.cell.Started(now, a.Worker, a.Task, a.Run, cell.StartOutcome{Clock: now.Sub(p.begin)})
	p.later(now, max(r.took-r.done, 0), func(now time.Time) { p.finish(now, w, r) })
}

// finish ends a run that has come to its end by itself.
func (p *play) finish(now time.Time, w *worker, r *run) {
	if r.over {
		return
	}
	how := cell.EndDone
	if r.fails {
		how = cell.EndFailed
		p.tally.waste(now.Sub(r.from), p.cores(p.jobs[r.task.Job], r.task))
	}
	w.end(r, how, "")
	p.tally.use(now, -p.cores(p.jobs[r.task.Job], r.task))
	p.later(now, p.load.CallTime, func(now time.Time) { p.tell(now, w) })
}

// stop ends a run on the owner's word.
func (p *play) stop(now time.Time, a cell.SendStop) {
	w := p.workers[a.Worker]
	if r, there := w.runs[a.Task]; there && r.number == a.Run {
		j := p.jobs[a.Task.Job]
		checkpoint := ""
		if j.queue.Checkpoints {
			checkpoint = fmt.Sprintf("%s/%d", a.Task, a.Run)
			p.saved[checkpoint] = r.done + now.Sub(r.from)
		} else {
			p.tally.waste(now.Sub(r.from), p.cores(j, a.Task))
		}
		w.end(r, cell.EndStopped, checkpoint)
		p.tally.stops++
		p.tally.use(now, -p.cores(j, a.Task))
	}
	p.cell.Stopped(a.Worker, a.Task, a.Run, now.Sub(p.begin))
	p.tell(now, w)
}

func (p *play) cores(j *jobPlay, id workload.TaskID) float64 {
	const milli = 1000
	return float64(j.job.Steps[id.Step].Size.MilliCores) / milli
}

// advise answers a question. Which workers are allowed never changes.
func (p *play) advise(a cell.AskAdvice) cell.Advice {
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
