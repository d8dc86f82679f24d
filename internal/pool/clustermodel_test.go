package pool

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/platform"
)

const (
	modelWorkerCount = 5
	modelTick        = 100 * time.Millisecond
	// modelCallTimeout is how long a call may stay undelivered before the pool is
	// told that it failed.
	modelCallTimeout = 2 * time.Second
	// completionTimeout is long enough for every retry and lease to end.
	completionTimeout = 20 * time.Minute
)

var modelStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// call is an action on its way to a worker.
type call struct {
	action  Action
	sent    time.Time
	expired bool
	epoch   uint64
}

// clusterModel drives a pool against modelled workers and compares what they run
// with the invariants of the pool: no worker exceeds its capacity, no task runs
// twice at a time, no part of a gang runs on alone.
type clusterModel struct {
	t              rapid.TB
	draw           *rapid.T
	cfg            Config
	now            time.Time
	pool           *Pool
	epoch          uint64
	workers        []*modelWorker
	calls          []*call
	pendingBatches []PersistRecords
	durable        []Record
	gangs          map[string]*modelGang
	jobs           []string
	quotas         map[string]Quota
	ended          map[string]int
}

func newClusterModel(t rapid.TB) *clusterModel {
	m := &clusterModel{
		t: t, cfg: DefaultConfig(), now: modelStart, epoch: 1,
		gangs: make(map[string]*modelGang), ended: make(map[string]int),
	}
	for i := range modelWorkerCount {
		host := platform.Host{
			Name: fmt.Sprintf("w%d", i), Rack: fmt.Sprintf("r%d", i/2), Role: platform.RoleWorker,
			Addr: loopback, Capacity: job.Size{MilliCores: 8000, MemoryMB: 8000, Accelerators: int64(i % 2)},
		}
		m.workers = append(m.workers, newModelWorker(host, time.Duration(i-2)*700*time.Millisecond))
	}
	// In this model an owner stops renewing leases when it loses its authority,
	// so its successor need not allow for renewals.
	m.cfg.RenewGrace = 0
	m.pool = New(m.cfg, Takeover{Epoch: m.epoch, First: true}, RecoveredState{}, m.now)
	return m
}

func (m *clusterModel) hosts() []platform.Host {
	var out []platform.Host
	for _, w := range m.workers {
		out = append(out, w.host)
	}
	return out
}

func (m *clusterModel) perform(actions []Action) {
	for _, a := range actions {
		if j, ok := a.(PersistRecords); ok {
			m.pendingBatches = append(m.pendingBatches, j)
			continue
		}
		m.calls = append(m.calls, &call{action: a, sent: m.now, epoch: m.epoch})
	}
}

func (m *clusterModel) worker(name string) *modelWorker {
	i := slices.IndexFunc(m.workers, func(w *modelWorker) bool { return w.host.Name == name })
	return m.workers[i]
}

// advance moves time forward, one iteration of the event loop per tick.
func (m *clusterModel) advance(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); {
		m.now = m.now.Add(modelTick)
		for _, w := range m.workers {
			w.settle(m.now)
		}
		m.expireCalls()
		m.pool.SetWorkers(m.hosts(), m.now)
		m.perform(m.pool.Tick(m.now))
		m.perform(m.pool.Schedule(m.now))
		m.check()
	}
}

// expireCalls reports to the pool that the calls which have timed out failed. They
// may still arrive later.
func (m *clusterModel) expireCalls() {
	for _, c := range m.calls {
		if c.expired || m.now.Before(c.sent.Add(modelCallTimeout)) {
			continue
		}
		c.expired = true
		if c.epoch == m.epoch {
			m.loseCall(c)
		}
	}
	m.calls = slices.DeleteFunc(m.calls, func(c *call) bool { return m.now.After(c.sent.Add(time.Minute)) })
}

func (m *clusterModel) loseCall(c *call) {
	switch a := c.action.(type) {
	case StartTasks:
		m.perform(m.pool.Started(results(a, StartUnknown), m.now))
	case RequestReport:
		m.pool.Unreachable(a.Worker.Name, m.now)
	}
}

func results(a StartTasks, o StartOutcome) []StartResult {
	out := make([]StartResult, len(a.Starts))
	for i, s := range a.Starts {
		out[i] = StartResult{Attempt: s.Attempt, Outcome: o}
	}
	return out
}

// deliver delivers one call to its worker. The pool learns the outcome only if it
// still awaits the response; loseResponse loses the response on its way.
func (m *clusterModel) deliver(i int, loseResponse bool) {
	c := m.calls[i]
	m.calls = slices.Delete(m.calls, i, i+1)
	awaited := c.epoch == m.epoch && !c.expired
	switch a := c.action.(type) {
	case StartTasks:
		m.deliverStarts(a, awaited, loseResponse)
	case StopTasks:
		w := m.worker(a.Worker.Name)
		for _, s := range a.Stops {
			if !w.unreachable {
				w.stop(s, m.now)
			}
		}
	case RequestReport:
		w := m.worker(a.Worker.Name)
		if w.unreachable {
			if awaited {
				m.pool.Unreachable(a.Worker.Name, m.now)
			}
			return
		}
		r := w.report(a.Request, m.now)
		switch {
		case awaited && loseResponse:
			m.pool.Unreachable(a.Worker.Name, m.now)
		case awaited:
			m.perform(m.pool.Reported(a.Worker.Name, a.Request.Since, r, m.now))
		}
	}
}

func (m *clusterModel) deliverStarts(a StartTasks, awaited, loseResponse bool) {
	w := m.worker(a.Worker.Name)
	out := results(a, StartUnknown)
	if !w.unreachable {
		for i, s := range a.Starts {
			_, known := w.runs[s.Attempt]
			out[i].Outcome = w.begin(s, m.now)
			if g := m.gangs[s.Attempt.Task.Job]; g != nil && !known && out[i].Outcome == StartAccepted {
				g.start(s.Attempt.Task.Index, m.now, m.cfg.GangWindow)
			}
			if loseResponse {
				out[i].Outcome = StartUnknown
			}
		}
	}
	if awaited {
		m.perform(m.pool.Started(out, m.now))
	}
}

// persist makes the oldest batch of records durable.
func (m *clusterModel) persist() {
	batch := m.pendingBatches[0]
	m.pendingBatches = m.pendingBatches[1:]
	m.durable = append(m.durable, batch.Records...)
	for _, r := range batch.Records {
		if r.Kind == RecordJobEnded {
			m.ended[r.Job]++
		}
	}
	m.perform(m.pool.Durable(batch.BatchID, m.now))
}

// takeOver replaces the owner. Records that were not durable are lost.
func (m *clusterModel) takeOver() {
	m.epoch++
	m.pendingBatches = nil
	m.pool = New(m.cfg, Takeover{Epoch: m.epoch}, RecoveredState{Records: m.durable}, m.now)
	m.pool.SetQuotas(m.quotas)
	m.pool.SetWorkers(m.hosts(), m.now)
}

func (m *clusterModel) submit(s job.Spec) {
	if m.pool.Check(s) != nil {
		return
	}
	m.jobs = append(m.jobs, s.ID)
	if s.Kind == job.KindAllAtOnce {
		m.gangs[s.ID] = &modelGang{members: s.Tasks}
	}
	m.durable = append(m.durable, Record{Kind: RecordAccepted, Spec: s})
	m.pool.Accept(s, m.now)
}

func (m *clusterModel) check() {
	places := make(map[job.TaskID]string)
	running := make(map[string]int)
	for _, w := range m.workers {
		if used := w.used(); !used.Fits(w.host.Capacity) {
			m.t.Fatalf("worker %s runs %+v, more than its capacity", w.host.Name, used)
		}
		for _, r := range w.running() {
			id := r.start.Attempt.Task
			if other, ok := places[id]; ok {
				m.t.Fatalf("task %v runs on %s and %s", id, other, w.host.Name)
			}
			places[id] = w.host.Name
			running[id.Job]++
		}
	}
	for id, g := range m.gangs {
		if g.isSplit(running[id], m.now, m.cfg.GangWindow) {
			m.t.Fatalf("%d of %d members of %s run beyond the window", running[id], g.members, id)
		}
	}
	for id, n := range m.ended {
		if n > 1 {
			m.t.Fatalf("job %s ended %d times", id, n)
		}
	}
	m.checkCapacity()
}

// checkCapacity compares the pool's sums of capacity with the tasks, orphans
// and claims that they add up.
func (m *clusterModel) checkCapacity() {
	m.checkTeams()
	claimed := make(map[*worker]job.Size)
	for _, t := range m.pool.claimants {
		if t.claimedWorker != nil {
			claimed[t.claimedWorker] = claimed[t.claimedWorker].Add(t.size)
		}
	}
	for _, w := range m.pool.sortedWorkers {
		if m.pool.reservation.job == nil && !w.gangReserved.IsZero() {
			m.t.Fatalf("worker %s reserves %+v for a gang without a reservation", w.host.Name, w.gangReserved)
		}
		if w.claimed != claimed[w] {
			m.t.Fatalf("worker %s counts %+v as claimed, its claims need %+v", w.host.Name, w.claimed, claimed[w])
		}
		var sum job.Size
		for _, t := range w.tasks {
			sum = sum.Add(t.size)
		}
		for _, size := range w.orphans {
			sum = sum.Add(size)
		}
		if sum != w.used {
			m.t.Fatalf("worker %s counts %+v as used, its tasks need %+v", w.host.Name, w.used, sum)
		}
	}
}

// checkTeams compares the usage of the teams with their tasks and with their
// limits.
func (m *clusterModel) checkTeams() {
	used, stopping := make(map[*team]job.Size), make(map[*team]job.Size)
	for _, w := range m.pool.workers {
		for _, t := range w.tasks {
			used[t.job.team] = used[t.job.team].Add(t.size)
			if t.preempted {
				stopping[t.job.team] = stopping[t.job.team].Add(t.size)
			}
		}
	}
	for name, t := range m.pool.teams {
		if t.used != used[t] || t.stopping != stopping[t] {
			m.t.Fatalf("team %s counts %+v and %+v; its tasks need %+v and %+v", name, t.used, t.stopping, used[t], stopping[t])
		}
		if limit := t.quota.Limit; !limit.IsZero() && !t.used.Fits(limit) {
			m.t.Fatalf("team %s uses %+v, more than its limit", name, t.used)
		}
	}
}

// runToCompletion ends all faults, cancels the services and runs until every job
// has ended.
func (m *clusterModel) runToCompletion() {
	for _, w := range m.workers {
		w.unreachable, w.failing, w.leaving, w.host.Leaving = false, false, false, false
	}
	for _, v := range m.pool.Jobs() {
		if v.Spec.Kind == job.KindService {
			actions, _ := m.pool.Cancel(v.Spec.ID, m.now)
			m.perform(actions)
		}
	}
	for end := m.now.Add(completionTimeout); m.now.Before(end) && len(m.pool.jobs)+len(m.pendingBatches) > 0; {
		m.advance(modelTick)
		for len(m.pendingBatches) > 0 || len(m.calls) > 0 {
			for len(m.pendingBatches) > 0 {
				m.persist()
			}
			for len(m.calls) > 0 {
				m.deliver(0, false)
			}
		}
	}
	for _, id := range m.jobs {
		if m.ended[id] != 1 {
			v, open := m.pool.Job(id)
			m.t.Fatalf("job %s has %d outcomes at the end of the run (open %v: %+v)", id, m.ended[id], open, v)
		}
	}
}
