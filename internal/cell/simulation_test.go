package cell_test

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"go.uber.org/zap"
	"pgregory.net/rapid"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// simulation is a cell with its owners, workers and store in virtual time. Its
// workers keep the platform's guarantees; calls to them are lost, delayed and
// executed late.
type simulation struct {
	t       *rapid.T
	now     time.Time
	owners  []*simOwner
	workers []*simWorker
	// calls are the calls to workers in flight.
	calls []*simCall
	// store holds the durable records.
	store      map[workload.JobID]cell.Record
	storeWaves map[int]cell.WaveRecord
	// storeEarlyStartWorkers holds the workers that the owner's row names.
	storeEarlyStartWorkers []cell.WorkerID
	// writtenAt is when the store was last written.
	writtenAt time.Time
	// slow is set while owners send starts before their record is durable.
	slow bool
	// earlyStartsOff is set if slow stays unset.
	earlyStartsOff bool
	// unswept is set if owners sweep no steps.
	unswept bool
	// startLimit is how many starts owners may send at a time.
	startLimit int
	epoch      uint64
	jobs       []cell.AcceptedJob
	cancelled  map[workload.JobID]bool
	manifest   *manifest.Manifest
	// omit is the guard that the simulated owners and workers omit.
	omit omittedGuard
	// unfenced is set if workers check no fencing token, and owners know it.
	unfenced bool
	// bound is set if no call reaches another incarnation than the one it is meant for.
	bound bool
	// replacedOwnerLifetime is how long a replaced owner continues.
	replacedOwnerLifetime time.Duration

	// done holds the tasks with a successful run whose end was acknowledged.
	done map[workload.TaskID]bool
	// doneBeforeLapse has, for those of them whose worker's lease had lapsed since the end,
	// the epoch of the owner that acknowledged it.
	doneBeforeLapse map[workload.TaskID]uint64
	// decisions holds the ends that may decide about tasks, and the starts of the tasks.
	decisions    map[decisionKey]*decision
	decidingEnds map[endKey]*decidingEnd
	// listedEndsCount is set if the platform also takes note of ends that were listed.
	listedEndsCount bool
	// everDone holds the tasks that have succeeded, acknowledged or not.
	everDone map[workload.TaskID]bool
	// failedRuns counts acknowledged failures.
	failedRuns map[workload.TaskID]int
	completed  map[workload.JobID]bool
	// completedBy has the first epoch whose owner showed the job as completed.
	completedBy map[workload.JobID]uint64
	gangs       map[gangKey]*simGang
	machines    []*simMachine
	waves       []*simWave
	// wavesDone holds the waves that were reported as complete.
	wavesDone map[int]bool
	// down holds the tasks that were ended by an order and are not running
	// again.
	down map[workload.TaskID]bool
	// incompleteGangMembers counts the members of gangs that gave up waiting
	// for the others, and expiredLeases the runs whose worker lost its lease.
	incompleteGangMembers int
	expiredLeases         int
	// checkpoints maps each checkpoint to the task that wrote it.
	checkpoints map[string]workload.TaskID
	// failed holds the runs that have failed, acknowledged or not, by the task
	// under which they count.
	failed map[workload.TaskID]map[int]bool
	// crashes holds what has crashed, and what crashes its worker.
	crashes simCrashes
	// accounts holds the client accounts; nil without any.
	accounts *simAccounts
	// sent holds what was known when each start was sent.
	sent map[*cell.SendStart]sentStart
	// failingTenths is how many tenths of the runs fail.
	failingTenths int
	// lastingRunsEnd is set if long-running runs end by themselves.
	lastingRunsEnd bool
	// missed describes the last steps that a decision missed.
	missed string
	// violation is the first violation of an invariant.
	violation string
}

// omittedGuard is a guard that is omitted, to verify that the oracle detects
// the omission.
type omittedGuard string

const (
	omitNothing        omittedGuard = ""
	omitDurable        omittedGuard = "starts are sent before their record is durable"
	omitAckDurable     omittedGuard = "ends are acknowledged before they are durable"
	omitFence          omittedGuard = "workers check no fence"
	omitWaveRecord     omittedGuard = "orders for maintenance are sent before they are on record"
	omitEarlyStart     omittedGuard = "a new owner does not wait for starts ahead of their record"
	omitUncertainStart omittedGuard = "a start without an answer counts as not sent"
	// omitSmallerCapacity keeps owners from learning that a worker has shrunk.
	omitSmallerCapacity omittedGuard = "a smaller capacity is ignored"
	// omitStartIncarnation and omitHoldIncarnation apply to calls that are bound.
	omitStartIncarnation omittedGuard = "starts reach other incarnations"
	omitHoldIncarnation  omittedGuard = "hold calls reach other incarnations"
)

// simOwner is one owner with its commit in flight.
type simOwner struct {
	cell  *cell.Cell
	epoch uint64
	// slow is the setting that the owner's last row was written for.
	slow bool
	// commit is the transaction in flight; nil if there is none.
	commit *simCommit
	// confirmedAt is when the last commit that succeeded began.
	confirmedAt time.Time
	stopped     bool
	// replacedAt is when the next owner took over.
	replacedAt time.Time
}

type simCommit struct {
	begun time.Time
	// epoch is that of the owner.
	epoch uint64
	jobs  []cell.Record
	waves []cell.WaveRecord
	// earlyStartWorkers holds the workers that the owner's row names.
	earlyStartWorkers []cell.WorkerID
}

type simRun struct {
	number int
	// ends is set if the run ends by itself at the time until.
	ends        bool
	until       time.Time
	fails       bool
	size        job.Size
	longRunning bool
	gang        bool
	checkpoints bool
	// arrived is when the worker accepted the start.
	arrived time.Time
	// uncertain is set if the owner got no answer to the start.
	uncertain bool
	// crashAt is when a deadly run crashes its worker; zero for all others.
	crashAt time.Time
	// epoch is that of the owner that sent the start, and durable is set once a
	// record that covers the run is durable.
	epoch   uint64
	durable bool
}

// simWorker is a worker with the behaviour that the platform documents.
type simWorker struct {
	id      cell.WorkerID
	machine *simMachine
	// replaced is set once the machine has begun another incarnation.
	replaced    bool
	label       string
	incarnation cell.Incarnation
	since       time.Time
	// rate is the rate of the worker's monotonic clock.
	rate     float64
	fence    uint64
	deadline time.Duration
	runs     map[workload.TaskID]*simRun
	// highest is the highest number of a task's runs that were stopped or have
	// ended.
	highest map[workload.TaskID]int
	ends    []cell.Ended
	ended   int64
	// lapses counts how often the lease had lapsed when it was renewed, and lapsesAtEnd has
	// that number for each end.
	lapses      int
	lapsesAtEnd map[int64]int
	// reportedEnds is the number of the last end that a report has listed.
	reportedEnds int64
	cut          bool
	// unread is set while the worker executes calls and its answers are lost.
	unread bool
	// cutFromEpoch is the first epoch whose owner cannot reach the worker, and none
	// after it can; 0 if all can.
	cutFromEpoch uint64
	// dead is set while the worker's process does not exist.
	dead bool
	// lapsed is set while the worker works without an entry in the list.
	lapsed  bool
	leaving bool
	// capacity changes while the worker runs.
	capacity simCapacity
	// toldToLeave is set once this incarnation was told to leave. Workers do
	// not revoke that, but the simulation does, and stops from that time are
	// repeated.
	toldToLeave bool
}

// simCall is a call to a worker or, for maintenance, to the machine service.
type simCall struct {
	owner  *simOwner
	worker *simWorker
	// Exactly one of start, stop, hold and maintenance is set.
	start *cell.SendStart
	stop  *cell.SendStop
	hold  *cell.HoldRequest
	// maintenance is an order for a machine; worker is nil then.
	maintenance *cell.Maintenance
	// answered is set once the owner has been told an outcome.
	answered bool
}

// workerLabels are the labels of the workers; the last label is that of all
// remaining ones.
var workerLabels = []string{"big", "small"}

const (
	// replacedOwnerLifetime is how long a replaced owner may continue without
	// learning that it was replaced.
	replacedOwnerLifetime = 3 * time.Second
	// longestReplacedOwnerLifetime is almost as long as its successor allows for.
	longestReplacedOwnerLifetime = 4700 * time.Millisecond
)

// simConfig is the configuration of simulated owners. Workers accept a far longer
// lease than owners grant.
func simConfig() cell.Config {
	config := scriptConfig
	config.Lease, config.MaxLease = 3200*time.Millisecond, 10*time.Second
	return config
}

const (
	simWorkers   = 3
	maxOldOwners = 2
	maxJobSteps  = 3
	maxAttempts  = 2
)

// simRenewInterval is the longest time between two commits of an owner whose
// workers check no fence.
const simRenewInterval = 400 * time.Millisecond

func newSimulation(t *rapid.T, omit omittedGuard, unfenced bool) *simulation {
	w := &simulation{
		t: t, unfenced: unfenced, now: time.Unix(1_700_000_000, 0), store: make(map[workload.JobID]cell.Record), omit: omit,
		storeWaves: make(map[int]cell.WaveRecord), startLimit: math.MaxInt, failingTenths: 1, replacedOwnerLifetime: replacedOwnerLifetime,
		cancelled: make(map[workload.JobID]bool), done: make(map[workload.TaskID]bool),
		doneBeforeLapse: make(map[workload.TaskID]uint64), everDone: make(map[workload.TaskID]bool),
		decisions: make(map[decisionKey]*decision), decidingEnds: make(map[endKey]*decidingEnd), completedBy: make(map[workload.JobID]uint64),
		failedRuns: make(map[workload.TaskID]int), completed: make(map[workload.JobID]bool),
		wavesDone: make(map[int]bool), down: make(map[workload.TaskID]bool),
		gangs: make(map[gangKey]*simGang), checkpoints: make(map[string]workload.TaskID),
		failed: make(map[workload.TaskID]map[int]bool), crashes: newSimCrashes(),
		sent: make(map[*cell.SendStart]sentStart),
		manifest: &manifest.Manifest{Version: 1, Queues: []manifest.Queue{
			{Name: "urgent", Service: "s", MaxAttempts: maxAttempts, SlackFactor: 2, TargetLatency: time.Second},
			{Name: "plain", Service: "s", Priority: 2, MaxAttempts: maxAttempts, SlackFactor: 2, TargetLatency: time.Second},
		}},
	}
	for i := range simWorkers {
		m := &simMachine{name: fmt.Sprintf("w%d", i), label: workerLabels[min(i, len(workerLabels)-1)]}
		w.machines = append(w.machines, m)
		w.startWorker(m)
	}
	w.takeOver()
	return w
}

// live returns the workers of the current incarnations of their machines.
func (w *simulation) live() []*simWorker {
	return slices.DeleteFunc(slices.Clone(w.workers), func(s *simWorker) bool { return s.replaced })
}

func (s *simWorker) clock(now time.Time) time.Duration {
	return time.Duration(float64(now.Sub(s.since)) * s.rate)
}

func (w *simulation) owner() *simOwner { return w.owners[len(w.owners)-1] }

// takeOver creates a new owner from the durable state. The old owners continue
// for a while without knowing of it.
func (w *simulation) takeOver() {
	w.epoch++
	w.loseEarlyRuns()
	w.hideUncounted()
	config := simConfig()
	config.Unfenced = w.unfenced
	o := &simOwner{epoch: w.epoch, cell: cell.New(w.now, config, nopObserver{}, zap.NewNop())}
	w.tellManifest(o)
	o.cell.SetPredecessorIdle(w.now.Sub(w.writtenAt))
	if w.omit != omitEarlyStart {
		o.cell.RestoreEarlyStartWorkers(w.storeEarlyStartWorkers)
	}
	for _, old := range w.owners {
		if old.replacedAt.IsZero() {
			old.replacedAt = w.now
		}
	}
	for _, a := range w.jobs {
		o.cell.Accept(w.now, a)
		if r, ok := w.store[a.Job.ID]; ok {
			o.cell.Restore(w.now, r)
		}
		if w.cancelled[a.Job.ID] {
			o.cell.Cancel(w.now, a.Job.ID)
		}
	}
	for _, s := range w.live() {
		if !s.lapsed {
			o.cell.Register(w.now, w.registration(s))
		}
	}
	for _, number := range slices.Sorted(maps.Keys(w.storeWaves)) {
		o.cell.RestoreWave(w.storeWaves[number])
	}
	for _, wave := range w.waves {
		o.cell.SetWave(w.now, wave.wave)
	}
	w.owners = append(w.owners, o)
	if len(w.owners) > maxOldOwners {
		w.owners = w.owners[1:]
	}
}

var workerCapacity = job.Size{MilliCores: 4000, MemoryMB: 4000}

func (w *simulation) registration(s *simWorker) cell.Registration {
	return cell.Registration{
		ID: s.id, Incarnation: s.incarnation, Machine: s.machine.name, Service: "s", Labels: []string{s.label}, Capacity: w.tell(s), Leaving: s.leaving,
		Renewal: int64(w.now.Sub(s.since)/renewInterval) + 1, WrittenAfter: w.now.Add(-feedInterval),
	}
}

const (
	// renewInterval is how often workers renew their entry.
	renewInterval = 1500 * time.Millisecond
	// feedInterval is how long ago owners had last read the entries when they read a
	// new one.
	feedInterval = 300 * time.Millisecond
)

// renewEntries has the workers renew the entries whose renewal was due within the last
// tick, also those that owners cannot reach. Their process exists.
func (w *simulation) renewEntries(tick time.Duration) {
	for _, s := range w.live() {
		age := w.now.Sub(s.since)
		if s.dead || s.lapsed || age/renewInterval == (age-tick)/renewInterval {
			continue
		}
		for _, o := range w.owners {
			if !o.stopped {
				o.cell.Register(w.now, w.registration(s))
			}
		}
	}
}

// act carries out an owner's actions.
func (w *simulation) act(o *simOwner) {
	if o.stopped {
		return
	}
	o.cell.LimitStarts(w.startLimit)
	o.cell.SetConfirmedAt(o.confirmedAt)
	for _, a := range o.cell.TakeActions(w.now) {
		switch a := a.(type) {
		case cell.SendStart:
			w.noteSent(o, &a)
			w.calls = append(w.calls, &simCall{owner: o, worker: w.worker(a.Worker), start: &a})
		case cell.SendStop:
			s := w.worker(a.Worker)
			w.calls = append(w.calls, &simCall{owner: o, worker: s, stop: &a})
		case cell.RequestReport:
			w.hold(o, w.worker(a.Worker))
		case cell.Maintenance:
			w.calls = append(w.calls, &simCall{owner: o, maintenance: &a})
		case cell.WaveStatus:
			w.checkWaveStatus(a)
		}
	}
	if missed := o.cell.MissedSteps(w.now); len(missed) > 0 {
		w.missed = fmt.Sprintf("a decision missed steps that could be placed: %v\n%s", missed, o.cell.Describe())
		w.fail("%s", w.missed)
	}
	if w.omit == omitDurable {
		o.cell.Committed(w.now, o.cell.TakeRecords(100))
	}
	if w.omit == omitWaveRecord {
		o.cell.WavesCommitted(o.cell.WaveRecords())
	}
	o.cell.SetEarlyStarts(w.slow)
	renewalDue := w.unfenced && w.now.Sub(o.confirmedAt) >= simRenewInterval
	if o.commit == nil && (o.cell.HasRecords() || w.slow != o.slow || renewalDue) {
		o.slow = w.slow
		o.commit = &simCommit{begun: w.now, epoch: o.epoch, jobs: o.cell.TakeRecords(100), waves: o.cell.WaveRecords()}
		o.commit.earlyStartWorkers = o.cell.EarlyStartWorkers(w.now)
	}
}

func (w *simulation) worker(id cell.WorkerID) *simWorker {
	i := slices.IndexFunc(w.workers, func(s *simWorker) bool { return s.id == id })
	return w.workers[i]
}

// hold sends a hold call.
func (w *simulation) hold(o *simOwner, s *simWorker) {
	plan, ok := o.cell.NextHold(w.now, s.id)
	if ok && !o.stopped {
		w.calls = append(w.calls, &simCall{owner: o, worker: s, hold: &plan})
	}
}

func (w *simulation) job(id workload.JobID) *workload.Job {
	for i := range w.jobs {
		if w.jobs[i].Job.ID == id {
			return &w.jobs[i].Job
		}
	}
	w.fail("a task of job %s, which nobody submitted", id)
	return &workload.Job{}
}

// advance advances the time in small steps.
func (w *simulation) advance(d time.Duration) {
	const tick = 100 * time.Millisecond
	for ; d > 0; d -= tick {
		w.now = w.now.Add(min(d, tick))
		for _, s := range w.workers {
			w.expire(s)
		}
		w.advanceGangs()
		w.takeNoteOfListed()
		w.renewEntries(tick)
		w.crashDeadly()
		w.returnMachines()
		w.tellLateCapacities()
		for _, o := range w.owners {
			o.stopped = o.stopped || !o.replacedAt.IsZero() && w.now.Sub(o.replacedAt) > w.replacedOwnerLifetime
			if !o.stopped {
				if w.unswept {
					o.cell.TickWithoutSweep(w.now)
				} else {
					o.cell.Tick(w.now)
				}
				w.act(o)
			}
		}
	}
}
