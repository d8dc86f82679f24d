package admission

import (
	"slices"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/account"
)

// Refusal tells that new jobs of the queues of a priority are refused, and after how
// long the backlog should be worked off.
type Refusal struct {
	Priority   int
	RetryAfter time.Duration
}

// ServiceRefusal tells that new jobs for the workers of one service are refused.
type ServiceRefusal struct {
	Service string
	// LongRunning is set if it concerns long-running jobs, of whatever priority;
	// otherwise it concerns the others, of the given priority.
	LongRunning bool
	Priority    int
	// Wait is the time after which a new job would probably be started.
	Wait time.Duration
	// RetryAfter is after how long the backlog should be worked off, with the jobs that
	// were refused before.
	RetryAfter time.Duration
}

// Decision tells which new jobs are refused.
type Decision struct {
	// Services has the refusals by service and priority.
	Services []ServiceRefusal
	// Priorities and LongRunning are the decision for hosts of earlier releases, which
	// decide by priority only: what all services refuse. If Services is empty, an owner of
	// such a release has made the decision. Priorities does not concern long-running jobs,
	// and LongRunning is 0 if these are accepted.
	Priorities  []Refusal
	LongRunning time.Duration
	// Short has the services that are short of capacity for jobs in excess, and InExcess
	// the accounts whose jobs are in excess. Both are empty unless new jobs of such
	// accounts are refused.
	Short    []ServiceShortage
	InExcess []account.Excess
}

// ServiceShortage tells after what time a new job in excess would probably be started for
// the workers of a service: a job of a priority that is ahead of the rate of its account,
// or with OverShare a job of an account that is over its share of the capacity.
type ServiceShortage struct {
	Service   string
	Priority  int
	OverShare bool
	Wait      time.Duration
}

// Job is what the answer to a submission depends on.
type Job struct {
	Service     string
	Priority    int
	LongRunning bool
	// Slack is how long the start of the job may wait without a delay beyond its
	// objective.
	Slack time.Duration
	// Account is the name of the job's account; empty without one.
	Account string
}

// RefusesExcess returns after how long the rate of a job's account has worked off its
// excess, and false if the job is not refused for that reason.
func (d Decision) RefusesExcess(j Job) (time.Duration, bool) {
	if j.Account == "" {
		return 0, false
	}
	at := slices.IndexFunc(d.InExcess, func(e account.Excess) bool { return e.Name == j.Account })
	if at < 0 {
		return 0, false
	}
	excess := d.InExcess[at]
	short := slices.IndexFunc(d.Short, func(s ServiceShortage) bool {
		return s.Service == j.Service && s.OverShare == excess.OverShare && (s.OverShare || s.Priority == j.Priority)
	})
	if short < 0 || d.Short[short].Wait <= j.slackInExcess() {
		return 0, false
	}
	return max(excess.For, minRetryAfter), true
}

// slackInExcess is how long the start of a job may wait before it is refused for the
// excess of its account.
func (j Job) slackInExcess() time.Duration {
	if j.LongRunning {
		return max(j.Slack, longRunningWait)
	}
	return max(j.Slack, minWait)
}

// Refuses returns after how long a new job should be submitted again, and false if it
// is not refused. A job that is started soon enough to meet its objective is not. What is
// refused for the excess of its account is left to RefusesExcess.
func (d Decision) Refuses(j Job) (time.Duration, bool) {
	if retry, all := d.allRefused(); all {
		return retry, true
	}
	if len(d.Services) == 0 {
		return d.RetryAfter(j.Priority, j.LongRunning)
	}
	r, refused := d.find(j.Service, j.Priority, j.LongRunning)
	if !refused || r.Wait <= j.Slack {
		return 0, false
	}
	return r.RetryAfter, true
}

// RetryAfter returns after how long new jobs that all services refuse should be
// submitted again, and false if there is a service that accepts them.
func (d Decision) RetryAfter(priority int, longRunning bool) (time.Duration, bool) {
	if longRunning {
		return d.LongRunning, d.LongRunning > 0
	}
	for _, r := range d.Priorities {
		if r.Priority == priority {
			return r.RetryAfter, true
		}
	}
	return 0, false
}

// IsZero reports whether all jobs are accepted.
func (d Decision) IsZero() bool {
	return len(d.Services) == 0 && len(d.Priorities) == 0 && d.LongRunning == 0 && len(d.Short) == 0
}

// find returns the refusal that concerns jobs for a service.
func (d Decision) find(service string, priority int, longRunning bool) (ServiceRefusal, bool) {
	at := slices.IndexFunc(d.Services, func(r ServiceRefusal) bool {
		return r.Service == service && r.LongRunning == longRunning && (longRunning || r.Priority == priority)
	})
	if at < 0 {
		return ServiceRefusal{}, false
	}
	return d.Services[at], true
}

// addCommon sets what earlier releases read: what each service with such queues refuses,
// with the shortest time after which one of them should accept it.
func (d *Decision) addCommon(load Load) {
	services := make(map[int]int)
	for _, s := range load.Services {
		for _, demand := range s.Priorities {
			services[demand.Priority]++
		}
	}
	refused := make(map[int]Refusal)
	refusing := 0
	for _, r := range d.Services {
		if r.LongRunning {
			refusing++
			d.LongRunning = shorter(d.LongRunning, r.RetryAfter)
			continue
		}
		services[r.Priority]--
		refused[r.Priority] = Refusal{Priority: r.Priority, RetryAfter: shorter(refused[r.Priority].RetryAfter, r.RetryAfter)}
	}
	if refusing < len(load.Services) {
		d.LongRunning = 0
	}
	for priority, r := range refused {
		if services[priority] == 0 {
			d.Priorities = append(d.Priorities, r)
		}
	}
	slices.SortFunc(d.Priorities, func(a, b Refusal) int { return a.Priority - b.Priority })
}

// shorter returns the shorter one of two times of which the first one may be unset.
func shorter(a, b time.Duration) time.Duration {
	if a == 0 {
		return b
	}
	return min(a, b)
}
