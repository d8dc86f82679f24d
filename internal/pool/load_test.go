package pool

import (
	"fmt"
	"math/rand/v2"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/platform"
)

const (
	loadTeams        = 26
	loadTasksPerHost = 4100.0 / 580
)

// load drives a pool whose journal and workers respond immediately.
type load struct {
	pool     *Pool
	random   *rand.Rand
	now      time.Time
	hosts    []platform.Host
	running  []platform.Attempt
	workerOf map[platform.Attempt]string
	endsAt   map[platform.Attempt]time.Time
	jobs     int
	// attempts is the MaxAttempts of the jobs.
	attempts int
	placed   int
	starts   func(platform.Start)
}

func newLoad(cfg Config, workers int, seed uint64) *load {
	l := &load{
		pool: New(cfg, Takeover{Epoch: 1}, RecoveredState{}, modelStart), now: modelStart, attempts: MaxAttempts, random: rand.New(rand.NewPCG(seed, 0)),
		workerOf: make(map[platform.Attempt]string), endsAt: make(map[platform.Attempt]time.Time),
	}
	for i := range workers {
		capacity := job.Size{MilliCores: 32_000, MemoryMB: 65_536}
		if i%10 == 0 {
			capacity.Accelerators = 4
		}
		l.hosts = append(l.hosts, platform.Host{
			Name: fmt.Sprintf("worker-%05d", i), Rack: fmt.Sprintf("rack-%04d", i/8), Addr: loopback, Capacity: capacity,
		})
	}
	l.pool.SetWorkers(l.hosts, l.now)
	for _, h := range l.hosts {
		l.pool.Reported(h.Name, time.Time{}, platform.Report{Now: l.now, BootID: "1"}, l.now)
	}
	return l
}

// perform carries out the pool's actions immediately.
func (l *load) perform(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case PersistRecords:
			l.perform(l.pool.Durable(a.BatchID, l.now))
		case StartTasks:
			l.placed += len(a.Starts)
			for _, s := range a.Starts {
				l.running = append(l.running, s.Attempt)
				l.workerOf[s.Attempt] = a.Worker.Name
				l.endsAt[s.Attempt] = l.now.Add(s.RunTime)
				if l.starts != nil {
					l.starts(s)
				}
			}
			l.perform(l.pool.Started(results(a, StartAccepted), l.now))
		case StopTasks:
			for _, s := range a.Stops {
				l.report(s.Attempt, platform.TaskStopped)
			}
		case RequestReport:
			l.perform(l.pool.Reported(a.Worker.Name, a.Request.Since, platform.Report{Now: l.now, BootID: "1"}, l.now))
		}
	}
}

// report has a worker report the end of an attempt.
func (l *load) report(a platform.Attempt, state platform.TaskState) {
	name, ok := l.workerOf[a]
	if !ok {
		return
	}
	delete(l.workerOf, a)
	delete(l.endsAt, a)
	r := platform.Report{Now: l.now, BootID: "1", Tasks: []platform.TaskReport{{Attempt: a, State: state}}}
	l.perform(l.pool.Reported(name, l.now, r, l.now))
}

// endOne ends a random attempt that does not belong to a service.
func (l *load) endOne() {
	for len(l.running) > 0 {
		i := l.random.IntN(len(l.running))
		a := l.running[i]
		if _, ok := l.workerOf[a]; ok && a.Task.Job[0] == 's' {
			continue
		}
		l.running[i] = l.running[len(l.running)-1]
		l.running = l.running[:len(l.running)-1]
		if _, ok := l.workerOf[a]; ok {
			l.report(a, platform.TaskDone)
			return
		}
	}
}

func (l *load) accept(s job.Spec) {
	l.jobs++
	s.ID = fmt.Sprintf("%c%d", s.Name[0], l.jobs)
	s.Team = fmt.Sprintf("team-%d", l.jobs%loadTeams)
	s.Replayable, s.MaxAttempts = true, l.attempts
	l.pool.Accept(s, l.now)
}

func (l *load) schedule() { l.perform(l.pool.Schedule(l.now)) }

func (l *load) size(largest int64) job.Size {
	return job.Size{MilliCores: 1000 * (1 + l.random.Int64N(largest)), MemoryMB: 1024 * (1 + l.random.Int64N(2*largest))}
}

func (l *load) service() job.Spec {
	return job.Spec{Name: "service", Kind: job.KindService, Tasks: 1 + l.random.IntN(8), Size: l.size(4)}
}

// next returns the next job of a mixed load.
func (l *load) next() job.Spec {
	run := time.Duration(1000+l.random.IntN(29_000)) * time.Millisecond
	s := job.Spec{Name: "batch", Kind: job.KindBatch, Tasks: 1, Size: l.size(8), RunTime: run}
	switch n := l.random.IntN(100); {
	case n < 5:
		s.Name, s.Kind, s.Tasks, s.Size = "gang", job.KindAllAtOnce, 2+l.random.IntN(15), l.size(4)
	case n < 15:
		s.Name, s.Priority, s.Size = "urgent", job.PriorityUrgent, l.size(4)
	case n < 20:
		s.Size.Accelerators = 1
	}
	return s
}

// fill starts as many tasks as the design size has for the number of workers.
func (l *load) fill() {
	want := int(loadTasksPerHost * float64(len(l.hosts)))
	for l.placed < want/5 {
		l.accept(l.service())
		l.schedule()
	}
	for l.placed < want {
		before := l.placed
		l.accept(l.next())
		l.schedule()
		if l.placed == before {
			break
		}
	}
}
