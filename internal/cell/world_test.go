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

// world is a cell with its owners, workers and store in virtual time. Its
// workers keep the platform's promises; calls to them are lost, delayed and
// carried out late.
type world struct {
	t       *rapid.T
	now     time.Time
	owners  []*simOwner
	workers []*simWorker
	// calls are on their way to workers.
	calls []*simCall
	// store holds what is durable.
	store      map[workload.JobID]cell.Record
	storeWaves map[int]cell.WaveRecord
	// storeAhead holds the workers that the owner's row names.
	storeAhead []cell.WorkerID
	// slow is set while owners send starts ahead of their record.
	slow bool
	// startLimit is how many starts owners may send at a time.
	startLimit int
	epoch      uint64
	jobs       []cell.AcceptedJob
	cancelled  map[workload.JobID]bool
	manifest   *manifest.Manifest
	// omit leaves one of the cell's guards out of the world's owners.
	omit omission

	// done holds the tasks with a finished run whose end was acknowledged.
	done map[workload.TaskID]bool
	// everDone holds the tasks that have ended well, acknowledged or not.
	everDone map[workload.TaskID]bool
	// failedRuns counts acknowledged failures.
	failedRuns map[workload.TaskID]int
	completed  map[workload.JobID]bool
	gangs      map[gangKey]*simGang
	machines   []*simMachine
	waves      []*simWave
	// wavesDone holds the waves that were said to be complete.
	wavesDone map[int]bool
	// away holds the tasks that an order has ended and that are not back.
	away map[workload.TaskID]bool
	// alone counts the members of gangs that gave up waiting for the others,
	// and lapsed the runs whose worker lost its lease.
	alone  int
	lapsed int
	// saved holds the checkpoints that a step's tasks have written.
	saved map[string]workload.TaskID
	// violation is the first promise that was broken.
	violation string
}

// omission is a guard that is left out, to see that the oracle finds it.
type omission string

const (
	omitNothing    omission = ""
	omitDurable    omission = "starts are sent before their record is durable"
	omitAckDurable omission = "ends are acknowledged before they are durable"
	omitFence      omission = "workers check no fence"
	omitWaveRecord omission = "orders for maintenance are sent before they are on record"
	omitAhead      omission = "a new owner does not wait for starts ahead of their record"
	omitDoubt      omission = "a start without an answer counts as not sent"
)

// simOwner is one owner with its commit on the way.
type simOwner struct {
	cell  *cell.Cell
	epoch uint64
	// slow is what the owner's last row was written for.
	slow bool
	// commit is the transaction on its way; nil is none.
	commit *simCommit
	over   bool
	// replacedAt is when the next owner took over.
	replacedAt time.Time
}

type simCommit struct {
	jobs  []cell.Record
	waves []cell.WaveRecord
	// ahead holds the workers that the owner's row names.
	ahead []cell.WorkerID
}

type simRun struct {
	number int
	until  time.Time
	fails  bool
	size   job.Size
	lasts  bool
	gang   bool
	saves  bool
	// arrived is when the worker took the start.
	arrived time.Time
	// held is set when its owner had no answer to the start.
	held bool
}

// simWorker is a worker as the platform describes it.
type simWorker struct {
	id      cell.WorkerID
	machine *simMachine
	// gone is set once the machine has begun another life.
	gone  bool
	label string
	born  cell.Incarnation
	since time.Time
	// rate is how fast the worker's steady clock runs.
	rate     float64
	fence    uint64
	deadline time.Duration
	runs     map[workload.TaskID]*simRun
	// highest is the highest run of a task that was stopped or has ended.
	highest map[workload.TaskID]int
	ends    []cell.Ended
	ended   int64
	cut     bool
	leaving bool
	// hasLeft is set once this life was told to leave. No worker goes back on
	// that, but the plays do, and stops from that time are repeated.
	hasLeft bool
}

// simCall is a call to a worker.
type simCall struct {
	owner  *simOwner
	worker *simWorker
	// born is the life of the worker that the call was meant for.
	start *cell.SendStart
	stop  *cell.SendStop
	plan  *cell.HoldRequest
	// maintenance is an order for a machine, and worker nil then.
	maintenance *cell.Maintenance
	// answered is set once the owner has been told an outcome.
	answered bool
}

// worldLabels are the labels of the workers; the last one is of all others.
var worldLabels = []string{"big", "small"}

// replacedFor is how long an owner that was replaced may go on without learning
// of it.
const replacedFor = 3 * time.Second

const (
	worldWorkers  = 3
	maxOldOwners  = 2
	worldMaxSteps = 3
)

func newWorld(t *rapid.T, omit omission) *world {
	w := &world{
		t: t, now: time.Unix(1_700_000_000, 0), store: make(map[workload.JobID]cell.Record), omit: omit,
		storeWaves: make(map[int]cell.WaveRecord), startLimit: math.MaxInt,
		cancelled: make(map[workload.JobID]bool), done: make(map[workload.TaskID]bool), everDone: make(map[workload.TaskID]bool),
		failedRuns: make(map[workload.TaskID]int), completed: make(map[workload.JobID]bool),
		wavesDone: make(map[int]bool), away: make(map[workload.TaskID]bool),
		gangs: make(map[gangKey]*simGang), saved: make(map[string]workload.TaskID),
		manifest: &manifest.Manifest{Version: 1, Queues: []manifest.Queue{
			{Name: "urgent", Service: "s", MaxAttempts: 2, SlackFactor: 2, TargetLatency: time.Second},
			{Name: "plain", Service: "s", Priority: 2, MaxAttempts: 2, SlackFactor: 2, TargetLatency: time.Second},
		}},
	}
	for i := range worldWorkers {
		m := &simMachine{name: fmt.Sprintf("w%d", i), label: worldLabels[min(i, len(worldLabels)-1)]}
		w.machines = append(w.machines, m)
		w.newLife(m)
	}
	w.takeOver()
	return w
}

// live returns the workers that are the present lives of their machines.
func (w *world) live() []*simWorker {
	return slices.DeleteFunc(slices.Clone(w.workers), func(s *simWorker) bool { return s.gone })
}

func (s *simWorker) clock(now time.Time) time.Duration {
	return time.Duration(float64(now.Sub(s.since)) * s.rate)
}

func (w *world) owner() *simOwner { return w.owners[len(w.owners)-1] }

// takeOver makes a new owner from what is durable. The old ones go on for a
// while without knowing.
func (w *world) takeOver() {
	w.epoch++
	config := scriptConfig
	o := &simOwner{epoch: w.epoch, cell: cell.New(w.now, config, unobserved{}, zap.NewNop())}
	o.cell.SetManifest(w.manifest)
	if w.omit != omitAhead {
		o.cell.RestoreEarlyStartWorkers(w.storeAhead)
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
		o.cell.Register(w.now, w.registration(s))
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

var workerRoom = job.Size{MilliCores: 4000, MemoryMB: 4000}

func (w *world) registration(s *simWorker) cell.Registration {
	return cell.Registration{
		ID: s.id, Incarnation: s.born, Machine: s.machine.name, Service: "s", Labels: []string{s.label}, Capacity: workerRoom, Leaving: s.leaving,
	}
}

// act carries out what an owner wants done.
func (w *world) act(o *simOwner) {
	if o.over {
		return
	}
	o.cell.LimitStarts(w.startLimit)
	for _, a := range o.cell.TakeActions(w.now) {
		switch a := a.(type) {
		case cell.SendStart:
			w.calls = append(w.calls, &simCall{owner: o, worker: w.worker(a.Worker), start: &a})
		case cell.SendStop:
			s := w.worker(a.Worker)
			w.calls = append(w.calls, &simCall{owner: o, worker: s, stop: &a})
		case cell.RequestReport:
			w.hold(o, w.worker(a.Worker))
		case cell.Maintenance:
			w.calls = append(w.calls, &simCall{owner: o, maintenance: &a})
		case cell.WaveStatus:
			w.told(a)
		}
	}
	if missed := o.cell.Missed(w.now); len(missed) > 0 {
		w.fail("a decision leaves steps that could be placed: %v\n%s", missed, o.cell.Describe())
	}
	if w.omit == omitDurable {
		o.cell.Committed(w.now, o.cell.TakeRecords(100))
	}
	if w.omit == omitWaveRecord {
		o.cell.WavesCommitted(o.cell.WaveRecords())
	}
	o.cell.SetEarlyStarts(w.slow)
	if o.commit == nil && (o.cell.HasRecords() || w.slow != o.slow) {
		o.slow = w.slow
		o.commit = &simCommit{jobs: o.cell.TakeRecords(100), waves: o.cell.WaveRecords()}
		o.commit.ahead = o.cell.EarlyStartWorkers(w.now)
	}
}

func (w *world) worker(id cell.WorkerID) *simWorker {
	i := slices.IndexFunc(w.workers, func(s *simWorker) bool { return s.id == id })
	return w.workers[i]
}

// hold puts a hold call on its way.
func (w *world) hold(o *simOwner, s *simWorker) {
	plan, ok := o.cell.NextHold(w.now, s.id)
	if ok && !o.over {
		w.calls = append(w.calls, &simCall{owner: o, worker: s, plan: &plan})
	}
}

func (w *world) job(id workload.JobID) *workload.Job {
	for i := range w.jobs {
		if w.jobs[i].Job.ID == id {
			return &w.jobs[i].Job
		}
	}
	w.fail("a task of job %s, which nobody submitted", id)
	return &workload.Job{}
}

// advance lets time pass in small steps.
func (w *world) advance(d time.Duration) {
	const tick = 100 * time.Millisecond
	for ; d > 0; d -= tick {
		w.now = w.now.Add(min(d, tick))
		for _, s := range w.workers {
			w.expire(s)
		}
		w.moveGangs()
		w.returnMachines()
		for _, o := range w.owners {
			o.over = o.over || !o.replacedAt.IsZero() && w.now.Sub(o.replacedAt) > replacedFor
			if !o.over {
				o.cell.Tick(w.now)
				w.act(o)
			}
		}
	}
}
