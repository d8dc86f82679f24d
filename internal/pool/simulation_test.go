package pool

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/platform"
)

const (
	simulationTick = 10 * time.Millisecond
	// sampleInterval is the period at which packing is sampled.
	sampleInterval = 200 * time.Millisecond
	// journalDelay is the time that a write to the journal takes.
	journalDelay = 20 * time.Millisecond
	// checkpointDelay is the time that a checkpoint takes.
	checkpointDelay = 300 * time.Millisecond
	// simulationSeed is the same for every policy.
	simulationSeed = 7
	// urgentTarget is the users' bound on the wait of urgent work.
	urgentTarget = time.Second
)

// simulation runs a load in virtual time: tasks end later or earlier than
// declared, and workers report that only when a report is requested.
type simulation struct {
	*load
	writes          []pendingWrite
	runsByHost      map[string][]*simulatedRun
	arrivedAt       map[string]time.Time
	started         map[job.TaskID]bool
	waits           map[string][]time.Duration
	busyCoreSeconds float64
	reports         int
	// leaving holds the workers that report that they are leaving.
	leaving map[string]bool
	// failing holds the workers on which every task fails, badJobs the jobs
	// that fail on every worker.
	failing, badJobs map[string]bool
	failures         int
	// ended is called for each job that has its outcome.
	ended func(Record)
	// runTimeErrors draws the errors of the declared run times.
	runTimeErrors *rand.Rand
	// workload generates the jobs that arrive.
	workload workload
}

// workload describes the jobs of a simulation.
type workload struct {
	name string
	// starts is the number of tasks that arrive in a second.
	starts float64
	// backlog is the number of jobs that wait for capacity at the beginning.
	backlog int
	// next generates an arriving job, fill a job of the backlog.
	next, fill func(l *load) job.Spec
}

// mixedWorkload is the design load: short work of all kinds, with a queue that
// never empties.
var mixedWorkload = workload{name: "mixed", starts: 250, backlog: 5000, next: (*load).next, fill: (*load).next}

// longWorkload is urgent work that arrives at hosts full of long-running batch
// work.
var longWorkload = workload{
	name: "long", starts: 20, backlog: 5000,
	next: func(l *load) job.Spec {
		s := l.next()
		s.Name, s.Kind, s.Tasks, s.Priority = "urgent", job.KindBatch, 1, job.PriorityUrgent
		s.Size = job.Size{MilliCores: 8000, MemoryMB: 8192}
		return s
	},
	fill: func(l *load) job.Spec {
		s := l.next()
		s.Name, s.Kind, s.Tasks, s.Priority, s.RunTime = "batch", job.KindBatch, 1, "", s.RunTime*60
		return s
	},
}

type pendingWrite struct {
	due     time.Time
	journal PersistRecords
}

type simulatedRun struct {
	start platform.Start
	ends  time.Time
	state platform.TaskState
}

func newSimulation(cfg Config, kind workload, workers int) *simulation {
	return &simulation{
		load: newLoad(cfg, workers, simulationSeed), workload: kind, runTimeErrors: rand.New(rand.NewPCG(simulationSeed, 1)), runsByHost: make(map[string][]*simulatedRun),
		arrivedAt: make(map[string]time.Time), started: make(map[job.TaskID]bool), leaving: make(map[string]bool),
		failing: make(map[string]bool), badJobs: make(map[string]bool), waits: make(map[string][]time.Duration),
	}
}

func (r *simulation) perform(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case PersistRecords:
			r.writes = append(r.writes, pendingWrite{due: r.now.Add(journalDelay), journal: a})
			r.reportEnded(a.Records)
		case StartTasks:
			for _, s := range a.Starts {
				r.begin(a.Worker.Name, s)
			}
			r.perform(r.pool.Started(results(a, StartAccepted), r.now))
		case StopTasks:
			for _, run := range r.runsByHost[a.Worker.Name] {
				if run.start.Attempt == a.Stops[0].Attempt && run.ends.After(r.now.Add(checkpointDelay)) {
					run.ends, run.state = r.now.Add(checkpointDelay), platform.TaskStopped
				}
			}
		case RequestReport:
			r.answerReport(a)
		}
	}
}

func (r *simulation) reportEnded(records []Record) {
	for _, rec := range records {
		if rec.Kind == RecordJobEnded && r.ended != nil {
			r.ended(rec)
		}
	}
}

func (r *simulation) begin(host string, s platform.Start) {
	ends := r.now.Add(1000 * time.Hour)
	if s.RunTime > 0 {
		ends = r.now.Add(time.Duration(float64(s.RunTime) * (0.6 + 0.8*r.runTimeErrors.Float64())))
	}
	state := platform.TaskDone
	if r.failing[host] || r.badJobs[s.Attempt.Task.Job] {
		ends, state = r.now.Add(simulationTick), platform.TaskFailed
		r.failures++
	}
	r.runsByHost[host] = append(r.runsByHost[host], &simulatedRun{start: s, ends: ends, state: state})
	r.placed++
	id := s.Attempt.Task
	if at, ok := r.arrivedAt[id.Job]; ok && !r.started[id] {
		r.started[id] = true
		name := map[byte]string{'b': "batch", 'g': "gang", 'u': "urgent", 's': "service"}[id.Job[0]]
		r.waits[name] = append(r.waits[name], r.now.Sub(at))
	}
}

func (r *simulation) answerReport(a RequestReport) {
	r.reports++
	name := a.Worker.Name
	rep := platform.Report{Now: r.now, BootID: "1", Leaving: r.leaving[name]}
	r.runsByHost[name] = slices.DeleteFunc(r.runsByHost[name], func(run *simulatedRun) bool {
		if run.ends.After(r.now) {
			return false
		}
		rep.Tasks = append(rep.Tasks, platform.TaskReport{Attempt: run.start.Attempt, State: run.state, Message: "trial"})
		return true
	})
	r.perform(r.pool.Reported(name, a.Request.Since, rep, r.now))
}

// arrive accepts the jobs that arrive in one tick.
func (r *simulation) arrive(due *float64) {
	for *due += r.workload.starts * simulationTick.Seconds(); *due > 0; {
		s := r.workload.next(r.load)
		*due -= float64(s.Tasks)
		r.accept(s)
		r.arrivedAt[fmt.Sprintf("%c%d", s.Name[0], r.jobs)] = r.now
	}
}

func (r *simulation) run(d time.Duration) {
	var due float64
	for end := r.now.Add(d); r.now.Before(end); {
		r.now = r.now.Add(simulationTick)
		r.arrive(&due)
		for len(r.writes) > 0 && !r.writes[0].due.After(r.now) {
			w := r.writes[0]
			r.writes = r.writes[1:]
			r.perform(r.pool.Durable(w.journal.BatchID, r.now))
		}
		r.perform(r.pool.Tick(r.now))
		r.perform(r.pool.Schedule(r.now))
		if r.now.Sub(modelStart)%sampleInterval == 0 {
			r.measure()
		}
	}
}

// measure adds up the core-seconds that tasks actually ran.
func (r *simulation) measure() {
	for _, w := range r.runsByHost {
		for _, run := range w {
			if run.ends.After(r.now) {
				r.busyCoreSeconds += float64(run.start.Size.MilliCores) / 1000 * sampleInterval.Seconds()
			}
		}
	}
}

// fillUp starts services and queues a backlog of other work for the rest of the
// capacity.
func (r *simulation) fillUp() {
	for n := 0; n < int(loadTasksPerHost*float64(len(r.hosts))/5); {
		s := r.service()
		n += s.Tasks
		r.accept(s)
	}
	for range r.workload.backlog {
		s := r.workload.fill(r.load)
		if s.Priority != job.PriorityUrgent {
			r.accept(s)
		}
	}
}

// largeWorkload is endless small batch work, with an occasional gang that needs
// half of each of 50 workers.
var largeWorkload = workload{
	name: "large", starts: 250, backlog: 5000,
	next: func(l *load) job.Spec {
		s := l.next()
		s.Name, s.Kind, s.Tasks, s.Priority = "batch", job.KindBatch, 1, ""
		if l.jobs%1500 == 0 {
			s.Name, s.Kind, s.Tasks = "gang", job.KindAllAtOnce, 50
			s.Size = job.Size{MilliCores: 16_000, MemoryMB: 32_768}
		}
		return s
	},
	fill: func(l *load) job.Spec {
		s := l.next()
		s.Name, s.Kind, s.Tasks, s.Priority = "batch", job.KindBatch, 1, ""
		return s
	},
}

type simulationResult struct {
	waits       map[string][]time.Duration
	packing     float64
	placed      int
	preemptions int
	reports     float64
	took        time.Duration
}

// runSimulation measures a period d after a warm-up.
func runSimulation(cfg Config, kind workload, workers int, warmUp, d time.Duration) simulationResult {
	r := newSimulation(cfg, kind, workers)
	r.fillUp()
	r.run(warmUp)
	clear(r.waits)
	r.busyCoreSeconds, r.placed, r.reports = 0, 0, 0
	start := time.Now()
	r.run(d)
	cores := float64(workers) * 32 * d.Seconds()
	for _, w := range r.waits {
		slices.Sort(w)
	}
	return simulationResult{
		waits: r.waits, packing: r.busyCoreSeconds / cores, placed: r.placed, preemptions: r.pool.Preemptions(), took: time.Since(start),
		reports: float64(r.reports) / d.Seconds(),
	}
}

func (r simulationResult) quantile(class string, q float64) time.Duration {
	w := r.waits[class]
	if len(w) == 0 {
		return 0
	}
	return w[int(q*float64(len(w)-1))]
}

func (r simulationResult) String() string {
	out := fmt.Sprintf("packing %.1f%% placed %d preempted %d reports/s %.0f took %v", r.packing*100, r.placed, r.preemptions, r.reports, r.took.Round(time.Millisecond))
	for _, class := range []string{"urgent", "batch", "gang"} {
		out += fmt.Sprintf(" | %s %d p50 %v p99 %v", class, len(r.waits[class]),
			r.quantile(class, 0.5).Round(simulationTick), r.quantile(class, 0.99).Round(simulationTick))
	}
	return out
}

// TestUrgentStartsWithinTarget runs both loads and checks the users' bound on
// urgent work while everything else is full.
func TestUrgentStartsWithinTarget(t *testing.T) {
	for _, kind := range []workload{mixedWorkload, longWorkload} {
		t.Run(kind.name, func(t *testing.T) {
			r := runSimulation(DefaultConfig(), kind, 580, 5*time.Second, 5*time.Second)
			t.Log(r)
			if got := r.quantile("urgent", 0.99); got > urgentTarget {
				t.Errorf("urgent work waits %v at the 99th percentile, more than %v", got, urgentTarget)
			}
			if len(r.waits["urgent"]) == 0 || r.packing < 0.5 {
				t.Error("the simulation did not load the pool")
			}
		})
	}
}

// BenchmarkPolicies compares the policies on the same load. Run it with
// -benchtime 1x; each line of the log is one policy.
func BenchmarkPolicies(b *testing.B) {
	with := func(change func(*Config)) Config {
		cfg := DefaultConfig()
		change(&cfg)
		return cfg
	}
	off := func(c *Config) { c.Headroom, c.ClaimTimeout, c.ReserveAfter = 0, 0, 0 }
	cases := []struct {
		name string
		cfg  Config
	}{
		{"fit", DefaultConfig()},
		{"fit,no-preemption", with(func(c *Config) { c.ClaimTimeout = 0 })},
		{"fit,no-reservations", with(func(c *Config) { c.ReserveAfter = 0 })},
		{"fit,no-headroom", with(func(c *Config) { c.Headroom = 0 })},
		{"fit,neither", with(off)},
		{"first-fit", with(func(c *Config) { off(c); c.Policy = PolicyFirstFit })},
		{"random", with(func(c *Config) { off(c); c.Policy = PolicyRandom })},
		{"two-random", with(func(c *Config) { off(c); c.Policy = PolicyTwoRandom })},
		{"fifo", with(func(c *Config) { off(c); c.Policy = PolicyFIFO })},
	}
	for _, c := range cases {
		for _, kind := range []workload{mixedWorkload, longWorkload, largeWorkload} {
			b.Run(kind.name+"/"+c.name, func(b *testing.B) {
				for range b.N {
					b.Log(runSimulation(c.cfg, kind, 580, 20*time.Second, time.Minute))
				}
			})
		}
	}
}
