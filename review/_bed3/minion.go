package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	serviceName      = "escrow-desk"
	minionMilliCores = 32000
	minionMemoryMB   = 65536
	heartbeat        = 1500 * time.Millisecond
	maxLease         = 6 * time.Second
	// startUp is how long a task that lasts needs until it is at work.
	startUp = 500 * time.Millisecond
)

// minion is a stand-in for a worker. The spec of a task says how long its runs take, or
// "last" for a task that lasts.
type minion struct {
	id      string
	machine string
	addr    netip.AddrPort
	store   *rowStore
	record  *record
	ends    *ledgerOfEnds

	mu       sync.Mutex
	server   *http.Server
	up       bool
	born     time.Time
	seq      int64
	fence    uint64
	leaseEnd time.Time
	runs     map[string]*minionRun
	highest  map[string]int
	finished []minionEnd
	endCount int64
	endAdded chan struct{}
}

type minionRun struct {
	number   int
	begin    time.Time
	duration time.Duration
	lasts    bool
	timer    *time.Timer
}

type minionEnd struct {
	number int64
	task   string
	run    int
	how    string
}

// ledgerOfEnds counts the ends of all minions by how they ended, and the starts.
type ledgerOfEnds struct {
	mu     sync.Mutex
	how    map[string]int
	starts map[string]int
}

func newLedgerOfEnds() *ledgerOfEnds {
	return &ledgerOfEnds{how: make(map[string]int), starts: make(map[string]int)}
}

func (l *ledgerOfEnds) ended(job, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.how[job+" "+how]++
}

func (l *ledgerOfEnds) started(task string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.starts[task]++
}

// count returns how many runs of a job have ended in one way.
func (l *ledgerOfEnds) count(job, how string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.how[job+" "+how]
}

func newMinion(id string, store *rowStore, r *record, ends *ledgerOfEnds) (*minion, error) {
	addr, err := freeAddr()
	if err != nil {
		return nil, err
	}
	return &minion{id: id, machine: "m-" + id, addr: addr, store: store, record: r, ends: ends}, nil
}

// start begins a life of the minion, which knows nothing of the one before.
func (m *minion) start() error {
	listen, err := net.Listen("tcp", m.addr.String())
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", m.handleStart)
	mux.HandleFunc("POST /v1/run-stop", m.handleStop)
	mux.HandleFunc("POST /v1/hold", m.handleHold)
	mux.HandleFunc("POST /v1/pace", m.handlePace)
	m.mu.Lock()
	m.born, m.seq, m.fence, m.leaseEnd, m.up = time.Now(), 0, 0, time.Time{}, true
	m.runs, m.highest = make(map[string]*minionRun), make(map[string]int)
	m.finished, m.endCount, m.endAdded = nil, 0, make(chan struct{})
	m.server = &http.Server{Handler: mux}
	server, born := m.server, m.born
	m.mu.Unlock()
	go func() { _ = server.Serve(listen) }()
	go m.beat(born)
	m.record.add("%s is up, born %d", m.id, born.UnixMilli())
	return nil
}

// crash ends the minion's process and all that runs on it. It sends nothing.
func (m *minion) crash() {
	m.mu.Lock()
	m.up = false
	server := m.server
	tasks := make([]string, 0, len(m.runs))
	for task, r := range m.runs {
		r.timer.Stop()
		tasks = append(tasks, fmt.Sprintf("%s run %d", task, r.number))
	}
	m.runs = make(map[string]*minionRun)
	m.mu.Unlock()
	_ = server.Close()
	m.record.add("%s crashes; with it end %s", m.id, strings.Join(tasks, ", "))
}

// beat registers the minion at its start and with each heartbeat of this life.
func (m *minion) beat(born time.Time) {
	for m.register(born) {
		time.Sleep(heartbeat)
	}
}

func (m *minion) register(born time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.up || m.born != born {
		return false
	}
	m.seq++
	m.store.put("servers", m.id, map[string]any{
		"service": serviceName, "addr": m.addr.String(), "zone": "dc-1", "version": "v1", "slots": 8, "state": "ready",
		"cold_left_ms": 0, "born": m.born.UnixMilli(), "machine": m.machine, "seq": m.seq,
		"capacity": map[string]any{"cpu": minionMilliCores, "mem_mb": minionMemoryMB, "gpu": 0}, "labels": []string{"a", "r1"},
	})
	return true
}

func encoded(v any) []byte {
	body, err := msgpack.Marshal(v)
	if err != nil {
		panic(err) // only values of this program are encoded
	}
	return body
}

type minionRequest struct {
	Task     string `msgpack:"task"`
	Run      int    `msgpack:"run_id"`
	Spec     string `msgpack:"spec"`
	Deadline int64  `msgpack:"deadline_ms"`
	Fence    uint64 `msgpack:"fencing_token"`
	LastSeen int64  `msgpack:"last_seen"`
	WaitMs   int64  `msgpack:"wait_ms"`
}

// admit decodes a request, takes the lock and checks the instance and the fence number. If
// it returns false, it has answered and the lock is free.
func (m *minion) admit(w http.ResponseWriter, r *http.Request) (minionRequest, bool) {
	var in minionRequest
	if err := msgpack.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return in, false
	}
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != m.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return in, false
	}
	m.mu.Lock()
	if !m.up {
		m.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if in.Fence < m.fence {
		m.answer(w, "fence")
		return in, false
	}
	m.fence = max(m.fence, in.Fence)
	return in, true
}

func (m *minion) clockMs() int64 { return time.Since(m.born).Milliseconds() }

// answer frees the lock and answers 200, or 409 with a reason.
func (m *minion) answer(w http.ResponseWriter, reason string) {
	body := map[string]any{"clock_ms": m.clockMs()}
	m.mu.Unlock()
	status := http.StatusOK
	if reason != "" {
		status, body["reason"] = http.StatusConflict, reason
	}
	respond(w, status, body)
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/msgpack")
	w.WriteHeader(status)
	_, _ = w.Write(encoded(body))
}

func (m *minion) handleStart(w http.ResponseWriter, r *http.Request) {
	in, ok := m.admit(w, r)
	if !ok {
		return
	}
	m.extendLease(in.Deadline)
	known, there := m.runs[in.Task]
	switch {
	case there && known.number == in.Run:
		m.answer(w, "")
	case in.Run <= m.highest[in.Task] || there:
		m.answer(w, "old")
	case in.Deadline <= m.clockMs():
		m.answer(w, "late")
	default:
		m.begin(in)
		m.answer(w, "")
	}
}

// begin starts a run. The caller holds the lock.
func (m *minion) begin(in minionRequest) {
	m.ends.started(in.Task)
	m.record.add("%s starts %s run %d", m.id, in.Task, in.Run)
	duration, err := time.ParseDuration(in.Spec)
	run := &minionRun{number: in.Run, begin: time.Now(), duration: duration, lasts: err != nil}
	if run.lasts {
		run.duration = time.Hour
	}
	m.runs[in.Task] = run
	run.timer = time.AfterFunc(run.duration, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.end(in.Task, run, "done")
	})
}

// end ends a run and lists its end. The caller holds the lock.
func (m *minion) end(task string, run *minionRun, how string) {
	if m.runs[task] != run {
		return
	}
	run.timer.Stop()
	delete(m.runs, task)
	m.highest[task] = max(m.highest[task], run.number)
	m.endCount++
	m.finished = append(m.finished, minionEnd{number: m.endCount, task: task, run: run.number, how: how})
	job, _, _ := strings.Cut(task, ".")
	m.ends.ended(job, how)
	m.record.add("%s lists %s run %d as %s", m.id, task, run.number, how)
	close(m.endAdded)
	m.endAdded = make(chan struct{})
}

func (m *minion) handleStop(w http.ResponseWriter, r *http.Request) {
	in, ok := m.admit(w, r)
	if !ok {
		return
	}
	m.highest[in.Task] = max(m.highest[in.Task], in.Run)
	if run, there := m.runs[in.Task]; there && run.number <= in.Run {
		m.end(in.Task, run, "stopped")
	}
	m.answer(w, "")
}

func (m *minion) handlePace(w http.ResponseWriter, r *http.Request) {
	if _, ok := m.admit(w, r); ok {
		m.answer(w, "")
	}
}

// extendLease moves the end of the lease. The caller holds the lock.
func (m *minion) extendLease(deadlineMs int64) {
	end := m.born.Add(time.Duration(deadlineMs) * time.Millisecond)
	if longest := time.Now().Add(maxLease); end.After(longest) {
		end = longest
	}
	if !end.After(m.leaseEnd) {
		return
	}
	m.leaseEnd = end
	born := m.born
	time.AfterFunc(time.Until(end), func() { m.expire(born) })
}

// expire ends all runs if the lease of a life has expired.
func (m *minion) expire(born time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.up || m.born != born || time.Now().Before(m.leaseEnd) {
		return
	}
	for task, run := range m.runs {
		m.end(task, run, "lapsed")
	}
}

func (m *minion) handleHold(w http.ResponseWriter, r *http.Request) {
	in, ok := m.admit(w, r)
	if !ok {
		return
	}
	if in.Deadline > 0 {
		m.extendLease(in.Deadline)
	}
	for len(m.finished) > 0 && m.finished[0].number <= in.LastSeen {
		m.finished = m.finished[1:]
	}
	born := m.born
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(in.WaitMs)*time.Millisecond)
	defer cancel()
	for len(m.finished) == 0 && ctx.Err() == nil {
		added := m.endAdded
		m.mu.Unlock()
		select {
		case <-added:
		case <-ctx.Done():
		}
		m.mu.Lock()
		if !m.up || m.born != born {
			m.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
	}
	running, finished := []any{}, []any{}
	for task, run := range m.runs {
		running = append(running, []any{task, run.number, "", run.percent(), 0})
	}
	for _, e := range m.finished {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	body := map[string]any{"clock_ms": m.clockMs(), "born": m.born.UnixMilli(), "running": running, "finished": finished}
	m.mu.Unlock()
	respond(w, http.StatusOK, body)
}

// percent returns the progress of a run as it is listed.
func (r *minionRun) percent() int {
	whole := r.duration
	if r.lasts {
		whole = startUp
	}
	return int(min(100, 100*time.Since(r.begin)/max(whole, 1)))
}
