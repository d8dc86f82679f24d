package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"time"
)

const (
	zone     = "kita-hakata"
	region   = "kita"
	service  = "escrow-desk"
	hostName = "nony24.example"
	prefix   = "/lohu930/"
)

// bed is a small deployment: the system's processes, and stand-ins for the platform.
type bed struct {
	start   time.Time
	store   *store
	workers []*worker
	proxies []*proxy
	hosts   []*entryHost
	client  *http.Client

	mu     sync.Mutex
	record *bufio.Writer
	// behaves tells what the runs of tasks do.
	behaves func(w *worker, task string, run int) behaviour
	// running has the runs of each task, and starts when each task was started.
	running map[string]map[*taskRun]*worker
	starts  map[string][]time.Time
	// lastEnds has when the last run of each task ended.
	lastEnds map[string]time.Time
}

// note writes a line to the record, with the time since the start.
func (b *bed) note(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, _ = fmt.Fprintf(b.record, "%8.3f %s\n", time.Since(b.start).Seconds(), fmt.Sprintf(format, args...))
}

func (b *bed) behaviour(w *worker, task string, run int) behaviour {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.behaves(w, task, run)
}

func (b *bed) began(w *worker, run *taskRun) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.running[run.task] == nil {
		b.running[run.task] = make(map[*taskRun]*worker)
	}
	b.running[run.task][run] = w
	b.starts[run.task] = append(b.starts[run.task], time.Now())
}

func (b *bed) ended(_ *worker, run *taskRun) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.running[run.task], run)
	b.lastEnds[run.task] = time.Now()
}

// runsOf returns the workers that run a task now.
func (b *bed) runsOf(task string) []*worker {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []*worker
	for _, w := range b.running[task] {
		out = append(out, w)
	}
	return out
}

// startsOf returns when a task was started.
func (b *bed) startsOf(task string) []time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]time.Time(nil), b.starts[task]...)
}

// newBed starts the stand-ins and the hosts, and waits until the hosts are ready.
func newBed(dir, recordFile string, hosts, workers int) (*bed, error) {
	file, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	b := &bed{
		start: time.Now(), store: newStore(), record: bufio.NewWriter(file), running: make(map[string]map[*taskRun]*worker),
		starts: make(map[string][]time.Time), lastEnds: make(map[string]time.Time), client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
	storeAddr, err := serve(b.store.handler())
	if err != nil {
		return nil, err
	}
	// No queue needs advice, and there is no wave: nothing but the port is needed.
	otherAddr, err := serve(http.NotFoundHandler())
	if err != nil {
		return nil, err
	}
	b.store.put("op", "config", manifest(1))
	for n := range workers {
		w, err := startWorker(b, n+1)
		if err != nil {
			return nil, err
		}
		p, err := startProxy(w.addr)
		if err != nil {
			return nil, err
		}
		b.workers, b.proxies = append(b.workers, w), append(b.proxies, p)
		go w.register(p.addr)
	}
	if b.hosts, err = newHosts(dir, hosts, storeAddr, otherAddr); err != nil {
		return nil, err
	}
	for _, h := range b.hosts {
		if err := h.startProcess(); err != nil {
			return b, err
		}
	}
	for _, h := range b.hosts {
		if err := h.awaitReady(15 * time.Second); err != nil {
			return b, err
		}
	}
	b.note("all %d hosts are ready", len(b.hosts))
	return b, nil
}

// close ends all processes and completes the record.
func (b *bed) close() {
	for _, h := range b.hosts {
		h.end()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	_ = b.record.Flush()
}

func serve(h http.Handler) (netip.AddrPort, error) {
	listen, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	go func() { _ = http.Serve(listen, h) }()
	return netip.ParseAddrPort(listen.Addr().String())
}

// manifest returns a manifest with one queue.
func manifest(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "deposit", "host": hostName, "path_prefix": prefix, "service": service, "priority": 0, "max_attempts": 3,
			"slack_factor": 2.0, "target_latency_ms": 1000, "timeout_ms": 3000, "kind": "non_idempotent",
		}},
		"services": []any{map[string]any{"name": service, "admission_check": false}},
		"limits":   map[string]any{"max_body_bytes": 262144},
	}
}
