package admission

import (
	"math/rand/v2"
	"testing"
	"time"
)

// answers is what the callers of one service got.
type answers struct {
	accepted, refused int
	// needless counts the jobs that were refused although they would have been started
	// in time, also if the wait had been as long as it was when the owner decided.
	needless int
	// useless counts the accepted jobs that were started when their result was of no use
	// any more: after over three times the latency that they aim at. Long-running jobs
	// gain from running late.
	useless int
	// longest is the longest wait of an accepted job, and lastRefused the time of the
	// last refusal.
	longest, lastRefused time.Duration
}

// answersTo returns the answers to the callers of a service.
func (c *cluster) answersTo(service string) answers {
	var out answers
	for _, j := range c.jobs {
		if j.service != service {
			continue
		}
		wait := j.wait
		if wait < 0 {
			wait = c.now - j.at
		}
		if j.refused {
			out.refused++
			out.lastRefused = j.at
			if wait < j.target-learnDelay-decideInterval {
				out.needless++
			}
			continue
		}
		out.accepted++
		out.longest = max(out.longest, wait)
		if !j.longRunning && wait > 3*(j.target+j.runTime) {
			out.useless++
		}
	}
	return out
}

const (
	cores = 1000 // millicores
	// maxNeedless is the number of refusals of which one may be needless: runs do not end
	// evenly, and a change of the rate is seen only after some starts.
	maxNeedless = 10
)

// What callers get from decisions on a load, in virtual time. Each case names the fault
// that it guards against.
func TestCallersAreRefusedOnlyWhatCannotBeServedInTime(t *testing.T) {
	for _, c := range []struct {
		name     string
		capacity map[string]int64
		rates    []simRate
		loads    []simLoad
		lasts    time.Duration
		// mayRefuse has the services that may refuse jobs, and the time of the last
		// refusal at most.
		mayRefuse map[string]time.Duration
		// mustRefuse has the services that must refuse some.
		mustRefuse []string
	}{
		{
			"jobs of a service with free workers are refused since another one is full",
			map[string]int64{"full": 100 * cores, "free": 100 * cores},
			[]simRate{{0, 400}},
			[]simLoad{
				{service: "full", target: time.Second, tasks: 5, milliCores: cores, runTime: time.Second, end: 20 * time.Second, jobsPerSecond: 60},
				{service: "free", target: time.Second, tasks: 5, milliCores: cores, runTime: time.Second, end: 30 * time.Second, jobsPerSecond: 10},
			},
			40 * time.Second,
			map[string]time.Duration{"full": 21500 * time.Millisecond},
			[]string{"full"},
		},
		{
			"jobs are refused since a service without capacity has many tasks that the owner does not start yet",
			map[string]int64{"full": 20 * cores, "free": 400 * cores},
			[]simRate{{0, 100}},
			[]simLoad{
				{service: "full", priority: 0, target: 3 * time.Second, tasks: 40, milliCores: cores, runTime: 2 * time.Second, end: 6 * time.Second, jobsPerSecond: 2},
				{service: "full", longRunning: true, target: time.Second, tasks: 60, milliCores: cores, runTime: 5 * time.Second, begin: 15 * time.Second, end: 18 * time.Second, jobsPerSecond: 2},
				{service: "free", longRunning: true, target: time.Second, tasks: 6, milliCores: cores, runTime: 2 * time.Second, end: 20 * time.Second, jobsPerSecond: 1},
				{service: "free", priority: 1, target: time.Second, tasks: 35, milliCores: cores, runTime: time.Second, end: 20 * time.Second, jobsPerSecond: 2},
			},
			40 * time.Second,
			map[string]time.Duration{"full": 25 * time.Second},
			[]string{"full"},
		},
		{
			"jobs are refused since starts wait a little longer than placement allows",
			map[string]int64{"s": 1000 * cores},
			[]simRate{{0, 100}},
			[]simLoad{
				{service: "s", target: 500 * time.Millisecond, tasks: 40, milliCores: cores, runTime: time.Second, end: 20 * time.Second, jobsPerSecond: 2},
				{service: "s", longRunning: true, target: time.Second, tasks: 5, milliCores: cores, runTime: time.Second, end: 20 * time.Second, jobsPerSecond: 2},
			},
			30 * time.Second,
			nil, nil,
		},
		{
			"jobs are refused since the owner had little to start before",
			map[string]int64{"s": 1000 * cores},
			[]simRate{{0, 160}},
			[]simLoad{
				{service: "s", target: 4 * time.Second, tasks: 1, milliCores: cores, runTime: time.Second, end: 20 * time.Second, jobsPerSecond: 5},
				{service: "s", target: 4 * time.Second, tasks: 200, milliCores: cores, runTime: time.Second, begin: 8 * time.Second, end: 20 * time.Second, jobsPerSecond: 0.5},
				{service: "s", longRunning: true, target: time.Second, tasks: 2, milliCores: cores, runTime: time.Second, end: 20 * time.Second, jobsPerSecond: 1},
			},
			30 * time.Second,
			nil, nil,
		},
		{
			"a burst on free workers makes their turnover look fast",
			map[string]int64{"s": 300 * cores},
			[]simRate{{0, 600}},
			[]simLoad{
				{service: "s", target: time.Second, tasks: 10, milliCores: cores, runTime: 10 * time.Second, begin: time.Second, end: 20 * time.Second, jobsPerSecond: 30},
			},
			60 * time.Second,
			map[string]time.Duration{"s": 20 * time.Second},
			[]string{"s"},
		},
		{
			"a pause of the owner makes it look slow",
			map[string]int64{"s": 1000 * cores},
			[]simRate{{0, 200}, {8 * time.Second, 0}, {9 * time.Second, 200}, {16 * time.Second, 0}, {18 * time.Second, 200}},
			[]simLoad{
				{service: "s", target: 2 * time.Second, tasks: 10, milliCores: cores, runTime: time.Second, end: 30 * time.Second, jobsPerSecond: 10},
				{service: "s", target: 2 * time.Second, tasks: 10, milliCores: cores, runTime: time.Second, begin: 5 * time.Second, end: 7 * time.Second, jobsPerSecond: 15},
			},
			40 * time.Second,
			nil, nil,
		},
		{
			"the owner starts less than before",
			map[string]int64{"s": 1000 * cores},
			[]simRate{{0, 400}, {10 * time.Second, 40}, {20 * time.Second, 400}},
			[]simLoad{
				{service: "s", target: time.Second, tasks: 10, milliCores: cores, runTime: time.Second, end: 30 * time.Second, jobsPerSecond: 20},
			},
			40 * time.Second,
			map[string]time.Duration{"s": 21500 * time.Millisecond},
			[]string{"s"},
		},
		{
			"jobs of a lower priority wait for those of a higher one that arrive later",
			map[string]int64{"s": 1000 * cores},
			[]simRate{{0, 200}},
			[]simLoad{
				{service: "s", target: time.Second, tasks: 10, milliCores: cores, runTime: time.Second, end: 30 * time.Second, jobsPerSecond: 12},
				{service: "s", priority: 2, target: time.Second, tasks: 10, milliCores: cores, runTime: time.Second, end: 30 * time.Second, jobsPerSecond: 30},
			},
			40 * time.Second,
			map[string]time.Duration{"s": 31 * time.Second},
			[]string{"s"},
		},
		{
			"many more starts than the owner can do",
			map[string]int64{"s": 1000 * cores},
			[]simRate{{0, 200}},
			[]simLoad{
				{service: "s", target: time.Second, tasks: 10, milliCores: cores, runTime: time.Second, end: 30 * time.Second, jobsPerSecond: 8},
				{service: "s", target: time.Second, tasks: 10, milliCores: cores, runTime: time.Second, begin: 5 * time.Second, end: 20 * time.Second, jobsPerSecond: 80},
			},
			40 * time.Second,
			map[string]time.Duration{"s": 22 * time.Second},
			[]string{"s"},
		},
		{
			"workers with long tasks free their capacity now and then",
			map[string]int64{"s": 60 * cores},
			[]simRate{{0, 200}},
			[]simLoad{
				{service: "s", target: 4 * time.Second, tasks: 1, milliCores: cores, runTime: 20 * time.Second, end: 100 * time.Second, jobsPerSecond: 9},
			},
			150 * time.Second,
			map[string]time.Duration{"s": 100 * time.Second},
			[]string{"s"},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			sim := newCluster(c.capacity, c.rates, c.loads)
			sim.play(c.lasts)
			for service := range c.capacity {
				got := sim.answersTo(service)
				t.Logf("%s: %+v", service, got)
				until, may := c.mayRefuse[service]
				if got.needless > got.refused/maxNeedless || got.useless > 0 || got.refused > 0 && !may || got.lastRefused > until {
					t.Errorf("callers of %s got %+v", service, got)
				}
			}
			for _, service := range c.mustRefuse {
				if sim.answersTo(service).refused == 0 {
					t.Errorf("%s refused none", service)
				}
			}
		})
	}
}

// Callers that come back when they are told to must not be refused again and again, nor
// come back all at once, so that the capacity lies idle in between.
func TestCallersThatComeBackAreServed(t *testing.T) {
	const (
		perSecond   = 200
		begin       = 5 * time.Second
		maxAttempts = 7
	)
	c := newCluster(map[string]int64{"s": 1000 * cores}, []simRate{{0, perSecond}}, []simLoad{
		{service: "s", target: time.Second, tasks: 10, milliCores: cores, runTime: time.Second, end: time.Minute, jobsPerSecond: 8},
		{service: "s", target: time.Second, tasks: 10, milliCores: cores, runTime: time.Second, begin: begin, end: 11 * time.Second, jobsPerSecond: 60},
	})
	c.retries = rand.New(rand.NewPCG(1, 2))
	c.play(time.Minute)
	attempts, last := make(map[int]int), time.Duration(0)
	for _, j := range c.jobs {
		attempts[j.attempt]++
		if j.refused {
			last = j.at
		}
	}
	started := 0
	for _, j := range c.jobs {
		if j.refused {
			continue
		}
		if j.wait < 0 || j.wait > 3*(j.target+j.runTime) {
			t.Errorf("a job that was accepted at %v waited %v", j.at, j.wait)
		}
		if at := j.at + j.wait; at > begin && at <= last {
			started += j.tasks
		}
	}
	t.Logf("submissions by attempt: %v; the last refusal at %v; %d tasks started by then", attempts, last, started)
	if could := (last - begin).Seconds() * perSecond; float64(started) < 0.95*could || last > 40*time.Second {
		t.Errorf("%d of %v tasks were started until the last refusal, at %v", started, could, last)
	}
	if len(attempts) > maxAttempts {
		t.Errorf("submissions by attempt: %v", attempts)
	}
}
