// Package admission decides whether new jobs are refused because the cell cannot keep
// up. It answers load above what the owner can start, or above what the workers of a
// service have capacity for: work that would start too late to be of use is refused at
// once, so that what was accepted is still served and the backlog is gone soon after
// the load.
//
// The package does no input or output. It is given what the owner knows of its cell,
// and the time.
package admission

import "time"

const (
	// minWait is the least expected wait at which jobs are refused. A wait below it
	// may come from a single large job.
	minWait = 500 * time.Millisecond
	// longRunningWait is the expected wait at which long-running jobs are refused. They
	// are started before all others, and gain from running late.
	longRunningWait = 3 * time.Second
	// resumeDivisor of the wait at which jobs are refused gives the one that is aimed at
	// by the time when their callers try again.
	resumeDivisor = 2
	// minRetryAfter and maxRetryAfter bound the time after which callers try again.
	minRetryAfter = 1 * time.Second
	maxRetryAfter = 30 * time.Second
	// inheritedFor is how long the decision of a predecessor may hold.
	inheritedFor = 5 * time.Second
)

// Limiter decides on new jobs, by the wait that they would have.
type Limiter struct {
	// inherited is the decision of the predecessor. It holds for delayed demand until
	// starts were seen.
	inherited Decision
	// begin and last are the times of the first and the last call of Observe.
	begin, last time.Time
	// starts is the rate at which the owner starts tasks while that is what delays them,
	// and capacity the rate at which the workers of each service take tasks while
	// their capacity is short, in millicores.
	starts   throughput
	capacity map[string]*throughput
	// refused has for how much longer jobs were lately refused than accepted. Their
	// callers come back, and are a backlog too.
	refused map[Job]time.Duration
}

// NewLimiter returns the Limiter of a new owner, whose predecessor made the given
// decision last. It refuses nothing else before it has seen starts.
func NewLimiter(inherited Decision) *Limiter {
	return &Limiter{inherited: inherited, capacity: make(map[string]*throughput), refused: make(map[Job]time.Duration)}
}

// Observe returns the decision for the current load.
func (l *Limiter) Observe(now time.Time, load Load) Decision {
	if l.begin.IsZero() {
		l.begin, l.last = now, now
	}
	l.observeRates(now, load)
	l.endInherited(now)
	var out Decision
	decide := func(j Job, d Demand, limit time.Duration) {
		if r := l.decide(now, load, j, d, limit); r.RetryAfter > 0 {
			out.Services = append(out.Services, r)
		}
	}
	for _, s := range load.Services {
		for _, d := range s.Priorities {
			decide(Job{Service: s.Service, Priority: d.Priority}, d, max(d.Target, minWait))
		}
		decide(Job{Service: s.Service, LongRunning: true}, s.LongRunning, longRunningWait)
	}
	out.addCommon(load)
	l.addExcess(now, load, &out)
	l.last = now
	return out
}

// addExcess has jobs of accounts in excess refused for the services that are short of
// capacity for them.
func (l *Limiter) addExcess(now time.Time, load Load, out *Decision) {
	if len(load.InExcess) == 0 {
		return
	}
	for _, s := range load.Services {
		for _, d := range s.Ahead {
			if wait, _ := l.wait(now, load, s.Service, d); wait > minWait {
				out.Short = append(out.Short, ServiceShortage{Service: s.Service, Priority: d.Priority, Wait: wait})
			}
		}
		if wait, _ := l.wait(now, load, s.Service, s.OverShare); wait > minWait {
			out.Short = append(out.Short, ServiceShortage{Service: s.Service, OverShare: true, Wait: wait})
		}
	}
	if len(out.Short) > 0 {
		out.InExcess = load.InExcess
	}
}

// Rate returns the number of starts a second that the owner has shown while starts
// waited to be sent; 0 if it is unknown.
func (l *Limiter) Rate(now time.Time) float64 { return l.starts.rate(now) }

// observeRates measures what the cell does with the tasks that wait.
func (l *Limiter) observeRates(now time.Time, load Load) {
	l.starts.observe(now, progress{load.Started, float64(load.Started)}, load.StartsWait || load.StartsFail)
	for _, s := range load.Services {
		t, known := l.capacity[s.Service]
		if !known {
			t = new(throughput)
			l.capacity[s.Service] = t
		}
		t.expected = s.FreedPerSecond
		t.observe(now, progress{s.Started, float64(s.StartedMilliCores)}, s.CapacityShort)
	}
}

// endInherited drops the decision of the predecessor once a rate is known.
func (l *Limiter) endInherited(now time.Time) {
	known := now.Sub(l.begin) > inheritedFor || l.starts.rate(now) > 0
	for _, t := range l.capacity {
		known = known || t.rate(now) > 0
	}
	if known {
		l.inherited = Decision{}
	}
}

// decide returns whether jobs like j are refused, whose demand is d; limit is the wait at
// which they are. If they are accepted, RetryAfter is 0.
func (l *Limiter) decide(now time.Time, load Load, j Job, d Demand, limit time.Duration) ServiceRefusal {
	wait, delayed := l.wait(now, load, j.Service, d)
	r := ServiceRefusal{Service: j.Service, Priority: j.Priority, LongRunning: j.LongRunning, Wait: wait}
	inherited, _ := l.inherited.Refuses(j)
	switch {
	case delayed && inherited > 0:
		r.Wait, r.RetryAfter = maxRetryAfter, inherited
	case r.Wait > limit:
		r.RetryAfter = min(max(r.Wait-limit/resumeDivisor, minRetryAfter), maxRetryAfter)
	}
	passed := now.Sub(l.last)
	if r.RetryAfter == 0 {
		l.refused[j] = max(l.refused[j]-passed, 0)
		return r
	}
	l.refused[j] = min(l.refused[j]+passed, maxRetryAfter)
	r.RetryAfter = max(r.RetryAfter, l.refused[j])
	return r
}

// wait returns after what time a new job with a demand would be started, and whether
// anything delays it. The time is 0 if it is unknown.
func (l *Limiter) wait(now time.Time, load Load, service string, d Demand) (wait time.Duration, delayed bool) {
	if (d.StartsDelayed || load.StartsFail) && d.Starts > 0 {
		wait, delayed = l.starts.wait(now, float64(d.Starts)), true
	}
	if d.MissingMilliCores > 0 {
		wait, delayed = max(wait, l.capacity[service].wait(now, float64(d.MissingMilliCores))), true
	}
	return wait, delayed
}
