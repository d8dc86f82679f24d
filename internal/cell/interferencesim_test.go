package cell_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/interference"
	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

const (
	mixStep = 100 * time.Millisecond
	// mixTarget is the latency target of all serving tasks, and mixBase the share of it
	// that a task needs without neighbours.
	mixTarget = 100 * time.Millisecond
	mixBase   = 0.45
	mixNoise  = 0.06
)

// image is a kind of job of a mix: one task each.
type image struct {
	name string
	step workload.Step
	// every is the mean interval between two jobs, and lasts the mean lifetime of a task.
	every time.Duration
	lasts time.Duration
}

func serving(name string, every, lasts time.Duration) image {
	return image{name, workload.Step{
		Tasks: 1, Size: job.Size{MilliCores: 2000, MemoryMB: 500}, LongRunning: true, LatencyTarget: mixTarget, Image: name,
	}, every, lasts}
}

func batch(name string, every, lasts time.Duration) image {
	return image{name, workload.Step{Tasks: 1, Size: job.Size{MilliCores: 1000, MemoryMB: 500}, Estimate: lasts, Image: name}, every, lasts}
}

func bestEffort(name string, every time.Duration) image {
	const lasts = 12 * time.Second
	return image{name, workload.Step{
		Tasks: 1, Size: job.Size{MilliCores: 4000, MemoryMB: 500}, BestEffort: true, Estimate: lasts, Image: name,
	}, every, lasts}
}

// harm is the hidden model: the loss that a task of the first image has beside a fully active
// task of the second one.
type harm map[[2]string]float64

// mix is a cell with workers in virtual time on which tasks of several images slow each
// other down. The workers report latencies and progress.
type mix struct {
	t        testing.TB
	begin    time.Time
	now      time.Time
	random   *rand.Rand
	config   cell.Config
	manifest *manifest.Manifest
	cell     *cell.Cell
	counts   countingObserver
	logs     *observer.ObservedLogs
	workers  []*mixWorker
	images   []image
	harm     harm
	next     []time.Time
	jobs     map[workload.JobID]*mixJob
	accepted []cell.AcceptedJob
	records  map[workload.JobID]cell.Record
	// starts lists the starts with their times.
	starts []string
	// servingTime is the time that serving tasks ran, and overTarget the part of it in
	// which their latency was over the target.
	servingTime, overTarget time.Duration
	// waits is the total time from submission to start, and done the number of tasks that
	// have ended by themselves.
	waits time.Duration
	done  int
	// timer is called around the calls of the cell that learn and place; nil for none.
	timer func(begin bool)
	// distort changes a report before it is delivered.
	distort func(w *mixWorker, r *cell.Report)
}

type mixJob struct {
	image       *image
	submittedAt time.Time
	endsAt      time.Time
	length      time.Duration
}

type mixWorker struct {
	id cell.WorkerID
	// random draws the noise. Each worker has its own, so that what happens on one does
	// not change another one.
	random   *rand.Rand
	rack     string
	runs     []*mixRun
	ends     []cell.Ended
	ended    int64
	reportAt time.Time
}

type mixRun struct {
	task   workload.TaskID
	number int
	job    *mixJob
	pace   int
	work   time.Duration
	load   float64
}

// countingObserver counts what the cell counts.
type countingObserver map[cell.Counter]int

// Observe does nothing.
func (countingObserver) Observe(cell.Stage, string, time.Duration) {}

// Count counts.
func (o countingObserver) Count(counter cell.Counter) { o[counter]++ }

func newMix(t testing.TB, mode interference.Mode, seed uint64, workers int, hidden harm, images ...image) *mix {
	m := &mix{
		t: t, begin: time.Unix(1_700_000_000, 0), random: rand.New(rand.NewPCG(seed, 1)), config: scriptConfig,
		images: images, harm: hidden, jobs: make(map[workload.JobID]*mixJob), records: make(map[workload.JobID]cell.Record),
		counts: make(countingObserver), next: make([]time.Time, len(images)),
	}
	m.now = m.begin
	for i := range m.next {
		m.next[i] = m.begin
	}
	m.config.Interference = mode
	m.manifest = &manifest.Manifest{Version: 1, Queues: []manifest.Queue{{Name: "q", Service: "s", Priority: 1, SlackFactor: 10, TargetLatency: time.Hour}}}
	for i := range workers {
		m.workers = append(m.workers, &mixWorker{
			id: cell.WorkerID(fmt.Sprintf("w%02d", i)), rack: fmt.Sprintf("r%d", i%3), random: rand.New(rand.NewPCG(seed, uint64(i)+2)),
		})
	}
	m.restart()
	return m
}

// restart begins with an empty cell that knows the workers.
func (m *mix) restart() {
	core, logs := observer.New(zap.InfoLevel)
	m.logs = logs
	m.cell = cell.New(m.now, m.config, m.counts, zap.New(core))
	m.cell.SetManifest(m.manifest)
	for _, w := range m.workers {
		m.cell.Register(m.now, cell.Registration{
			ID: w.id, Incarnation: 1, Machine: "m-" + string(w.id), Service: "s", Labels: []string{w.rack},
			Capacity: job.Size{MilliCores: 16_000, MemoryMB: 64_000},
		})
		w.reportAt = m.now
	}
}

// takeover replaces the owner by one that has the records.
func (m *mix) takeover() {
	m.restart()
	m.cell.PredecessorEnded()
	for _, a := range m.accepted {
		if m.records[a.Job.ID].State.Final() {
			continue
		}
		m.cell.Accept(m.now, a)
		if r, ok := m.records[a.Job.ID]; ok {
			m.cell.Restore(m.now, r)
		}
	}
}

// run lets time pass.
func (m *mix) run(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); {
		m.now = m.now.Add(mixStep)
		m.submit()
		for _, w := range m.workers {
			m.work(w)
		}
		for _, w := range m.workers {
			if !m.now.Before(w.reportAt) {
				m.report(w)
			}
		}
		m.timed(func() { m.cell.Tick(m.now) })
		m.act()
		records := m.cell.TakeRecords(1000)
		for i := range records {
			m.records[records[i].Job] = records[i]
		}
		m.cell.Committed(m.now, records)
		m.act()
	}
}

// timed calls a function between two calls of the timer.
func (m *mix) timed(call func()) {
	if m.timer != nil {
		m.timer(true)
		defer m.timer(false)
	}
	call()
}

// submit submits the jobs that are due. Serving tasks are cancelled when their lifetime is
// over.
func (m *mix) submit() {
	for i := range m.images {
		im := &m.images[i]
		for !m.now.Before(m.next[i]) {
			m.next[i] = m.next[i].Add(time.Duration(m.random.ExpFloat64() * float64(im.every)))
			const spread = 0.5
			length := time.Duration((1 - spread + 2*spread*m.random.Float64()) * float64(im.lasts))
			id := workload.JobID(fmt.Sprintf("%016x", len(m.accepted)+1))
			m.jobs[id] = &mixJob{image: im, submittedAt: m.now, endsAt: m.now.Add(length), length: length}
			a := cell.AcceptedJob{Job: workload.Job{ID: id, Queue: "q", Steps: []workload.Step{im.step}}, Queue: m.manifest.Queues[0]}
			m.accepted = append(m.accepted, a)
			m.cell.Accept(m.now, a)
		}
	}
	for _, a := range m.accepted {
		j := m.jobs[a.Job.ID]
		if j.image.step.LongRunning && !j.endsAt.IsZero() && !m.now.Before(j.endsAt) {
			j.endsAt = time.Time{}
			m.cell.Cancel(m.now, a.Job.ID)
		}
	}
}

// loss returns what the neighbours of a run cost it.
func (m *mix) loss(w *mixWorker, of *mixRun) float64 {
	loss := 0.0
	for _, r := range w.runs {
		if r != of {
			loss += m.harm[[2]string{of.job.image.name, r.job.image.name}] * float64(r.pace) / 100
		}
	}
	return loss
}

// work lets the runs of a worker run for one step.
func (m *mix) work(w *mixWorker) {
	for _, r := range w.runs {
		loss := m.loss(w, r)
		step := &r.job.image.step
		if step.LatencyTarget > 0 {
			latency := max(mixBase+loss+mixNoise*w.random.NormFloat64(), 0)
			r.load = latency * float64(mixTarget.Milliseconds())
			m.servingTime += mixStep
			if latency > 1 {
				m.overTarget += mixStep
			}
			continue
		}
		r.work += time.Duration(float64(mixStep) * float64(r.pace) / 100 * max(1-loss, 0.1))
		r.load = float64(step.Size.MilliCores) * float64(r.pace) / 100
	}
	for _, r := range slices.Clone(w.runs) {
		if !r.job.image.step.LongRunning && r.work >= r.job.length {
			m.done++
			w.end(r, cell.EndDone)
			w.reportAt = m.now
		}
	}
}

func (w *mixWorker) end(r *mixRun, kind cell.EndKind) {
	w.runs = slices.DeleteFunc(w.runs, func(o *mixRun) bool { return o == r })
	w.ended++
	w.ends = append(w.ends, cell.Ended{Number: w.ended, Task: r.task, Run: r.number, Kind: kind})
}

func (m *mix) clock() time.Duration { return time.Minute + m.now.Sub(m.begin) }

func (m *mix) report(w *mixWorker) {
	hold, ok := m.cell.NextHold(m.now, w.id)
	if !ok {
		m.t.Fatalf("no hold call to %s", w.id)
	}
	w.ends = slices.DeleteFunc(w.ends, func(e cell.Ended) bool { return e.Number <= hold.Acknowledged })
	report := cell.Report{Incarnation: 1, Clock: m.clock(), Ended: slices.Clone(w.ends)}
	for _, r := range w.runs {
		percent := 100
		if !r.job.image.step.LongRunning {
			percent = int(100 * r.work / r.job.length)
		}
		report.Running = append(report.Running, cell.Running{Task: r.task, Run: r.number, Percent: percent, Load: r.load})
	}
	if m.distort != nil {
		m.distort(w, &report)
	}
	m.timed(func() { m.cell.Reported(m.now, w.id, report) })
	w.reportAt = m.now.Add(max(hold.Wait, mixStep))
}

func (m *mix) worker(id cell.WorkerID) *mixWorker {
	i := slices.IndexFunc(m.workers, func(w *mixWorker) bool { return w.id == id })
	return m.workers[i]
}

// act performs the actions of the cell.
func (m *mix) act() {
	var actions []cell.Action
	m.timed(func() { actions = m.cell.TakeActions(m.now) })
	for _, a := range actions {
		switch a := a.(type) {
		case cell.SendStart:
			j := m.jobs[a.Task.Job]
			w := m.worker(a.Worker)
			w.runs = append(w.runs, &mixRun{task: a.Task, number: a.Run, job: j, pace: 100})
			m.waits += m.now.Sub(j.submittedAt)
			m.starts = append(m.starts, fmt.Sprintf("%v %s %s at %s", m.now.Sub(m.begin), j.image.name, a.Task, a.Worker))
			m.cell.Started(m.now, a.Worker, a.Task, a.Run, cell.StartOutcome{Clock: m.clock()})
		case cell.SendStop:
			w := m.worker(a.Worker)
			for _, r := range slices.Clone(w.runs) {
				if r.task == a.Task && r.number == a.Run {
					w.end(r, cell.EndStopped)
				}
			}
			w.reportAt = m.now
			m.cell.Stopped(a.Worker, a.Task, a.Run, m.clock())
		case cell.SetPace:
			for _, r := range m.worker(a.Worker).runs {
				if r.task == a.Task && r.number == a.Run {
					r.pace = a.Percent
				}
			}
		case cell.RequestReport:
			m.worker(a.Worker).reportAt = m.now
		}
	}
}

// overShare returns the share of the time of serving tasks that was over the target.
func (m *mix) overShare() float64 { return float64(m.overTarget) / float64(max(m.servingTime, 1)) }

// pairs returns the known pairs as "image beside image".
func (m *mix) pairs() []string {
	var out []string
	for _, p := range m.cell.Overview(m.now).Interference.Worst {
		out = append(out, p.Task.Image+" beside "+p.Beside.Image)
	}
	slices.Sort(out)
	return out
}

// logged counts the log lines with a message.
func (m *mix) logged(message string) int {
	n := 0
	for _, e := range m.logs.All() {
		if strings.HasPrefix(e.Message, message) {
			n++
		}
	}
	return n
}
