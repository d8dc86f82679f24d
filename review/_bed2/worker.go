package main

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sort"
	"sync"
	"time"
)

// behaviour is what a run does: it ends in a given way after a time, or lasts if the time
// is 0.
type behaviour struct {
	after time.Duration
	how   string
}

// worker stands in for a minion: one life of a machine.
type worker struct {
	id, machine string
	addr        netip.AddrPort
	bed         *bed
	born        time.Time
	server      *http.Server

	mu       sync.Mutex
	fence    uint64
	leaseEnd time.Time
	runs     map[string]*taskRun
	highest  map[string]int
	ends     []runEnd
	endCount int64
	endAdded chan struct{}
	seq      int
	crashed  bool
}

type taskRun struct {
	task    string
	number  int
	begun   time.Time
	does    behaviour
	timer   *time.Timer
	stopped bool
}

type runEnd struct {
	number int64
	task   string
	run    int
	how    string
}

const (
	holdMax     = 6 * time.Second
	stopTime    = 100 * time.Millisecond
	startupTime = 400 * time.Millisecond
	heartbeat   = 1500 * time.Millisecond
	cpuOfWorker = 32000
	memOfWorker = 65536
)

// startWorker starts a worker and returns it. It registers with the address at which the
// system reaches it, which may be that of a proxy.
func startWorker(b *bed, n int) (*worker, error) {
	listen, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{
		id: fmt.Sprintf("i-%08d", n), machine: fmt.Sprintf("m-%04d", n), bed: b, born: time.Now(),
		runs: make(map[string]*taskRun), highest: make(map[string]int), endAdded: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", w.start)
	mux.HandleFunc("POST /v1/run-stop", w.stop)
	mux.HandleFunc("POST /v1/hold", w.hold)
	mux.HandleFunc("POST /v1/pace", w.pace)
	w.server = &http.Server{Handler: mux}
	go func() { _ = w.server.Serve(listen) }()
	w.addr = netip.MustParseAddrPort(listen.Addr().String())
	return w, nil
}

// register writes the worker's entry in the store every heartbeat.
func (w *worker) register(at netip.AddrPort) {
	for {
		w.mu.Lock()
		w.seq++
		seq, crashed := w.seq, w.crashed
		w.mu.Unlock()
		if crashed {
			return
		}
		w.bed.store.put("servers", w.id, map[string]any{
			"service": service, "addr": at.String(), "zone": zone, "version": "v1", "slots": 8, "state": "ready",
			"cold_left_ms": 0, "seq": seq, "born": w.born.UnixMilli(), "machine": w.machine,
			"capacity": map[string]any{"cpu": cpuOfWorker, "mem_mb": memOfWorker, "gpu": 0},
			"labels":   []string{"a", fmt.Sprintf("r1-%d", (w.machineNumber()-1)/3+1)},
		})
		time.Sleep(heartbeat)
	}
}

// crash ends the worker: it neither answers nor registers any more.
func (w *worker) crash() {
	w.mu.Lock()
	w.crashed = true
	w.bed.note("%s crashes, with %d runs", w.id, len(w.runs))
	w.mu.Unlock()
	_ = w.server.Close()
}

func (w *worker) machineNumber() int {
	n := 0
	_, _ = fmt.Sscanf(w.machine, "m-%d", &n)
	return n
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() }

type orderBody struct {
	Task     string `msgpack:"task"`
	Run      int    `msgpack:"run_id"`
	Deadline int64  `msgpack:"deadline_ms"`
	Fence    uint64 `msgpack:"fencing_token"`
	LastSeen int64  `msgpack:"last_seen"`
	Wait     int64  `msgpack:"wait_ms"`
	Spec     string `msgpack:"spec"`
}

// admit decodes an order and checks for whom it is and its fence number. If it returns
// true, the lock is held.
func (w *worker) admit(rw http.ResponseWriter, r *http.Request) (orderBody, bool) {
	var o orderBody
	if !decode(rw, r, &o) {
		return o, false
	}
	if to := r.Header.Get("Expected-Instance"); to != "" && to != w.id {
		respond(rw, http.StatusMisdirectedRequest, map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli()})
		return o, false
	}
	w.mu.Lock()
	if o.Fence < w.fence {
		w.refuse(rw, "fence")
		return o, false
	}
	w.fence = o.Fence
	return o, true
}

// refuse answers an order that is not carried out, and releases the lock.
func (w *worker) refuse(rw http.ResponseWriter, reason string) {
	w.mu.Unlock()
	respond(rw, http.StatusConflict, map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli(), "reason": reason})
}

// accept answers an order that is carried out, and releases the lock.
func (w *worker) accept(rw http.ResponseWriter) {
	w.mu.Unlock()
	respond(rw, http.StatusOK, map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli()})
}

func (w *worker) start(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.admit(rw, r)
	if !ok {
		return
	}
	if known := w.runs[o.Task]; known != nil && known.number == o.Run {
		w.extend(o.Deadline)
		w.accept(rw)
		return
	}
	if o.Run <= w.highest[o.Task] {
		w.extend(o.Deadline)
		w.refuse(rw, "old")
		return
	}
	if o.Deadline <= w.clock() {
		w.refuse(rw, "late")
		return
	}
	w.extend(o.Deadline)
	w.highest[o.Task] = o.Run
	run := &taskRun{task: o.Task, number: o.Run, begun: time.Now(), does: w.bed.behaviour(w, o.Task, o.Run)}
	w.runs[o.Task] = run
	w.bed.note("%s begins %s run %d", w.id, o.Task, o.Run)
	w.bed.began(w, run)
	if run.does.after > 0 {
		run.timer = time.AfterFunc(run.does.after, func() { w.end(run, run.does.how) })
	}
	w.accept(rw)
}

// end ends a run, unless it has ended already.
func (w *worker) end(run *taskRun, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endLocked(run, how)
}

func (w *worker) endLocked(run *taskRun, how string) {
	if w.runs[run.task] != run {
		return
	}
	if run.timer != nil {
		run.timer.Stop()
	}
	delete(w.runs, run.task)
	w.endCount++
	w.ends = append(w.ends, runEnd{w.endCount, run.task, run.number, how})
	w.bed.note("%s ends %s run %d: %s", w.id, run.task, run.number, how)
	w.bed.ended(w, run)
	close(w.endAdded)
	w.endAdded = make(chan struct{})
}

func (w *worker) stop(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.admit(rw, r)
	if !ok {
		return
	}
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	if run := w.runs[o.Task]; run != nil && run.number <= o.Run && !run.stopped {
		run.stopped = true
		w.bed.note("%s is told to stop %s run %d", w.id, o.Task, o.Run)
		time.AfterFunc(stopTime, func() { w.end(run, "stopped") })
	}
	w.accept(rw)
}

func (w *worker) pace(rw http.ResponseWriter, r *http.Request) {
	if _, ok := w.admit(rw, r); ok {
		w.accept(rw)
	}
}

// extend moves the end of the lease. It never moves back. The caller holds the lock.
func (w *worker) extend(deadline int64) {
	end := w.born.Add(time.Duration(deadline) * time.Millisecond)
	if latest := time.Now().Add(holdMax); end.After(latest) {
		end = latest
	}
	if !end.After(w.leaseEnd) {
		return
	}
	w.leaseEnd = end
	time.AfterFunc(time.Until(end), w.lapse)
}

// lapse ends all runs if the lease has ended.
func (w *worker) lapse() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Now().Before(w.leaseEnd) {
		return
	}
	w.bed.note("%s: the lease has ended, with %d runs", w.id, len(w.runs))
	for _, run := range w.runs {
		w.endLocked(run, "lapsed")
	}
}

func (w *worker) hold(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.admit(rw, r)
	if !ok {
		return
	}
	if o.Deadline > 0 {
		w.extend(o.Deadline)
	}
	for len(w.ends) > 0 && w.ends[0].number <= o.LastSeen {
		e := w.ends[0]
		w.bed.note("%s: the end of %s run %d is taken note of", w.id, e.task, e.run)
		w.ends = w.ends[1:]
	}
	timeout := time.After(time.Duration(min(o.Wait, 2000)) * time.Millisecond)
	for waiting := o.Wait > 0; waiting && len(w.ends) == 0; {
		added := w.endAdded
		w.mu.Unlock()
		select {
		case <-added:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
		w.mu.Lock()
	}
	body := w.report()
	w.mu.Unlock()
	respond(rw, http.StatusOK, body)
}

// report returns the answer to a hold. The caller holds the lock.
func (w *worker) report() map[string]any {
	running, finished := []any{}, []any{}
	tasks := make([]string, 0, len(w.runs))
	for task := range w.runs {
		tasks = append(tasks, task)
	}
	sort.Strings(tasks)
	for _, task := range tasks {
		run := w.runs[task]
		whole := run.does.after
		if whole == 0 {
			whole = startupTime
		}
		percent := min(100, int64(100*time.Since(run.begun)/whole))
		if run.does.after > 0 {
			percent = min(percent, 99)
		}
		running = append(running, []any{task, run.number, "", percent, 0})
	}
	for _, e := range w.ends[:min(len(w.ends), 500)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	return map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli(), "running": running, "finished": finished}
}

// has reports whether the worker runs a task.
func (w *worker) has(task string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[task] != nil
}
