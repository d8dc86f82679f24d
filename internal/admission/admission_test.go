package admission

import (
	"testing"
	"time"
)

// owner is a stand-in for an owner that starts a number of tasks a second.
type owner struct {
	limiter *Limiter
	now     time.Time
	started uint64
}

func newOwner() *owner { return &owner{limiter: NewLimiter(Decision{}), now: time.Unix(1000, 0)} }

// observe lets time pass with the given rate of starts, and returns the last decision.
func (o *owner) observe(lasts time.Duration, perSecond int, load Load) Decision {
	const interval = 200 * time.Millisecond
	var last Decision
	for end := o.now.Add(lasts); o.now.Before(end); {
		o.now = o.now.Add(interval)
		o.started += uint64(perSecond) / uint64(time.Second/interval)
		load.Started = o.started
		last = o.limiter.Observe(o.now, load)
	}
	return last
}

const (
	urgentPriority = 0
	batchPriority  = 2
)

var (
	urgentJob  = Job{Service: "s", Priority: urgentPriority}
	batchJob   = Job{Service: "s", Priority: batchPriority}
	lastingJob = Job{Service: "s", Priority: urgentPriority, LongRunning: true}
)

func demand(urgent, batch int, delayed bool) Load {
	return Load{StartsWait: delayed, Services: []ServiceLoad{{Service: "s", Priorities: []Demand{
		{Priority: urgentPriority, Target: 500 * time.Millisecond, Starts: urgent, StartsDelayed: delayed},
		{Priority: batchPriority, Target: 1200 * time.Millisecond, Starts: urgent + batch, StartsDelayed: delayed},
	}}}}
}

func TestJobsAreRefusedOnlyWhileTheyWouldWait(t *testing.T) {
	for _, c := range []struct {
		name          string
		load          Load
		urgent, batch time.Duration
	}{
		{"no load", demand(0, 0, false), 0, 0},
		{"a large job on idle workers", demand(0, 5000, false), 0, 0},
		{"a short wait", demand(20, 60, true), 0, 0},
		{"a long wait for batch jobs", demand(20, 480, true), 0, 4400 * time.Millisecond},
		{"a long wait for all", demand(500, 500, true), 4750 * time.Millisecond, 9400 * time.Millisecond},
		{"20 times what is served in a second", demand(10_000, 0, true), maxRetryAfter, maxRetryAfter},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := newOwner().observe(3*time.Second, 100, c.load)
			for j, want := range map[Job]time.Duration{urgentJob: c.urgent, batchJob: c.batch} {
				if retry, _ := got.Refuses(j); retry != want {
					t.Errorf("priority %d: retry after %v, want %v", j.Priority, retry, want)
				}
				if retry, _ := got.RetryAfter(j.Priority, false); retry != want {
					t.Errorf("priority %d: retry after %v at hosts of earlier releases, want %v", j.Priority, retry, want)
				}
			}
			if _, refused := got.Refuses(lastingJob); refused {
				t.Error("long-running jobs are refused although none waits")
			}
		})
	}
}

func TestJobsAreRefusedWhileStartsFail(t *testing.T) {
	load := demand(400, 0, false)
	load.StartsFail = true
	if _, refused := newOwner().observe(3*time.Second, 100, load).Refuses(urgentJob); !refused {
		t.Error("jobs are accepted although starts fail")
	}
}

// Jobs that would be started in time are accepted again at once.
func TestRefusalsEndWithTheWait(t *testing.T) {
	o := newOwner()
	for _, c := range []struct {
		tasks   int
		delayed bool
		refused bool
	}{{45, true, false}, {51, true, true}, {49, true, false}, {60, true, true}, {45, true, false}, {20, true, false}, {60, true, true}, {60, false, false}} {
		_, refused := o.observe(2*time.Second, 100, demand(c.tasks, 0, c.delayed)).Refuses(urgentJob)
		if refused != c.refused {
			t.Errorf("%d tasks wait, delayed %v: refused %v", c.tasks, c.delayed, refused)
		}
	}
}

// An owner that has not started anything yet, or that paused, does not know its rate.
func TestNothingIsRefusedForLackOfAMeasuredRate(t *testing.T) {
	o := newOwner()
	if _, refused := o.observe(2*time.Second, 0, demand(1000, 0, true)).Refuses(urgentJob); refused {
		t.Error("jobs are refused by an owner without a rate")
	}
	o.observe(2*time.Second, 1000, Load{})
	if _, refused := o.observe(2*time.Second, 0, demand(400, 0, true)).Refuses(urgentJob); refused {
		t.Error("jobs are refused after a pause")
	}
}

func TestNewOwnersRefuseWhatTheirPredecessorDid(t *testing.T) {
	o := newOwner()
	o.limiter = NewLimiter(Decision{Priorities: []Refusal{{Priority: batchPriority, RetryAfter: 7 * time.Second}}})
	got := o.observe(2*time.Second, 0, demand(100, 100, true))
	if retry, _ := got.Refuses(batchJob); retry != 7*time.Second {
		t.Errorf("before the first start, retry after %v", retry)
	}
	if _, refused := got.Refuses(urgentJob); refused {
		t.Error("a priority is refused that the predecessor accepted")
	}
	for name, load := range map[string]Load{"no demand": {}, "short demand after the first start": demand(10, 10, true)} {
		if _, refused := o.observe(2*time.Second, 100, load).Refuses(batchJob); refused {
			t.Errorf("%s: still refused", name)
		}
	}
}

func TestJobsAreRefusedWhileNothingIsStarted(t *testing.T) {
	o := newOwner()
	o.observe(time.Minute, 0, Load{})
	for _, c := range []struct {
		after   time.Duration
		load    Load
		refused bool
	}{{2 * time.Second, demand(10, 0, true), false}, {6 * time.Second, demand(10, 0, true), true}, {time.Second, Load{}, false}} {
		if _, refused := o.observe(c.after, 0, c.load).Refuses(urgentJob); refused != c.refused {
			t.Errorf("%v later: refused %v", c.after, refused)
		}
	}
}

func TestLongRunningJobsAreRefusedOnlyByTheirOwnBacklog(t *testing.T) {
	for _, c := range []struct {
		tasks   int
		refused bool
	}{{250, false}, {600, true}} {
		load := demand(10_000, 10_000, true)
		load.Services[0].LongRunning = Demand{Starts: c.tasks, StartsDelayed: true}
		got := newOwner().observe(3*time.Second, 100, load)
		if _, refused := got.Refuses(lastingJob); refused != c.refused {
			t.Errorf("%d long-running tasks wait: refused %v", c.tasks, refused)
		}
	}
}

// A host of this release reads the decision by service, and one of an earlier release
// what all services refuse, so that it does not refuse jobs that could be served.
func TestDecisionsAreByServiceAndPriority(t *testing.T) {
	full := ServiceLoad{
		Service: "full", CapacityShort: true, FreedPerSecond: 1000, LongRunning: Demand{MissingMilliCores: 5000},
		Priorities: []Demand{{MissingMilliCores: 400}, {Priority: batchPriority, MissingMilliCores: 9000}},
	}
	free := ServiceLoad{Service: "free", Priorities: []Demand{{}, {Priority: 1}, {Priority: batchPriority}}}
	for _, c := range []struct {
		name                  string
		services              []ServiceLoad
		job                   Job
		retry, earlierRelease time.Duration
	}{
		{"a batch job", []ServiceLoad{full, free}, Job{Service: "full", Priority: batchPriority}, 8750 * time.Millisecond, 0},
		{"a batch job with time", []ServiceLoad{full, free}, Job{Service: "full", Priority: batchPriority, Slack: 9 * time.Second}, 0, 0},
		{"an urgent job", []ServiceLoad{full, free}, Job{Service: "full"}, 0, 0},
		{"a job for free workers", []ServiceLoad{full, free}, Job{Service: "free", Priority: batchPriority}, 0, 0},
		{"a long-running job", []ServiceLoad{full, free}, Job{Service: "full", LongRunning: true, Slack: 4 * time.Second}, 3500 * time.Millisecond, 0},
		{"a long-running job for free workers", []ServiceLoad{full, free}, Job{Service: "free", LongRunning: true}, 0, 0},
		{"a batch job of the only service", []ServiceLoad{full}, Job{Service: "full", Priority: batchPriority}, 8750 * time.Millisecond, 8750 * time.Millisecond},
		{"a long-running job of the only service", []ServiceLoad{full}, Job{Service: "full", LongRunning: true}, 3500 * time.Millisecond, 3500 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := newOwner().observe(time.Second, 0, Load{Services: c.services})
			if retry, _ := got.Refuses(c.job); retry != c.retry {
				t.Errorf("retry after %v, want %v", retry, c.retry)
			}
			if retry, _ := got.RetryAfter(c.job.Priority, c.job.LongRunning); retry != c.earlierRelease {
				t.Errorf("at an earlier release, retry after %v, want %v", retry, c.earlierRelease)
			}
		})
	}
	earlier := Decision{Priorities: []Refusal{{Priority: batchPriority, RetryAfter: time.Second}}}
	if _, refused := earlier.Refuses(Job{Service: "full", Priority: batchPriority, Slack: time.Hour}); !refused {
		t.Error("a job is accepted that an owner of an earlier release refuses")
	}
}
