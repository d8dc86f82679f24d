package cell

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/account"
	"cicadabarrow.example/cicadabarrow/internal/interference"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// Config holds the durations that the cell's decisions depend on. Most of them
// derive from the platform's limits.
type Config struct {
	// Lease is the length of the lease that each hold and each start grants a
	// worker.
	Lease time.Duration
	// MaxLease is the longest lease that a worker accepts.
	MaxLease time.Duration
	// ContactTimeout is how long after its last report a worker still gets new
	// starts.
	ContactTimeout time.Duration
	// StopRetryInterval is the wait before a stop that had no effect is sent
	// again.
	StopRetryInterval time.Duration
	// KeepEnded is how long the state of an ended job is kept.
	KeepEnded time.Duration
	// Unfenced is set if workers do not check fencing tokens, so that they
	// also obey an earlier owner.
	Unfenced bool
	// Interference tells whether interference between tasks is learned and avoided.
	Interference interference.Mode
	// Policy is the zero value except in experiments.
	Policy Policy
}

// Stage is a part of a job's lifecycle whose duration is observed.
type Stage string

const (
	// StagePlace is the time from when a task may be placed until it has a
	// worker.
	StagePlace Stage = "place"
	// StageRecord is the time from the placement until the start may be sent.
	StageRecord Stage = "record"
	// StageDispatch is the time that a start then spends in the dispatch queue.
	StageDispatch Stage = "line"
	// StageRun is the time from the start until the owner learns of the run's
	// end.
	StageRun Stage = "run"
	// StageJob is the time from the acceptance of a job to its end.
	StageJob Stage = "job"
)

// Counter is a kind of event that is counted.
type Counter string

const (
	// CountWorkerCrash counts the workers that ended without being told to.
	CountWorkerCrash Counter = "worker_crashes"
	// CountTaskCrash counts the runs that were at work on them.
	CountTaskCrash Counter = "task_crashes"
	// CountIsolation counts the starts for which a worker was kept free.
	CountIsolation Counter = "isolated_starts"
	// CountFailedAttempts counts the jobs that failed with CauseAttempts.
	CountFailedAttempts Counter = "jobs_failed_attempts"
	// CountFailedCrashes counts the jobs that failed with CauseCrashes.
	CountFailedCrashes Counter = "jobs_failed_crashes"
	// CountAvoided counts the tasks that were placed on another worker to avoid
	// interference.
	CountAvoided Counter = "avoided_placements"
	// CountAvoidable counts, in ModeObserve, those that ModeAvoid would have placed
	// on another worker.
	CountAvoidable Counter = "avoidable_placements"
)

// Observer receives the duration of each stage, and counts events.
type Observer interface {
	Observe(stage Stage, queue string, took time.Duration)
	Count(counter Counter)
}

// minClockRate is the lowest rate at which a worker's clock may run, relative
// to the owner's clock.
const minClockRate = 0.98

// Cell is the state of all jobs and workers as seen by their single owner.
type Cell struct {
	config   Config
	observer Observer
	log      *zap.Logger
	manifest *manifest.Manifest
	// queues holds the manifest's queues by name.
	queues map[string]*manifest.Queue
	// ownedSince is when this owner took over.
	ownedSince time.Time
	// predecessorEnded is set when the predecessor's process has certainly
	// ended.
	predecessorEnded bool
	// confirmedAt is when the last commit of this owner that took effect began,
	// and predecessorIdle for how long before the takeover no commit of a
	// predecessor had taken effect.
	confirmedAt     time.Time
	predecessorIdle time.Duration
	// unconfirmed is set while another host may have taken over during a suspension.
	unconfirmed bool
	// delay is how late this owner has handled reports of late.
	delay time.Duration
	// commitsBegun counts the commits, and commitsDone has the number of the
	// last one that succeeded.
	commitsBegun uint64
	commitsDone  uint64

	jobs    map[workload.JobID]*jobState
	workers map[WorkerID]*worker
	// sortedWorkers holds the workers, sorted by ID.
	sortedWorkers []*worker
	// newAddrs holds the workers whose address has become known or has changed.
	newAddrs []WorkerID
	// onMachine holds the workers that have registered on each machine.
	onMachine map[string][]*worker
	// lostRuns holds the tasks with lost runs on each machine.
	lostRuns map[string][]*task
	// unsettled holds the tasks that have succeeded in an earlier run while a start of
	// them was in flight.
	unsettled []*task
	// isolatedWorkers counts the workers that are kept for suspects, and
	// awaitingIsolation holds the steps with suspects that wait until there are
	// fewer, or more workers in total.
	isolatedWorkers   int
	awaitingIsolation map[workload.StepID]*stepState
	// books has what the accounts of the jobs have in use, and capWaits what waits for
	// their caps, by account.
	books    *account.Books
	capWaits map[string]*capWaits
	// capWaitsLoggedAt is when the latter was last logged.
	capWaitsLoggedAt time.Time
	// workersWithUnsized counts the workers that report tasks of unknown jobs.
	workersWithUnsized int
	// awaitsJobs is set if a step was not placed because of them.
	awaitsJobs bool
	// scheduled holds the jobs with occurrences that are not due yet.
	scheduled map[workload.JobID]*jobState
	// openSteps holds the steps that have tasks to place.
	openSteps map[workload.StepID]*stepState
	// evalQueue determines which open steps the next decisions evaluate.
	evalQueue evaluationQueue
	// dirty holds the jobs whose record has to be written.
	dirty        []*jobState
	recordBuffer recordBuffer
	pending      map[string]int
	// unfinishedJobs counts the jobs that have not ended.
	unfinishedJobs int

	// urgentQuestions limits the open urgent questions for advice, and
	// longQuestions the others.
	urgentQuestions questionLimiter
	longQuestions   questionLimiter
	// allowedShares has, for each queue, the share of the workers that the
	// advice service usually allows.
	allowedShares map[string]float64
	// estimates has, for each queue, how run times compare with the estimates.
	estimates map[string]*estimateStats

	// endedJobs holds the ended jobs, in the order in which they ended.
	endedJobs []endedJob
	// waves holds the operator's maintenance waves by number.
	waves map[int]*waveState
	// waveRecords holds the records of waves that predecessors wrote.
	waveRecords map[int]WaveRecord

	// earlyStarts tracks the starts that may be, or were, sent before their
	// record is durable.
	earlyStarts earlyStartState
	// dispatch holds the runs whose start waits to be sent.
	dispatch dispatchQueue

	usableNow usableWorkers

	interference interferenceState

	actions []Action
	// placementPending is set when a placement may have become possible.
	placementPending bool
	// held is about how much memory the jobs take.
	held HeldBytes
	// startsAccepted counts the starts that workers have accepted, by service.
	startsAccepted map[string]acceptedStarts
	// stepsEvaluated counts the steps that decisions have evaluated.
	stepsEvaluated int
	// longWaitsCheckedAt is when long waits were last looked for.
	longWaitsCheckedAt time.Time
}

// New returns an empty cell that takes over at the given time.
func New(now time.Time, config Config, observer Observer, log *zap.Logger) *Cell {
	c := &Cell{
		config: config, observer: observer, log: log.Named("cell"), ownedSince: now,
		jobs:      make(map[workload.JobID]*jobState),
		workers:   make(map[WorkerID]*worker),
		onMachine: make(map[string][]*worker),
		lostRuns:  make(map[string][]*task), awaitingIsolation: make(map[workload.StepID]*stepState),
		scheduled:       make(map[workload.JobID]*jobState),
		openSteps:       make(map[workload.StepID]*stepState),
		pending:         make(map[string]int),
		startsAccepted:  make(map[string]acceptedStarts),
		urgentQuestions: newQuestionLimiter(urgentPerHost), longQuestions: newQuestionLimiter(1), allowedShares: make(map[string]float64), waves: make(map[int]*waveState),
		waveRecords: make(map[int]WaveRecord), earlyStarts: newEarlyStartState(),
		books: account.NewBooks(), capWaits: make(map[string]*capWaits),
		estimates: make(map[string]*estimateStats), dispatch: dispatchQueue{limit: unlimitedStarts},
		interference: newInterferenceState(config.Interference),
	}
	c.usableNow = newUsableWorkers(c)
	return c
}

// SetManifest installs a manifest if it is newer than the current one.
func (c *Cell) SetManifest(m *manifest.Manifest) {
	if c.manifest != nil && c.manifest.Version >= m.Version {
		return
	}
	c.manifest = m
	c.books.SetTerms(m.Accounts)
	c.queues = make(map[string]*manifest.Queue, len(m.Queues))
	for i := range m.Queues {
		q := &m.Queues[i]
		if _, known := c.queues[q.Name]; !known {
			c.queues[q.Name] = q
		}
	}
	for _, j := range c.jobs {
		c.resolveQueue(j)
	}
	c.evalQueue.ranksStale = true
	c.placementPending = true
}

// TakeActions places tasks and returns the actions to carry out now. Each
// action is returned once.
func (c *Cell) TakeActions(now time.Time) []Action {
	c.dispatchStarts(now)
	if c.placementPending && !c.dispatch.full(now, startLongRunning) {
		c.placementPending = false
		c.resolveUnrecorded(now)
		c.place(now)
		c.dispatchStarts(now)
	}
	actions := c.actions
	c.actions = nil
	return actions
}

// sortedKeys returns the keys of a map in ascending order.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

func (c *Cell) emit(a Action) { c.actions = append(c.actions, a) }
