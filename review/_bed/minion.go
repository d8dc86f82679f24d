package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// maxHold is the longest lease that a minion grants (hold_max_ms).
const maxHold = 6 * time.Second

// startup is how long a task that lasts takes until it is at work.
const startup = 300 * time.Millisecond

// minion is a stand-in for one machine of a service, which runs one minion at a time.
type minion struct {
	bed     *bed
	id      string
	machine string
	addr    string
	rack    string
	cpu     int64

	mu     sync.Mutex
	kind   string
	born   time.Time
	up     bool
	server *http.Server
	fence  uint64
	lease  time.Time
	runs   map[string]*run
	// barred has, for each task, the highest run that was stopped or has ended.
	barred  map[string]int
	ends    []end
	numbers int64
	added   chan struct{}
	seq     int
	// cut is closed when the partition that the minion is behind has healed; nil without one.
	cut chan struct{}
}

// run is a run of a task on a minion.
type run struct {
	task   string
	number int
	began  time.Time
	work   time.Duration
	lasts  bool
	timer  *time.Timer
}

type end struct {
	number int64
	task   string
	run    int
	how    string
}

// percent returns the progress of a run.
func (r *run) percent() int {
	if r.lasts {
		return int(min(100, 100*time.Since(r.began)/startup))
	}
	return int(min(99, 100*time.Since(r.began)/r.work))
}

func newMinion(b *bed, number int, kind string, cpu int64) *minion {
	m := &minion{
		bed: b, id: fmt.Sprintf("i-%010d", number), machine: fmt.Sprintf("m-%05d", number), addr: freeAddr(),
		rack: fmt.Sprintf("r1-%d", number/8+1), cpu: cpu, kind: kind, added: make(chan struct{}),
	}
	m.start()
	return m
}

// start begins an incarnation. It registers before it takes calls.
func (m *minion) start() {
	m.mu.Lock()
	m.begin()
	born := m.born
	m.mu.Unlock()
	m.register()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", m.handle(m.runStart))
	mux.HandleFunc("POST /v1/run-stop", m.handle(m.runStop))
	mux.HandleFunc("POST /v1/pace", m.handle(func(request) (int, map[string]any) { return http.StatusOK, m.answer() }))
	mux.HandleFunc("POST /v1/hold", m.hold)
	var listen net.Listener
	m.bed.await("minion "+m.id+" listens", 5*time.Second, func() (ok bool) {
		var err error
		listen, err = net.Listen("tcp", m.addr)
		return err == nil
	})
	server := &http.Server{Handler: mux}
	m.mu.Lock()
	m.server = server
	m.mu.Unlock()
	go func() { _ = server.Serve(listen) }()
	go m.beat(born)
}

// begin forgets the earlier incarnation. The caller holds the lock.
func (m *minion) begin() {
	m.born, m.up = time.Now(), true
	m.fence, m.lease, m.numbers, m.ends, m.seq = 0, time.Time{}, 0, nil, 0
	m.runs, m.barred = make(map[string]*run), make(map[string]int)
}

// restartUnseen crashes a minion behind a partition, which starts again at once.
func (m *minion) restartUnseen() {
	m.mu.Lock()
	m.bed.record("minion %s crashes behind the partition with %d runs, and starts again", m.id, len(m.runs))
	for _, r := range m.runs {
		r.timer.Stop()
		m.bed.lost(m, r)
	}
	m.begin()
	born := m.born
	m.mu.Unlock()
	m.register()
	go m.beat(born)
}

// crash ends an incarnation without a word: its port refuses connections.
func (m *minion) crash() {
	m.mu.Lock()
	m.up = false
	server := m.server
	for task, r := range m.runs {
		r.timer.Stop()
		m.bed.lost(m, r)
		m.bed.record("minion %s crashes under %s run %d", m.id, task, r.number)
	}
	m.runs = make(map[string]*run)
	m.mu.Unlock()
	_ = server.Close()
}

// register writes the entry of the minion.
func (m *minion) register() {
	m.mu.Lock()
	m.seq++
	entry := map[string]any{
		"service": service, "addr": m.addr, "zone": "kita-hakata", "version": "v1", "slots": 8, "state": "ready",
		"cold_left_ms": 0, "seq": m.seq, "born": m.born.UnixMilli(), "machine": m.machine,
		"capacity": map[string]any{"cpu": m.cpu, "mem_mb": 65536, "gpu": 0}, "labels": []string{m.kind, m.rack},
	}
	m.mu.Unlock()
	m.bed.platform.Store.Put("servers", "", m.id, encode(entry))
}

// beat renews the entry until the incarnation ends.
func (m *minion) beat(born time.Time) {
	for {
		time.Sleep(heartbeat)
		m.mu.Lock()
		same := m.up && m.born.Equal(born)
		m.mu.Unlock()
		if !same {
			return
		}
		m.register()
	}
}

// request has the fields of all calls.
type request struct {
	Task     string `msgpack:"task"`
	Run      int    `msgpack:"run_id"`
	Spec     string `msgpack:"spec"`
	Deadline int64  `msgpack:"deadline_ms"`
	Fence    uint64 `msgpack:"fencing_token"`
	LastSeen int64  `msgpack:"last_seen"`
	WaitMs   int64  `msgpack:"wait_ms"`
}

// read decodes a call and checks for whom it is and its fence. The caller holds no lock.
func (m *minion) read(w http.ResponseWriter, r *http.Request) (request, bool) {
	var in request
	if err := msgpack.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return in, false
	}
	m.mu.Lock()
	born := m.born
	m.mu.Unlock()
	if !m.reachable(r) {
		panic(http.ErrAbortHandler)
	}
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != m.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return in, false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.up || !m.born.Equal(born) {
		panic(http.ErrAbortHandler)
	}
	if in.Fence < m.fence {
		respond(w, http.StatusConflict, m.refusal("fence"))
		return in, false
	}
	m.fence = in.Fence
	if in.Deadline > 0 {
		m.extend(in.Deadline)
	}
	return in, true
}

// cutOff puts the minion behind a partition for a while: it runs on and answers no call.
func (m *minion) cutOff(d time.Duration) {
	m.mu.Lock()
	cut := make(chan struct{})
	m.cut = cut
	m.mu.Unlock()
	m.bed.record("minion %s is cut off for %v and runs on", m.id, d)
	time.AfterFunc(d, func() {
		m.mu.Lock()
		m.cut = nil
		m.mu.Unlock()
		close(cut)
		m.bed.record("minion %s is reached again", m.id)
	})
}

// reachable waits until no partition holds up a call. It returns false if the caller gives
// up before that.
func (m *minion) reachable(r *http.Request) bool {
	m.mu.Lock()
	cut := m.cut
	m.mu.Unlock()
	if cut == nil {
		return true
	}
	select {
	case <-cut:
		return r.Context().Err() == nil
	case <-r.Context().Done():
		return false
	}
}

// handle serves a call that is answered at once.
func (m *minion) handle(serve func(request) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		in, ok := m.read(w, r)
		if !ok {
			return
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		status, body := serve(in)
		respond(w, status, body)
	}
}

func (m *minion) clock() int64 { return time.Since(m.born).Milliseconds() }

func (m *minion) answer() map[string]any {
	return map[string]any{"clock_ms": m.clock(), "born": m.born.UnixMilli()}
}

func (m *minion) refusal(reason string) map[string]any {
	body := m.answer()
	body["reason"] = reason
	return body
}

// extend moves the end of the lease, which covers all that runs.
func (m *minion) extend(deadline int64) {
	until := m.born.Add(time.Duration(deadline) * time.Millisecond)
	if longest := time.Now().Add(maxHold); until.After(longest) {
		until = longest
	}
	if !until.After(m.lease) {
		return
	}
	m.lease = until
	born := m.born
	time.AfterFunc(time.Until(until), func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if !m.up || !m.born.Equal(born) || time.Now().Before(m.lease) {
			return
		}
		for _, r := range m.runs {
			m.finish(r, "lapsed")
		}
	})
}

// runStart starts a run. A service without an admission check starts whatever it is told.
func (m *minion) runStart(in request) (int, map[string]any) {
	if known, ok := m.runs[in.Task]; ok && known.number == in.Run {
		return http.StatusOK, m.answer()
	}
	switch {
	case in.Run <= m.barred[in.Task] || m.runs[in.Task] != nil && in.Run <= m.runs[in.Task].number:
		return http.StatusConflict, m.refusal("old")
	case in.Deadline <= m.clock():
		return http.StatusConflict, m.refusal("late")
	}
	r := &run{task: in.Task, number: in.Run, began: time.Now(), work: 24 * time.Hour, lasts: strings.HasPrefix(in.Spec, "last")}
	if !r.lasts {
		work, err := time.ParseDuration(in.Spec)
		if err != nil {
			return http.StatusBadRequest, m.refusal("spec")
		}
		r.work = work
	}
	m.runs[in.Task] = r
	r.timer = time.AfterFunc(r.work, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.finish(r, "done")
	})
	m.bed.started(m, r)
	return http.StatusOK, m.answer()
}

func (m *minion) runStop(in request) (int, map[string]any) {
	m.barred[in.Task] = max(m.barred[in.Task], in.Run)
	if r, ok := m.runs[in.Task]; ok && r.number <= in.Run {
		m.finish(r, "stopped")
	}
	return http.StatusOK, m.answer()
}

// finish ends a run. The caller holds the lock.
func (m *minion) finish(r *run, how string) {
	if m.runs[r.task] != r {
		return
	}
	r.timer.Stop()
	delete(m.runs, r.task)
	m.barred[r.task] = max(m.barred[r.task], r.number)
	m.numbers++
	m.ends = append(m.ends, end{m.numbers, r.task, r.number, how})
	m.bed.ended(m, r, how)
	close(m.added)
	m.added = make(chan struct{})
}

// hold renews the lease and lists what runs and what has ended.
func (m *minion) hold(w http.ResponseWriter, r *http.Request) {
	in, ok := m.read(w, r)
	if !ok {
		return
	}
	m.mu.Lock()
	born := m.born
	for len(m.ends) > 0 && m.ends[0].number <= in.LastSeen {
		m.ends = m.ends[1:]
	}
	until := time.After(time.Duration(min(in.WaitMs, 2000)) * time.Millisecond)
	for waiting := in.WaitMs > 0; waiting && len(m.ends) == 0; {
		added := m.added
		m.mu.Unlock()
		select {
		case <-added:
		case <-until:
			waiting = false
		case <-r.Context().Done():
			return
		}
		m.mu.Lock()
	}
	m.mu.Unlock()
	passed := m.reachable(r)
	m.mu.Lock()
	defer m.mu.Unlock()
	if !passed || !m.up || !m.born.Equal(born) {
		panic(http.ErrAbortHandler)
	}
	running, finished := []any{}, []any{}
	for _, r := range m.runs {
		running = append(running, []any{r.task, r.number, "", r.percent(), 0})
	}
	for _, e := range m.ends[:min(len(m.ends), 500)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	body := m.answer()
	body["running"], body["finished"] = running, finished
	respond(w, http.StatusOK, body)
}

func respond(w http.ResponseWriter, status int, body map[string]any) {
	w.Header().Set("Content-Type", "application/msgpack")
	w.WriteHeader(status)
	_, _ = w.Write(encode(body))
}

func encode(v any) []byte {
	out, err := msgpack.Marshal(v)
	if err != nil {
		panic(err) // only values of this program are encoded
	}
	return out
}
