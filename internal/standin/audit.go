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
	// maxWait is the longest waiting time that the audit tells apart.
	maxWait = 24 * time.Hour
	// waitPrecision is the number of digits to which waiting times are kept.
	waitPrecision = 3
)

// Outcome is what a caller was told of its request.
type Outcome string

const (
	// OutcomeAnswered means that the caller received a whole answer.
	OutcomeAnswered Outcome = "Answered"
	// OutcomeNotRun means that the caller was told that nothing ran.
	OutcomeNotRun Outcome = "NotRun"
	// OutcomeUnknown means that the caller was told that it may have run.
	OutcomeUnknown Outcome = "Unknown"
)

// Findings is what an audit found. Every promise is broken by any count above 0.
type Findings struct {
	// Accepted, Answered, NotRun and Unknown count the callers' requests.
	Accepted, Answered, NotRun, Unknown int
	// Lost counts requests that got no outcome, or an answer to nothing that ran.
	Lost int
	// Doubled counts keys of non-idempotent requests that ran twice or more.
	Doubled int
	// RefusedButRan counts requests that ran although refused as not run.
	RefusedButRan int
	// OverfullHosts counts workers that ran more than they have room for.
	OverfullHosts int
	// OverfullUpstreams counts instances that passed their slots or connections.
	OverfullUpstreams int
	// TasksInTwoPlaces counts tasks of which two attempts ran at once.
	TasksInTwoPlaces int
	// SplitGangs counts all-at-once jobs of which only a part started.
	SplitGangs int
	// RevertedSections counts adoptions of an older or unknown revision.
	RevertedSections int
	// NeverStarted counts submitted jobs of which nothing ever started. It is
	// no broken promise by itself.
	NeverStarted int

	// The waits run from a job's submission to each of its tasks' first start.
	StartWaitP50, StartWaitP99             time.Duration
	UrgentStartWaitP50, UrgentStartWaitP99 time.Duration
	// Packing is the share of all workers' cores that was in use over time.
	Packing float64
	// StoreWritesPerSecond counts commits and changes of objects.
	StoreWritesPerSecond float64
}

// Audit checks the promises against the journals of the stand-ins and against
// what callers and entry hosts were told.
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

// NewAudit returns an audit of a deployment from now on.
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

// SetRevisionParser says how a row under "plan/" names its team and revision. By
// default they are the last part of the key and the version of the row. A row
// that is no section is not ok.
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

// GangSubmitted records an all-at-once job, whose members start within the window.
func (a *Audit) GangSubmitted(jobID string, members int, window time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.gangs[jobID] = gang{members: members, window: window}
}

// RequestSent records that a caller's request was sent off under a key.
func (a *Audit) RequestSent(key string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, known := a.requests[key]; !known {
		a.requests[key] = ""
	}
}

// OutcomeReturned records what the caller of a key was told. Only a whole answer, as
// Whole finds it, counts as answered.
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
	who := adopter{host, team}
	if revision < a.adopted[who] {
		a.reverted++
	}
	if revision != a.adopted[who] {
		a.adoptions = append(a.adoptions, adoption{team, revision})
	}
	a.adopted[who] = revision
}

// Findings settles the workers and checks everything so far.
func (a *Audit) Findings() Findings {
	now := a.timers.Now()
	a.deployment.Workers.AdvanceTo(now)
	runs, requests := a.deployment.Journal.Tasks(), a.deployment.Journal.Requests()
	a.mu.Lock()
	defer a.mu.Unlock()
	rooms, limits := a.limits()
	f := Findings{
		OverfullHosts:     countOverfullHosts(runs, rooms),
		OverfullUpstreams: countOverfullUpstreams(requests, limits),
		TasksInTwoPlaces:  countTasksInTwoPlaces(runs, now),
		SplitGangs:        countSplitGangs(runs, maps.Clone(a.gangs), now),
		RevertedSections:  a.reverted + a.unknownAdoptions(),
	}
	a.fillRequests(&f, requests)
	a.fillWaits(&f, runs)
	a.fillUtilization(&f, runs, rooms, now)
	return f
}

func (a *Audit) limits() (map[string]job.Size, map[string]upstreamLimits) {
	rooms, limits := make(map[string]job.Size), make(map[string]upstreamLimits)
	for _, w := range a.deployment.Workers.All() {
		rooms[w.Host().Name] = w.Host().Capacity
	}
	for _, u := range a.deployment.Upstreams.All() {
		limits[u.Host().Name] = upstreamLimits{u.Host().Slots, u.Host().Connections}
	}
	return rooms, limits
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
		_ = all.RecordValue(us) // Within the bounds by the line above.
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

func (a *Audit) fillUtilization(f *Findings, runs []TaskRun, rooms map[string]job.Size, now time.Time) {
	elapsed := now.Sub(a.startedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	var cores, used float64
	for _, room := range rooms {
		cores += float64(room.MilliCores)
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
