package cell

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// Config holds the durations by which a cell decides. The platform's bounds
// give most of them.
type Config struct {
	// Lease is the lease that each hold and start grants a worker.
	Lease time.Duration
	// MaxLease is the longest lease that a worker accepts.
	MaxLease time.Duration
	// ContactTimeout is how long after its last report a worker gets new starts.
	ContactTimeout time.Duration
	// StopRetryInterval is the wait before a stop without effect is sent again.
	StopRetryInterval time.Duration
	// KeepEnded is how long the state of an ended job is kept.
	KeepEnded time.Duration
	// Policy is the zero value but in experiments.
	Policy Policy
}

// Stage is a part of the way of a job whose duration is observed.
type Stage string

const (
	// StagePlace lasts from a task's turn to its place on a worker.
	StagePlace Stage = "place"
	// StageRecord lasts from the place until the start may be sent.
	StageRecord Stage = "record"
	// StageDispatch lasts from then until it is sent.
	StageDispatch Stage = "line"
	// StageRun lasts from the start to the end as the owner learns of it.
	StageRun Stage = "run"
	// StageJob lasts from the acceptance to the job's end.
	StageJob Stage = "job"
)

// Observer is told how long each stage took.
type Observer interface {
	Observe(stage Stage, queue string, took time.Duration)
}

// minClockRate is the least rate of a worker's clock against ours.
const minClockRate = 0.98

// Cell is the state of all jobs and workers as their one owner sees it.
type Cell struct {
	config   Config
	observer Observer
	log      *zap.Logger
	manifest *manifest.Manifest
	// ownedSince is when this owner took over.
	ownedSince time.Time
	// previousOwnerEnded is set when the last owner's process has surely ended.
	previousOwnerEnded bool

	jobs    map[workload.JobID]*jobState
	workers map[WorkerID]*worker
	// sortedWorkers holds the workers by their IDs.
	sortedWorkers []*worker
	// scheduled holds the jobs with occurrences that are not due yet.
	scheduled map[workload.JobID]*jobState
	// openSteps holds the steps that have tasks to place.
	openSteps map[workload.StepID]*stepState
	// evalQueue says which of them the next decisions look at.
	evalQueue evaluationQueue
	// dirty holds the jobs whose record has to be written.
	dirty   []*jobState
	pending map[string]int
	// openJobs counts the jobs that have not ended.
	openJobs int

	// urgentQuestions bounds the open questions for advice that are urgent, and
	// longAsking the others.
	urgentQuestions questionLimiter
	longQuestions   questionLimiter
	// allowedShares has for each queue the part of the workers that is usually
	// allowed.
	allowedShares map[string]float64
	// estimates has for each queue what its estimates are worth.
	estimates map[string]*estimateStats

	// endedJobs holds the jobs that have ended, the oldest end first.
	endedJobs []endedJob
	// waves holds the operator's waves of maintenance by their number.
	waves map[int]*waveState
	// waveRecords holds what earlier owners have noted of waves.
	waveRecords map[int]WaveRecord

	// earlyStarts tells which starts may go, or have gone, earlyStarts of their record.
	earlyStarts earlyStartState
	// dispatch holds the runs whose start waits to be sent.
	dispatch dispatchQueue

	usableNow usableWorkers

	actions []Action
	// placementPending is set when a placement may have become possible.
	placementPending bool
	// stepsEvaluated counts the steps that decisions have stepsEvaluated at.
	stepsEvaluated int
}

// New returns an empty cell that begins to decide now.
func New(now time.Time, config Config, observer Observer, log *zap.Logger) *Cell {
	c := &Cell{
		config: config, observer: observer, log: log.Named("cell"), ownedSince: now,
		jobs:            make(map[workload.JobID]*jobState),
		workers:         make(map[WorkerID]*worker),
		scheduled:       make(map[workload.JobID]*jobState),
		openSteps:       make(map[workload.StepID]*stepState),
		pending:         make(map[string]int),
		urgentQuestions: questionLimiter{limit: urgentPerHost}, longQuestions: questionLimiter{limit: 1}, allowedShares: make(map[string]float64), waves: make(map[int]*waveState),
		waveRecords: make(map[int]WaveRecord), earlyStarts: newEarlyStartState(),
		estimates: make(map[string]*estimateStats), dispatch: dispatchQueue{limit: unlimitedStarts},
	}
	c.usableNow = newUsableWorkers(c)
	return c
}

// SetManifest puts a newer manifest in force.
func (c *Cell) SetManifest(m *manifest.Manifest) {
	if c.manifest != nil && c.manifest.Version >= m.Version {
		return
	}
	c.manifest = m
	c.evalQueue.ranksStale = true
	c.placementPending = true
}

// TakeActions returns what is to be done now, and forgets it.
func (c *Cell) TakeActions(now time.Time) []Action {
	c.dispatchStarts(now)
	if c.placementPending && !c.dispatch.full(now, true) {
		c.placementPending = false
		c.resolveUnrecorded(now)
		c.place(now)
		c.dispatchStarts(now)
	}
	actions := c.actions
	c.actions = nil
	return actions
}

// sortedKeys returns the keys of a map in their order.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

func (c *Cell) emit(a Action) { c.actions = append(c.actions, a) }
