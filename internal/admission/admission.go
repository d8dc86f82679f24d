// Package admission decides whether new jobs are refused because the cell cannot keep
// up. It answers load above what the owner can start, or above what the workers have
// capacity for: work that would start too late to be of use is refused at once, so
// that what was accepted is still served and the backlog is gone soon after the load.
//
// The package does no input or output. It is given what the owner knows of its cell,
// and the time.
package admission

import "time"

// Load is what an owner knows of its cell at one moment.
type Load struct {
	// Started counts the starts that workers have accepted since the owner took over.
	Started uint64
	// StartsFail is set while starts on many workers fail although these answer, as when
	// the owner's host has too little processor time for its calls. All demand is then
	// delayed, whatever capacity is free.
	StartsFail bool
	// Priorities has the demand before new jobs of the queues of each priority.
	Priorities []Demand
	// LongRunning is the demand before new long-running jobs, whatever their queue.
	LongRunning Demand
}

// Demand is the work that goes before that of a new job.
type Demand struct {
	// Priority is that of the queues; 0 is the highest. Target is the shortest latency
	// that their jobs aim at besides their run time.
	Priority int
	Target   time.Duration
	// Tasks counts the tasks that wait to be started before those of a new job.
	Tasks int
	// Delayed is set while their starts wait to be sent, or while there is too little
	// free capacity for them. Otherwise a new job is started at once, however many
	// tasks have just become ready.
	Delayed bool
}

// Refusal tells that new jobs of the queues of a priority are refused, and after how
// long the backlog should be worked off.
type Refusal struct {
	Priority   int
	RetryAfter time.Duration
}

// Decision tells which new jobs are refused.
type Decision struct {
	// Priorities has the priorities whose queues refuse jobs. It does not concern
	// long-running jobs.
	Priorities []Refusal
	// LongRunning is how long callers should wait before they submit long-running
	// jobs again; 0 means that these are accepted.
	LongRunning time.Duration
}

// RetryAfter returns after how long a new job should be submitted again, and false if
// it is not refused.
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

const (
	// minWait is the least expected wait at which jobs are refused. A wait below it
	// may come from a single large job.
	minWait = 500 * time.Millisecond
	// longRunningWait is the expected wait at which long-running jobs are refused. They
	// are started before all others, and gain from running late.
	longRunningWait = 3 * time.Second
	// resumeDivisor of the wait at which jobs are refused gives the one at which they
	// are accepted again.
	resumeDivisor = 2
	// minRetryAfter and maxRetryAfter bound the time after which callers try again.
	minRetryAfter = 1 * time.Second
	maxRetryAfter = 30 * time.Second
)

// Limiter decides on new jobs. Jobs that are refused are accepted again only when the
// expected wait has fallen well below the one at which they began to be refused.
type Limiter struct {
	// inherited is the decision of the predecessor, which holds for delayed demand until
	// the first start.
	inherited   Decision
	rate        startRate
	priorities  map[int]demandState
	longRunning demandState
}

// demandState is what was found about a Demand so far.
type demandState struct {
	refusing bool
	// delayedSince is zero while the demand is not delayed.
	delayedSince time.Time
}

// NewLimiter returns the Limiter of a new owner, whose predecessor made the given
// decision last. It refuses nothing else before it has seen starts.
func NewLimiter(inherited Decision) *Limiter {
	return &Limiter{inherited: inherited, priorities: make(map[int]demandState)}
}

// Observe returns the decision for the current load.
func (l *Limiter) Observe(now time.Time, load Load) Decision {
	l.rate.observe(now, load.Started)
	if l.rate.best() > 0 {
		l.inherited = Decision{}
	}
	var out Decision
	for _, d := range load.Priorities {
		d.Delayed = d.Delayed || load.StartsFail
		state := l.priorities[d.Priority]
		before, _ := l.inherited.RetryAfter(d.Priority, false)
		if retry := l.decide(now, d, max(d.Target, minWait), before, &state); retry > 0 {
			out.Priorities = append(out.Priorities, Refusal{Priority: d.Priority, RetryAfter: retry})
		}
		l.priorities[d.Priority] = state
	}
	lasting := load.LongRunning
	lasting.Delayed = lasting.Delayed || load.StartsFail
	out.LongRunning = l.decide(now, lasting, longRunningWait, l.inherited.LongRunning, &l.longRunning)
	return out
}

// Rate returns the number of starts a second that the cell has shown lately.
func (l *Limiter) Rate() float64 { return l.rate.best() }

// decide returns after how long callers should try again, or 0 if jobs are accepted.
// inherited is the predecessor's answer.
func (l *Limiter) decide(now time.Time, d Demand, limit, inherited time.Duration, state *demandState) time.Duration {
	retry := l.retryAfter(now, d, limit, inherited, state)
	state.refusing = retry > 0
	return retry
}

func (l *Limiter) retryAfter(now time.Time, d Demand, limit, inherited time.Duration, state *demandState) time.Duration {
	if !d.Delayed || d.Tasks == 0 {
		state.delayedSince = time.Time{}
		return 0
	}
	if state.delayedSince.IsZero() {
		state.delayedSince = now
	}
	rate := l.rate.best()
	if rate == 0 {
		// A cell that was idle has no rate either, but has not kept tasks waiting.
		if now.Sub(state.delayedSince) > rateIntervals*rateInterval {
			return maxRetryAfter
		}
		return inherited
	}
	resume := limit / resumeDivisor
	if state.refusing {
		limit = resume
	}
	wait := time.Duration(float64(d.Tasks) / rate * float64(time.Second))
	if wait <= limit {
		return 0
	}
	return min(max(wait-resume, minRetryAfter), maxRetryAfter)
}
