package owner

import (
	"cmp"
	"context"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/ledger"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/rowstore"
	"cicadabarrow.example/cicadabarrow/internal/timer"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// busyHost is a fakePlatform whose owner has one processor for all of its calls,
// events and commits. Its workers keep leases and end what runs when one expires.
type busyHost struct {
	*fakePlatform
	costs     processorCosts
	processor processor
	owner     atomic.Pointer[Owner]
	// loopOwed is the processor time that the event loop has not been charged yet.
	loopOwed atomic.Int64

	workersMu sync.Mutex
	machines  map[cell.WorkerID]*busyWorker
	// history holds the runs of each task in the order of their starts.
	history map[workload.TaskID][]*busyRun
	// runTimeOf returns how long a task runs; 0 means until it is stopped.
	runTimeOf func(workload.TaskID) time.Duration
}

type busyWorker struct {
	running map[workload.TaskID]*busyRun
	// highest is the highest run that each task has had or must not have any more.
	highest map[workload.TaskID]int
	ended   []cell.Ended
	number  int64
	// deadline is the end of the lease by the worker's clock.
	deadline time.Duration
	// changed wakes up the hold call that waits.
	changed chan struct{}
}

// busyRun is one run at a worker, or one that has ended.
type busyRun struct {
	number     int
	start, end time.Time
	// due is when the run ends by itself; zero if it does not.
	due time.Time
	how cell.EndKind
}

func newBusyHost(workers int, costs processorCosts, runTimeOf func(workload.TaskID) time.Duration) *busyHost {
	h := &busyHost{
		fakePlatform: newFakePlatform(workers), costs: costs, runTimeOf: runTimeOf,
		machines: make(map[cell.WorkerID]*busyWorker), history: make(map[workload.TaskID][]*busyRun),
	}
	for id := range h.workers {
		h.machines[id] = &busyWorker{
			running: make(map[workload.TaskID]*busyRun), highest: make(map[workload.TaskID]int), changed: make(chan struct{}, 1),
		}
	}
	return h
}

func (h *busyHost) startOwner(m *manifest.Manifest) *Owner {
	me := ledger.Owner{Host: "host", Incarnation: "host/1", Addr: netip.MustParseAddrPort("10.0.0.1:1"), Epoch: 1}
	ports := portsOf(h, fakeRegistrations{})
	initial := InitialState{Row: me, PredecessorsEnded: true}
	o := New(fakeConfig(), initial, m, ports, noHosts{h.otherHostsHeard}, timer.NewSystem(), tally.NoopScope, zap.NewNop())
	h.owner.Store(o)
	return o
}

// accept notifies the owner of an accepted job.
func (h *busyHost) accept(j workload.Job, q *manifest.Queue) {
	h.owner.Load().JobAccepted(cell.AcceptedJob{Job: j, Queue: *q})
	h.chargeLoop()
}

// chargeLoop charges the event loop for one event. The loop pays for all events that
// wait with one turn on the processor, as it applies them in one decision.
func (h *busyHost) chargeLoop() {
	h.loopOwed.Add(int64(h.costs.event))
	h.owner.Load().put(loopFunc(func(*Owner) {
		if owed := h.loopOwed.Swap(0); owed > 0 {
			h.processor.use(time.Duration(owed))
		}
	}))
}

// call charges a call that takes place between the two halves of its cost. It reports
// whether the request was sent, and whether the response arrived in time.
func (h *busyHost) call(ctx context.Context, cost time.Duration, atWorker func()) (sent, answered bool) {
	defer h.chargeLoop()
	h.processor.use(cost / 2)
	if ctx.Err() != nil {
		return false, false
	}
	time.Sleep(fakeLatency / 2)
	atWorker()
	time.Sleep(fakeLatency / 2)
	h.processor.use(cost - cost/2)
	return true, ctx.Err() == nil
}

func (h *busyHost) Commit(ctx context.Context, t rowstore.Transaction) (rowstore.Result, error) {
	h.processor.use(h.costs.commit + time.Duration(len(t.Writes))*h.costs.row)
	return h.fakePlatform.Commit(ctx, t)
}

func (h *busyHost) Hold(ctx context.Context, request cell.HoldRequest, _ uint64) (cell.Report, error) {
	var report cell.Report
	_, answered := h.call(ctx, h.costs.hold, func() { report = h.waitForReport(ctx, request) })
	if !answered {
		return cell.Report{}, fault.New("hold", rowstore.KindUnknown, "no answer")
	}
	return report, nil
}

// waitForReport returns the report of a worker once a run has ended or after the wait.
func (h *busyHost) waitForReport(ctx context.Context, request cell.HoldRequest) cell.Report {
	until := time.Now().Add(request.Wait)
	for {
		report, next := h.hold(request)
		if len(report.Ended) > 0 || !time.Now().Before(until) {
			return report
		}
		if next.IsZero() || next.After(until) {
			next = until
		}
		select {
		case <-time.After(time.Until(next)):
		case <-h.machines[request.Worker].changed:
		case <-ctx.Done():
			return cell.Report{}
		}
	}
}

// hold extends the lease and returns the report of a worker, and when the next run
// ends by itself.
func (h *busyHost) hold(request cell.HoldRequest) (report cell.Report, next time.Time) {
	h.workersMu.Lock()
	defer h.workersMu.Unlock()
	w := h.machines[request.Worker]
	h.advance(w)
	w.deadline = max(w.deadline, request.Deadline)
	w.ended = slices.DeleteFunc(w.ended, func(e cell.Ended) bool { return e.Number <= request.Acknowledged })
	report = cell.Report{Incarnation: 1, Clock: h.clock(), Ended: slices.Clone(w.ended)}
	for _, id := range w.sortedRunning() {
		r := w.running[id]
		running := cell.Running{Task: id, Run: r.number, Percent: 100}
		if !r.due.IsZero() {
			running.Percent = int(100 * time.Since(r.start) / r.due.Sub(r.start))
		}
		report.Running = append(report.Running, running)
		if next.IsZero() || !r.due.IsZero() && r.due.Before(next) {
			next = r.due
		}
	}
	return report, next
}

// advance ends the runs that are due, and all runs once the lease has expired.
func (h *busyHost) advance(w *busyWorker) {
	lapse := h.start.Add(w.deadline)
	for _, id := range w.sortedRunning() {
		r := w.running[id]
		switch {
		case !r.due.IsZero() && !r.due.After(time.Now()) && !r.due.After(lapse):
			w.end(id, r.due, cell.EndDone)
		case lapse.Before(time.Now()):
			w.end(id, lapse, cell.EndLeaseExpired)
		}
	}
}

func (w *busyWorker) end(id workload.TaskID, at time.Time, how cell.EndKind) {
	r := w.running[id]
	delete(w.running, id)
	r.end, r.how = at, how
	w.number++
	w.ended = append(w.ended, cell.Ended{Number: w.number, Task: id, Run: r.number, Kind: how})
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

func (h *busyHost) Start(ctx context.Context, _ netip.AddrPort, s cell.SendStart, _ uint64) (cell.StartOutcome, error) {
	var outcome cell.StartOutcome
	sent, answered := h.call(ctx, h.costs.start, func() { outcome = h.startRun(s) })
	switch {
	case !sent:
		return cell.StartOutcome{NotSent: true}, fault.New("start", rowstore.KindUnknown, "not sent")
	case !answered:
		return cell.StartOutcome{Unknown: true}, fault.New("start", rowstore.KindUnknown, "no answer")
	}
	return outcome, nil
}

func (h *busyHost) startRun(s cell.SendStart) cell.StartOutcome {
	h.workersMu.Lock()
	defer h.workersMu.Unlock()
	w := h.machines[s.Worker]
	h.advance(w)
	out := cell.StartOutcome{Clock: h.clock()}
	switch {
	case s.Run <= w.highest[s.Task]:
		out.Refused = cell.RefusedStale
		return out
	case s.Deadline < h.clock():
		out.Refused = cell.RefusedLate
		return out
	}
	w.deadline = max(w.deadline, s.Deadline)
	w.highest[s.Task] = s.Run
	r := &busyRun{number: s.Run, start: time.Now()}
	if takes := h.runTimeOf(s.Task); takes > 0 {
		r.due = r.start.Add(takes)
	}
	w.running[s.Task] = r
	h.history[s.Task] = append(h.history[s.Task], r)
	select {
	case w.changed <- struct{}{}:
	default:
	}
	return out
}

func (h *busyHost) Stop(ctx context.Context, _ netip.AddrPort, s cell.SendStop, _ uint64) (time.Duration, error) {
	var clock time.Duration
	_, answered := h.call(ctx, h.costs.stop, func() {
		h.workersMu.Lock()
		defer h.workersMu.Unlock()
		w := h.machines[s.Worker]
		h.advance(w)
		w.highest[s.Task] = max(w.highest[s.Task], s.Run)
		if r, there := w.running[s.Task]; there && r.number == s.Run {
			w.end(s.Task, time.Now(), cell.EndStopped)
		}
		clock = h.clock()
	})
	if !answered {
		return 0, fault.New("stop", rowstore.KindUnknown, "no answer")
	}
	return clock, nil
}

// fail ends up to n runs that have no end of their own, as programs that crash.
func (h *busyHost) fail(n int) {
	h.workersMu.Lock()
	defer h.workersMu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(h.machines)) {
		w := h.machines[id]
		h.advance(w)
		for _, task := range w.sortedRunning() {
			if w.running[task].due.IsZero() && n > 0 {
				w.end(task, time.Now(), cell.EndFailed)
				n--
			}
		}
	}
}

func (w *busyWorker) sortedRunning() []workload.TaskID {
	byName := func(a, b workload.TaskID) int {
		return cmp.Or(strings.Compare(string(a.Job), string(b.Job)), cmp.Compare(a.Index, b.Index))
	}
	return slices.SortedFunc(maps.Keys(w.running), byName)
}
