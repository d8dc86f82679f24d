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

// Options configure a simulation.
type Options struct {
	Seed   uint64
	Policy cell.Policy
	// WaitForRecords disables early starts: every start waits for the commit of
	// its record, however long commits take.
	WaitForRecords bool
	// IgnoreAccounts has the jobs of accounts accepted as jobs without an account.
	IgnoreAccounts bool
	// Progress is called with the share of the simulation that is done, from 0
	// to 1. It may be nil.
	Progress func(share float64)
}

const (
	workerService = "workers"
	// tickInterval is the period of the cell's tick.
	tickInterval = 100 * time.Millisecond
	// reportInterval is the period of a worker's reports. A worker also reports
	// when a run ends.
	reportInterval = 1 * time.Second
	// cancelDelay is the time from the submission of a job to its cancellation.
	cancelDelay = 1 * time.Second
	// progressSteps is how often progress is reported.
	progressSteps = 20
)

// simulation is the state of a running simulation.
type simulation struct {
	load           Load
	options        Options
	begin          time.Time
	end            time.Time
	rand           *rand.Rand
	cell           *cell.Cell
	events         eventQueue
	workers        map[cell.WorkerID]*worker
	workerList     []*worker
	adviceHosts    []int
	adviceBalancer *cell.AdviceBalancer[int]
	jobs           map[workload.JobID]*simulatedJob
	// checkpoints maps a checkpoint to the work that it has saved.
	checkpoints map[string]time.Duration
	committing  bool
	admission   simulatedAdmission
	metrics     metrics
}

// simulatedJob is a submitted job and its progress.
type simulatedJob struct {
	queue *Queue
	// account is nil for a job without an account.
	account *Account
	// refused is set if the job was not accepted.
	refused     bool
	job         workload.Job
	submittedAt time.Time
	objective   time.Duration
	// alwaysFails is set if every run of the job fails.
	alwaysFails bool
	cancelled   bool
	// startedAt is zero until the first task starts, and endedAt until a record
	// of the job's end is committed.
	startedAt time.Time
	endedAt   time.Time
	state     workload.State
	runTimes  map[workload.TaskID]time.Duration
}

// Simulate runs a load and returns its result. It stops with an error of
// KindStopped when the context ends.
func Simulate(ctx context.Context, load Load, options Options) (Result, error) {
	s := newSimulation(load, options)
	s.addInitialEvents()
	reported := 0
	for {
		next, more := s.events.next()
		if !more || next.at.After(s.end) {
			return s.result(), nil
		}
		if err := ctx.Err(); err != nil {
			return Result{}, fault.New("play", KindStopped, "%w", err)
		}
		s.metrics.advance(next.at)
		next.run(next.at)
		s.performActions(next.at)
		share := float64(next.at.Sub(s.begin)) / float64(s.end.Sub(s.begin))
		if step := int(share * progressSteps); step > reported && options.Progress != nil {
			reported = step
			options.Progress(share)
		}
	}
}

// newSimulation returns a simulation that lasts one and a half times as long as
// jobs arrive; the rest gives them time to end.
func newSimulation(load Load, options Options) *simulation {
	begin := time.Unix(0, 0).UTC()
	s := &simulation{
		load: load, options: options, begin: begin, end: begin.Add(load.Duration + load.Duration/2),
		rand:    rand.New(rand.NewPCG(options.Seed, options.Seed)),
		workers: make(map[cell.WorkerID]*worker), adviceBalancer: cell.NewAdviceBalancer[int](),
		jobs: make(map[workload.JobID]*simulatedJob), checkpoints: make(map[string]time.Duration),
	}
	s.metrics = newMetrics(begin, load)
	s.cell = cell.New(begin, cell.Config{
		Lease: time.Minute, MaxLease: time.Minute, ContactTimeout: time.Minute, StopRetryInterval: time.Second, KeepEnded: time.Hour,
		Policy: options.Policy,
	}, noopObserver{}, zap.NewNop())
	m := &manifest.Manifest{Version: 1}
	for i := range load.Queues {
		m.Queues = append(m.Queues, load.Queues[i].Queue)
	}
	for i := range load.Accounts {
		m.HasAccounts = true
		m.Accounts = append(m.Accounts, manifest.Account{Terms: load.Accounts[i].Terms})
	}
	s.cell.SetManifest(m)
	for i := range load.AdviceHosts {
		s.adviceHosts = append(s.adviceHosts, i)
	}
	s.cell.SetAdviceHosts(load.AdviceHosts)
	return s
}

// noopObserver discards the observations of the cell.
type noopObserver struct{}

// Observe does nothing.
func (noopObserver) Observe(cell.Stage, string, time.Duration) {}

// Count does nothing.
func (noopObserver) Count(cell.Counter) {}

// addInitialEvents adds the workers, and the events of the ticks and of all
// submissions.
func (s *simulation) addInitialEvents() {
	for i := range s.load.Workers.Count {
		s.addWorker(i)
	}
	s.tick(s.begin)
	if s.load.Admission {
		s.admission = newSimulatedAdmission()
		s.decideAdmission(s.begin)
	}
	for i := range s.load.Queues {
		s.scheduleJobs(&s.load.Queues[i])
	}
}

func (s *simulation) addWorker(number int) {
	w := &worker{
		id: cell.WorkerID(fmt.Sprintf("w%04d", number)), slowdown: 1, runs: make(map[workload.TaskID]*run),
		failing: s.rand.Float64() < s.load.Workers.FailingShare,
	}
	if s.rand.Float64() < s.load.Workers.SlowShare {
		w.slowdown = max(s.load.Workers.SlowFactor, 1)
	}
	s.workers[w.id] = w
	s.workerList = append(s.workerList, w)
	s.cell.Register(s.begin, w.registration(number, &s.load))
	s.reportPeriodically(s.begin, w)
}

func (s *simulation) tick(now time.Time) {
	s.cell.Tick(now)
	s.events.add(now.Add(tickInterval), s.tick)
}

// reportPeriodically has a worker report now, and again every reportInterval.
func (s *simulation) reportPeriodically(now time.Time, w *worker) {
	s.report(now, w)
	s.events.add(now.Add(reportInterval), func(now time.Time) { s.reportPeriodically(now, w) })
}

// report delivers one report of a worker to the cell.
func (s *simulation) report(now time.Time, w *worker) {
	hold, ok := s.cell.NextHold(now, w.id)
	if !ok {
		return
	}
	s.cell.Reported(now, w.id, w.report(now, s.begin, hold.Acknowledged))
}

// performActions performs the actions that the cell returns, and commits its
// records unless a commit is in progress.
func (s *simulation) performActions(now time.Time) {
	for _, a := range s.cell.TakeActions(now) {
		switch a := a.(type) {
		case cell.SendStart:
			s.scheduleAfter(now, s.load.CallTime, func(now time.Time) { s.start(now, a) })
		case cell.SendStop:
			s.scheduleAfter(now, s.load.CallTime, func(now time.Time) { s.stop(now, a) })
		case cell.AskAdvice:
			_, took := s.adviceBalancer.Pick(now, s.adviceHosts, a)
			s.metrics.adviceRequests++
			s.scheduleAfter(now, took, func(now time.Time) { s.cell.Advised(now, s.adviceFor(a)) })
		case cell.RequestReport:
			s.report(now, s.workers[a.Worker])
		}
	}
	if !s.committing && s.cell.HasRecords() {
		s.commit(now)
	}
}

func (s *simulation) scheduleAfter(now time.Time, wait time.Duration, do func(now time.Time)) {
	s.events.add(now.Add(wait), do)
}

const recordsPerCommit = 90

func (s *simulation) commit(now time.Time) {
	s.committing = true
	s.cell.SetEarlyStarts(s.load.CommitTime >= cell.SlowCommit && !s.options.WaitForRecords)
	records := s.cell.TakeRecords(recordsPerCommit)
	earlyStarts := s.cell.EarlyStartWorkers(now)
	s.scheduleAfter(now, s.load.CommitTime, func(now time.Time) {
		s.committing = false
		s.cell.EarlyStartWorkersCommitted(earlyStarts)
		s.cell.Committed(now, records)
		for i := range records {
			s.markEnded(now, records[i].Job, records[i].State)
		}
	})
}

func (s *simulation) markEnded(now time.Time, id workload.JobID, state workload.State) {
	if j := s.jobs[id]; state.Final() && j.endedAt.IsZero() {
		j.endedAt, j.state = now, state
	}
}

// start starts a run, which is one attempt of a task, on a worker.
func (s *simulation) start(now time.Time, a cell.SendStart) {
	w := s.workers[a.Worker]
	j := s.jobs[a.Task.Job]
	if j.startedAt.IsZero() {
		j.startedAt = now
	}
	r := &run{task: a.Task, number: a.Run, startedAt: now, savedWork: s.checkpoints[a.Checkpoint]}
	r.duration = time.Duration(float64(s.runTime(j, a.Task)) * w.slowdown)
	r.fails = w.failing || j.alwaysFails || s.rand.Float64() < j.queue.FailShare
	w.runs[a.Task] = r
	s.metrics.starts++
	s.metrics.addCores(now, s.cores(j, a.Task))
	s.cell.Started(now, a.Worker, a.Task, a.Run, cell.StartOutcome{Clock: now.Sub(s.begin)})
	s.scheduleAfter(now, max(r.duration-r.savedWork, 0), func(now time.Time) { s.finish(now, w, r) })
}

// finish ends a run that completes or fails, unless it was stopped before.
func (s *simulation) finish(now time.Time, w *worker, r *run) {
	if r.ended {
		return
	}
	kind := cell.EndDone
	if r.fails {
		kind = cell.EndFailed
		s.metrics.addWasted(now.Sub(r.startedAt), s.cores(s.jobs[r.task.Job], r.task))
	}
	w.end(r, kind, "")
	s.metrics.addCores(now, -s.cores(s.jobs[r.task.Job], r.task))
	s.metrics.addRun(now, s.jobs[r.task.Job], r, s.cores(s.jobs[r.task.Job], r.task))
	s.scheduleAfter(now, s.load.CallTime, func(now time.Time) { s.report(now, w) })
}

// stop ends a run that the owner has ordered to stop.
func (s *simulation) stop(now time.Time, a cell.SendStop) {
	w := s.workers[a.Worker]
	if r, running := w.runs[a.Task]; running && r.number == a.Run {
		j := s.jobs[a.Task.Job]
		checkpoint := ""
		if j.queue.Checkpoints {
			checkpoint = fmt.Sprintf("%s/%d", a.Task, a.Run)
			s.checkpoints[checkpoint] = r.savedWork + now.Sub(r.startedAt)
		} else {
			s.metrics.addWasted(now.Sub(r.startedAt), s.cores(j, a.Task))
		}
		w.end(r, cell.EndStopped, checkpoint)
		s.metrics.stops++
		s.metrics.addCores(now, -s.cores(j, a.Task))
		s.metrics.addRun(now, j, r, s.cores(j, a.Task))
	}
	s.cell.Stopped(a.Worker, a.Task, a.Run, now.Sub(s.begin))
	s.report(now, w)
}

func (s *simulation) cores(j *simulatedJob, id workload.TaskID) float64 {
	const milli = 1000
	return float64(j.job.Steps[id.Step].Size.MilliCores) / milli
}

// adviceFor returns the advice for a request. The workers allowed for a step are
// chosen by a hash and never change.
func (s *simulation) adviceFor(a cell.AskAdvice) cell.Advice {
	out := cell.Advice{Step: a.Step, Asked: a.Workers}
	share := s.jobs[a.Step.Job].queue.AllowedShare
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
