package admission

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	simStep = 10 * time.Millisecond
	// decideInterval is how often the owner decides, and learnDelay how much later hosts
	// know the decision.
	decideInterval = 200 * time.Millisecond
	learnDelay     = 400 * time.Millisecond
	// maxQueuedStarts and maxQueueWait are those of the dispatch queue of the cell.
	maxQueuedStarts = 512
	maxQueueWait    = 250 * time.Millisecond
	// longRunningClass goes before all priorities.
	longRunningClass = -1
)

// simLoad is jobs of one kind that are submitted at a steady rate.
type simLoad struct {
	service     string
	priority    int
	longRunning bool
	// target is the latency that the jobs aim at besides their run time.
	target        time.Duration
	tasks         int
	milliCores    int64
	runTime       time.Duration
	begin, end    time.Duration
	jobsPerSecond float64
	due           float64
}

func (l *simLoad) class() int {
	if l.longRunning {
		return longRunningClass
	}
	return l.priority
}

func (l *simLoad) freedPerSecond() float64 { return float64(l.milliCores) / l.runTime.Seconds() }

// simJob is a submitted job. That of a refused one is started in its turn too, without
// taking capacity or starts, so that the wait is known that it would have had.
type simJob struct {
	*simLoad
	at      time.Duration
	refused bool
	// attempt counts the submissions by the same caller before this one.
	attempt int
	left    int
	// wait is the time until its last task was started; -1 before that.
	wait time.Duration
}

type simTask struct {
	*simJob
	queuedAt time.Duration
}

type simService struct {
	capacity, used    int64
	freedPerSecond    float64
	started           uint64
	startedMilliCores int64
}

// simRate is the number of starts a second that the owner can do from a time on.
type simRate struct {
	from      time.Duration
	perSecond float64
}

// cluster plays a load through the decisions on new jobs: an owner with a limited rate
// of starts, services with a limited capacity, and callers.
type cluster struct {
	now      time.Duration
	limiter  *Limiter
	services map[string]*simService
	loads    []*simLoad
	rates    []simRate
	// waiting holds the tasks that wait for capacity, and dispatch those that wait to be
	// sent, both by class.
	waiting, dispatch map[int][]*simTask
	ends              map[time.Duration][]*simTask
	budget            float64
	started           uint64
	// decisions holds the last decisions; hosts know the first one.
	decisions []Decision
	jobs      []*simJob
	// retries spreads callers of refused jobs, who come back if it is set; returning holds
	// their jobs by the time when they do.
	retries   *rand.Rand
	returning map[time.Duration][]*simJob
}

func newCluster(capacity map[string]int64, rates []simRate, loads []simLoad) *cluster {
	c := &cluster{
		limiter: NewLimiter(Decision{}), services: make(map[string]*simService), rates: rates,
		waiting: make(map[int][]*simTask), dispatch: make(map[int][]*simTask), ends: make(map[time.Duration][]*simTask),
		returning: make(map[time.Duration][]*simJob),
		decisions: make([]Decision, 1+learnDelay/decideInterval),
	}
	for name, milliCores := range capacity {
		c.services[name] = &simService{capacity: milliCores}
	}
	for i := range loads {
		c.loads = append(c.loads, &loads[i])
	}
	return c
}

func (c *cluster) play(lasts time.Duration) {
	for end := c.now + lasts; c.now < end; c.now += simStep {
		for _, t := range c.ends[c.now] {
			s := c.services[t.service]
			s.used -= t.milliCores
			s.freedPerSecond -= t.freedPerSecond()
		}
		delete(c.ends, c.now)
		for _, l := range c.loads {
			c.submit(l)
		}
		for _, j := range c.returning[c.now] {
			c.submitJob(j.simLoad, j.attempt+1)
		}
		for _, class := range slices.Sorted(maps.Keys(c.waiting)) {
			c.place(class)
		}
		c.send()
		if c.now%decideInterval == 0 {
			d := c.limiter.Observe(time.Unix(1000, 0).Add(c.now), c.load())
			c.decisions = append(c.decisions[1:], d)
		}
	}
}

func (c *cluster) submit(l *simLoad) {
	if c.now < l.begin || c.now >= l.end {
		return
	}
	for l.due += l.jobsPerSecond * simStep.Seconds(); l.due >= 1; l.due-- {
		c.submitJob(l, 0)
	}
}

func (c *cluster) submitJob(l *simLoad, attempt int) {
	j := &simJob{simLoad: l, at: c.now, left: l.tasks, wait: -1, attempt: attempt}
	var retry time.Duration
	retry, j.refused = c.decisions[0].Refuses(Job{Service: l.service, Priority: l.priority, LongRunning: l.longRunning, Slack: l.target})
	c.jobs = append(c.jobs, j)
	for range l.tasks {
		c.waiting[l.class()] = append(c.waiting[l.class()], &simTask{simJob: j})
	}
	if j.refused && c.retries != nil {
		// The spread that the platform gives callers.
		at := (c.now + retry + time.Duration(c.retries.Int64N(int64(retry)))).Truncate(simStep) + simStep
		c.returning[at] = append(c.returning[at], j)
	}
}

// full reports whether no tasks of a class are placed since starts wait.
func (c *cluster) full(class int) bool {
	waiting := 0
	for earlier, tasks := range c.dispatch {
		at := slices.IndexFunc(tasks, func(t *simTask) bool { return !t.refused })
		if earlier > class || at < 0 {
			continue
		}
		waiting += count(tasks)
		if waiting >= maxQueuedStarts || c.now-tasks[at].queuedAt > maxQueueWait {
			return true
		}
	}
	return false
}

// place moves tasks of a class for which there is capacity to the dispatch queue.
func (c *cluster) place(class int) {
	blocked := make(map[string]bool)
	if c.full(class) {
		return
	}
	queued := count(c.dispatch[class])
	c.waiting[class] = slices.DeleteFunc(c.waiting[class], func(t *simTask) bool {
		s := c.services[t.service]
		if blocked[t.service] || queued >= maxQueuedStarts || s.used+t.milliCores > s.capacity {
			blocked[t.service] = true
			return false
		}
		if !t.refused {
			s.used += t.milliCores
			s.freedPerSecond += t.freedPerSecond()
			queued++
		}
		t.queuedAt = c.now
		c.dispatch[class] = append(c.dispatch[class], t)
		return true
	})
}

// send starts what the owner has time for.
func (c *cluster) send() {
	rate := 0.0
	for _, r := range c.rates {
		if c.now >= r.from {
			rate = r.perSecond
		}
	}
	c.budget = min(c.budget, 1) + rate*simStep.Seconds()
	for _, class := range slices.Sorted(maps.Keys(c.dispatch)) {
		for len(c.dispatch[class]) > 0 && c.budget >= 1 {
			t := c.dispatch[class][0]
			c.dispatch[class] = c.dispatch[class][1:]
			c.start(t)
		}
	}
}

func (c *cluster) start(t *simTask) {
	if t.left--; t.left == 0 {
		t.wait = c.now - t.at
	}
	if t.refused {
		return
	}
	c.budget--
	c.started++
	s := c.services[t.service]
	s.started++
	s.startedMilliCores += t.milliCores
	end := (c.now + t.runTime).Truncate(simStep)
	c.ends[end] = append(c.ends[end], t)
}

// count returns how many of the tasks are of jobs that were accepted.
func count(tasks []*simTask) int {
	n := 0
	for _, t := range tasks {
		if !t.refused {
			n++
		}
	}
	return n
}

// load returns what the owner knows of its cell.
func (c *cluster) load() Load {
	out := Load{Started: c.started, StartsWait: c.full(1 << 20)}
	for _, name := range slices.Sorted(maps.Keys(c.services)) {
		s := c.services[name]
		l := ServiceLoad{
			Service: name, Started: s.started, StartedMilliCores: s.startedMilliCores,
			CapacityShort: c.missing(name, 1<<20) > 0, FreedPerSecond: s.freedPerSecond,
			LongRunning: c.demand(name, longRunningClass, 0),
		}
		targets := make(map[int]time.Duration)
		for _, load := range c.loads {
			if load.service == name && !load.longRunning {
				targets[load.priority] = cmp.Or(min(targets[load.priority], load.target), load.target)
			}
		}
		for _, priority := range slices.Sorted(maps.Keys(targets)) {
			l.Priorities = append(l.Priorities, c.demand(name, priority, targets[priority]))
		}
		out.Services = append(out.Services, l)
	}
	return out
}

// ahead returns the tasks and the capacity that wait for a service up to a class.
func (c *cluster) ahead(service string, class int) (tasks int, milliCores int64) {
	for earlier, waiting := range c.waiting {
		for _, t := range waiting {
			if earlier <= class && t.service == service && !t.refused {
				tasks++
				milliCores += t.milliCores
			}
		}
	}
	return tasks, milliCores
}

func (c *cluster) missing(service string, class int) int64 {
	_, milliCores := c.ahead(service, class)
	return max(milliCores-(c.services[service].capacity-c.services[service].used), 0)
}

func (c *cluster) demand(service string, class int, target time.Duration) Demand {
	d := Demand{Priority: class, Target: target, StartsDelayed: c.full(class), MissingMilliCores: c.missing(service, class)}
	for name, s := range c.services {
		tasks, milliCores := c.ahead(name, class)
		if free := s.capacity - s.used; milliCores > free {
			tasks = int(float64(tasks) * float64(free) / float64(milliCores))
		}
		d.Starts += tasks
	}
	for earlier, tasks := range c.dispatch {
		if earlier <= class {
			d.Starts += count(tasks)
		}
	}
	return d
}
