package standin

import (
	"maps"
	"path"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/timer"
)

const (
	// maxWait is the longest waiting time that the histograms distinguish.
	maxWait = 24 * time.Hour
	// waitPrecision is the number of significant digits of waiting times.
	waitPrecision = 3
)

// Outcome is the outcome of a request that its caller received.
type Outcome string

const (
	// OutcomeAnswered means that the caller received a complete response.
	OutcomeAnswered Outcome = "Answered"
	// OutcomeNotRun means that the caller was told that the request did not run.
	OutcomeNotRun Outcome = "NotRun"
	// OutcomeUnknown means that the caller was told that the request may have run.
	OutcomeUnknown Outcome = "Unknown"
)

// Findings is the result of an audit. Each count from Lost to RevertedSections is
// the number of violations of one invariant.
type Findings struct {
	// Accepted, Answered, NotRun and Unknown count the callers' requests.
	Accepted, Answered, NotRun, Unknown int
	// Lost counts requests that got no outcome, and those that were answered
	// although they did not run.
	Lost int
	// Doubled counts the idempotency keys of non-idempotent requests that ran more
	// than once.
	Doubled int
	// RefusedButRan counts requests that ran although their caller was told that
	// they did not.
	RefusedButRan int
	// OverfullHosts counts workers whose running tasks exceeded their capacity.
	OverfullHosts int
	// OverfullUpstreams counts instances that exceeded their slots or connections.
	OverfullUpstreams int
	// TasksInTwoPlaces counts tasks of which two attempts ran at the same time.
	TasksInTwoPlaces int
	// SplitGangs counts all-at-once jobs of which only some members started.
	SplitGangs int
	// RevertedSections counts adoptions of an older or unknown revision.
	RevertedSections int
	// NeverStarted counts submitted jobs of which no task started. This is not a
	// violation by itself.
	NeverStarted int

	// The start waits are the times from a job's submission to the first start of
	// each of its tasks.
	StartWaitP50, StartWaitP99             time.Duration
	UrgentStartWaitP50, UrgentStartWaitP99 time.Duration
	// Packing is the share of all workers' cores that was in use, averaged over
	// time.
	Packing float64
	// StoreWritesPerSecond is the rate of commits and of changes of objects.
	StoreWritesPerSecond float64
}

// Audit checks the invariants of the scheduler. It compares the journals of the
// stand-ins with the events that callers and entry hosts recorded.
type Audit struct {
	deployment *Deployment
	timers     timer.Service
	startedAt  time.Time

	mu            sync.Mutex
	submitted     map[string]submission
	gangs         map[string]gang
	requests      map[string]Outcome
	adopted       map[adopter]uint64
	reverted      int
	adoptions     []adoption
	parseRevision func(HistoryRow) (team string, revision uint64, ok bool)
}

type submission struct {
	at     time.Time
	urgent bool
}

type gang struct {
	members int
	window  time.Duration
}

type adopter struct{ host, team string }

type adoption struct {
	team     string
	revision uint64
}

// NewAudit returns an audit of a deployment that begins now.
func NewAudit(d *Deployment, timers timer.Service) *Audit {
	return &Audit{
		deployment:    d,
		timers:        timers,
		startedAt:     timers.Now(),
		submitted:     make(map[string]submission),
		gangs:         make(map[string]gang),
		requests:      make(map[string]Outcome),
		adopted:       make(map[adopter]uint64),
		parseRevision: func(r HistoryRow) (string, uint64, bool) { return path.Base(r.Key), r.Version, true },
	}
}

// SetRevisionParser sets the function that returns the team and the revision of a
// row under "plan/", and false for a row that is not a section. By default the
// team is the last element of the key, and the revision the version of the row.
func (a *Audit) SetRevisionParser(f func(HistoryRow) (team string, revision uint64, ok bool)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.parseRevision = f
}

// JobSubmitted records when a job was submitted.
func (a *Audit) JobSubmitted(jobID string, at time.Time, urgent bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, known := a.submitted[jobID]; !known {
		a.submitted[jobID] = submission{at: at, urgent: urgent}
	}
}

// GangSubmitted records an all-at-once job, whose members have to start within
// the window.
func (a *Audit) GangSubmitted(jobID string, members int, window time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.gangs[jobID] = gang{members: members, window: window}
}

// RequestSent records that a caller sent a request with a key.
func (a *Audit) RequestSent(key string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, known := a.requests[key]; !known {
		a.requests[key] = ""
	}
}

// OutcomeReturned records the outcome that the caller of a key received. Only a
// complete response, as IsCompleteResponse checks it, counts as answered.
func (a *Audit) OutcomeReturned(key string, outcome Outcome) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requests[key] = outcome
}

// SectionAdopted records that an entry host put a revision of a team's section
// into force.
func (a *Audit) SectionAdopted(host, team string, revision uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	by := adopter{host, team}
	if revision < a.adopted[by] {
		a.reverted++
	}
	if revision != a.adopted[by] {
		a.adoptions = append(a.adoptions, adoption{team, revision})
	}
	a.adopted[by] = revision
}

// Findings advances the workers to the current time and checks everything that
// has been recorded so far.
func (a *Audit) Findings() Findings {
	now := a.timers.Now()
	a.deployment.Workers.AdvanceTo(now)
	runs, requests := a.deployment.Journal.Tasks(), a.deployment.Journal.Requests()
	a.mu.Lock()
	defer a.mu.Unlock()
	capacities, limits := a.limits()
	f := Findings{
		OverfullHosts:     countOverfullHosts(runs, capacities),
		OverfullUpstreams: countOverfullUpstreams(requests, limits),
		TasksInTwoPlaces:  countTasksInTwoPlaces(runs, now),
		SplitGangs:        countSplitGangs(runs, maps.Clone(a.gangs), now),
		RevertedSections:  a.reverted + a.unknownAdoptions(),
	}
	a.fillRequests(&f, requests)
	a.fillWaits(&f, runs)
	a.fillUtilization(&f, runs, capacities, now)
	return f
}

func (a *Audit) limits() (map[string]job.Size, map[string]upstreamLimits) {
	capacities, limits := make(map[string]job.Size), make(map[string]upstreamLimits)
	for _, w := range a.deployment.Workers.All() {
		capacities[w.Host().Name] = w.Host().Capacity
	}
	for _, u := range a.deployment.Upstreams.All() {
		limits[u.Host().Name] = upstreamLimits{u.Host().Slots, u.Host().Connections}
	}
	return capacities, limits
}

// unknownAdoptions counts adoptions of revisions that the table never held.
func (a *Audit) unknownAdoptions() int {
	held := make(map[adoption]bool)
	for _, row := range a.deployment.Table.History() {
		if team, revision, ok := a.parseRevision(row); ok {
			held[adoption{team, revision}] = true
		}
	}
	n := 0
	for _, adopted := range a.adoptions {
		if !held[adopted] {
			n++
		}
	}
	return n
}

func (a *Audit) fillWaits(f *Findings, runs []TaskRun) {
	all := hdrhistogram.New(1, maxWait.Microseconds(), waitPrecision)
	urgent := hdrhistogram.New(1, maxWait.Microseconds(), waitPrecision)
	started := make(map[string]bool)
	for task, at := range firstStarts(runs) {
		started[task.Job] = true
		s, ok := a.submitted[task.Job]
		if !ok {
			continue
		}
		us := min(max(at.Sub(s.at).Microseconds(), 0), maxWait.Microseconds())
		_ = all.RecordValue(us) // The line above keeps it within the bounds.
		if s.urgent {
			_ = urgent.RecordValue(us)
		}
	}
	for id := range a.submitted {
		if !started[id] {
			f.NeverStarted++
		}
	}
	f.StartWaitP50, f.StartWaitP99 = percentile(all, 50), percentile(all, 99)
	f.UrgentStartWaitP50, f.UrgentStartWaitP99 = percentile(urgent, 50), percentile(urgent, 99)
}

func percentile(h *hdrhistogram.Histogram, p float64) time.Duration {
	return time.Duration(h.ValueAtPercentile(p)) * time.Microsecond
}

func (a *Audit) fillUtilization(f *Findings, runs []TaskRun, capacities map[string]job.Size, now time.Time) {
	elapsed := now.Sub(a.startedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	var cores, used float64
	for _, capacity := range capacities {
		cores += float64(capacity.MilliCores)
	}
	for _, run := range runs {
		used += float64(run.Size.MilliCores) * run.endAt(now).Sub(run.Start).Seconds()
	}
	if cores > 0 {
		f.Packing = used / (cores * elapsed)
	}
	writes := a.deployment.Table.Counts().Writes + a.deployment.Objects.Counts().Writes
	f.StoreWritesPerSecond = float64(writes) / elapsed
}
