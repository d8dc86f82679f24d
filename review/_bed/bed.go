package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"cicadabarrow.example/cicadabarrow/platform/standin"
)

const (
	service   = standin.Service
	queueHost = "queue.example"
	queuePath = "/jobs/"
	heartbeat = 1500 * time.Millisecond
	// callTimeout is how long a client waits for an answer.
	callTimeout = 3 * time.Second
)

// Exit statuses of a case.
const (
	statusHeld       = 0
	statusBroken     = 1
	statusImpossible = 2
)

// bed is a small deployment: hosts as separate processes, and stand-ins for the platform,
// the minions and the clients.
type bed struct {
	began    time.Time
	dir      string
	platform *standin.Platform
	minions  []*minion
	hosts    []*host
	trouble  bool
	// cutOnly is set if the case with two disruptions plays the partition alone.
	cutOnly bool

	mu     sync.Mutex
	out    *os.File
	broken []string
	starts []start
	ends   []taskEnd
	// at has the minion on which a run of a task is at work.
	at map[string]*minion
	// countTwice is set if the case is about tasks that run twice.
	countTwice bool
}

// start is a start that a minion has accepted.
type start struct {
	at     time.Time
	minion *minion
	kind   string
	task   string
	run    int
}

// taskEnd is the end of a run on a minion.
type taskEnd struct {
	task string
	run  int
	how  string
}

// host is an entry host that runs as a process.
type host struct {
	name, client, health string
	file, log            string
	cmd                  *exec.Cmd
}

// newBed starts the platform. The record is written to the folder of the case.
func newBed(folder string) *bed {
	out, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(statusImpossible)
	}
	dir, err := os.MkdirTemp("", "bed")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(statusImpossible)
	}
	b := &bed{began: time.Now(), dir: dir, platform: standin.New(0), trouble: os.Getenv("TROUBLE") != "0", cutOnly: os.Getenv("TROUBLE") == "cut", out: out, at: make(map[string]*minion)}
	b.platform.SetManifest(1, queueHost)
	return b
}

// record writes a line to the record.
func (b *bed) record(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.write(format, args...)
}

// write writes a line. The caller holds the lock.
func (b *bed) write(format string, args ...any) {
	_, _ = fmt.Fprintf(b.out, "%8.3f  %s\n", time.Since(b.began).Seconds(), fmt.Sprintf(format, args...))
}

// breaks records that a rule is broken.
func (b *bed) breaks(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	line := fmt.Sprintf(format, args...)
	b.broken = append(b.broken, line)
	b.write("BROKEN: %s", line)
}

// started records a start that a minion has accepted.
func (b *bed) started(m *minion, r *run) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if other := b.at[r.task]; other != nil && other != m {
		line := fmt.Sprintf("TWICE: %s run %d starts on minion %s while a run of it is at work on minion %s", r.task, r.number, m.id, other.id)
		if b.countTwice {
			b.broken = append(b.broken, line)
		}
		b.write("BROKEN: %s", line)
	}
	b.at[r.task] = m
	b.starts = append(b.starts, start{time.Now(), m, m.kind, r.task, r.number})
	b.write("minion %s (%s, born %d) starts %s run %d", m.id, m.kind, m.born.UnixMilli(), r.task, r.number)
}

// lost notes that a run has ended with its minion.
func (b *bed) lost(m *minion, r *run) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.at[r.task] == m {
		delete(b.at, r.task)
	}
}

func (b *bed) ended(m *minion, r *run, how string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.at[r.task] == m {
		delete(b.at, r.task)
	}
	b.ends = append(b.ends, taskEnd{r.task, r.number, how})
	b.write("minion %s: %s run %d ends %s", m.id, r.task, r.number, how)
}

// startsOf returns the starts so far.
func (b *bed) startsSoFar() []start {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]start(nil), b.starts...)
}

// endsAs counts the ends of the tasks of a job.
func (b *bed) endsAs(job, how string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, e := range b.ends {
		if e.task[:len(job)] == job && e.how == how {
			n++
		}
	}
	return n
}

// impossible ends the case, which could not run.
func (b *bed) impossible(format string, args ...any) {
	b.record("the case could not run: "+format, args...)
	fmt.Fprintf(os.Stderr, "the case could not run: "+format+"\n", args...)
	b.close()
	os.Exit(statusImpossible)
}

// finish ends all processes and returns the exit status.
func (b *bed) finish() int {
	b.close()
	if len(b.broken) > 0 {
		fmt.Printf("broken: %s (%d in all)\n", b.broken[0], len(b.broken))
		return statusBroken
	}
	b.record("the rule held")
	fmt.Println("held")
	return statusHeld
}

func (b *bed) close() {
	for _, h := range b.hosts {
		if h.cmd != nil && h.cmd.Process != nil {
			_ = h.cmd.Process.Kill()
			_ = h.cmd.Wait()
		}
	}
	for _, m := range b.minions {
		m.mu.Lock()
		up, server := m.up, m.server
		m.up = false
		m.mu.Unlock()
		if up {
			_ = server.Close()
		}
	}
	b.platform.Close()
	_ = os.RemoveAll(b.dir)
}

// startHosts starts a number of hosts and waits until all are ready.
func (b *bed) startHosts(count int) {
	peers := make([]string, count)
	for i := range peers {
		peers[i] = freeAddr()
	}
	for i := range count {
		h := &host{name: fmt.Sprintf("kita-hakata-%d", i+1), client: freeAddr(), health: freeAddr()}
		h.file, h.log = filepath.Join(b.dir, h.name+".json"), filepath.Join(b.dir, h.name+".log")
		settings, err := json.Marshal(map[string]any{
			"Name": h.name, "Region": "kita", "DataCentre": "kita-hakata", "PeerAddr": peers[i], "Seeds": peers,
			"ClientAddr": h.client, "HealthAddr": h.health, "StoreAddr": b.platform.StoreAddr().String(),
			"AdviceAddr": b.platform.AdviceAddr().String(), "MemoryMB": 284, "ProcessorShare": 0.4, "LinkMbps": 1000.0, "Fenced": true,
			"Bounds": map[string]any{"MaxLease": "6s", "StopGrace": "6s", "KeepEnded": "120s"}, "LogLevel": "info",
		})
		if err == nil {
			err = os.WriteFile(h.file, settings, 0o600)
		}
		if err != nil {
			b.impossible("settings: %v", err)
		}
		b.hosts = append(b.hosts, h)
		b.startHost(h)
	}
	for _, h := range b.hosts {
		b.await("host "+h.name+" is ready", 20*time.Second, func() bool { return h.ready() })
	}
}

// startHost starts a host with the command of the deploy file.
func (b *bed) startHost(h *host) {
	log, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		b.impossible("log: %v", err)
	}
	defer func() { _ = log.Close() }()
	h.cmd = exec.Command("target/cicadabarrow", "host")
	h.cmd.Env = append(os.Environ(), "CICADABARROW_NODE_FILE="+h.file)
	h.cmd.Stdout, h.cmd.Stderr = log, log
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.cmd.Start(); err != nil {
		b.impossible("host: %v", err)
	}
}

func (h *host) ready() bool {
	resp, err := http.Get("http://" + h.health + "/v1/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// await waits until a condition holds. The case cannot run if it never does.
func (b *bed) await(what string, limit time.Duration, holds func() bool) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if holds() {
			return
		}
	}
	b.impossible("%s: not within %v", what, limit)
}

// call makes a call of a client at a host. It returns status 0 without an answer.
func (b *bed) call(at int, method, path string, body, into any) int {
	h := b.hosts[at%len(b.hosts)]
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var reader io.Reader
	if body != nil {
		reader = bytes.NewReader(encode(body))
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+h.client+queuePath+path, reader)
	if err != nil {
		b.impossible("request: %v", err)
	}
	req.Host = queueHost
	req.Header.Set("Content-Type", "application/msgpack")
	req.Header.Set("Deadline-Ms", fmt.Sprint(callTimeout.Milliseconds()))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		b.record("client: %s %s at %s: no answer: %v", method, path, h.name, err)
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		b.record("client: %s %s at %s: broken answer: %v", method, path, h.name, err)
		return 0
	}
	if into != nil && resp.StatusCode == http.StatusOK {
		if err := msgpack.Unmarshal(answer, into); err != nil {
			b.record("client: %s %s at %s: %v", method, path, h.name, err)
		}
	}
	return resp.StatusCode
}

// submit hands in a job and repeats that until it is accepted.
func (b *bed) submit(id, spec string, steps ...map[string]any) {
	for attempt := range 20 {
		status := b.call(attempt, http.MethodPost, id, map[string]any{"spec": spec, "steps": steps}, nil)
		b.record("client: submits %s: %d", id, status)
		if status == http.StatusOK {
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
	b.impossible("job %s is not accepted", id)
}

// state returns the state of a job, asking one host after the other, or "" without one.
func (b *bed) state(id string) string {
	var out struct {
		State string `msgpack:"state"`
	}
	for at := range 2 * len(b.hosts) {
		if b.call(at, http.MethodGet, id, nil, &out) == http.StatusOK {
			return out.State
		}
		time.Sleep(100 * time.Millisecond)
	}
	return ""
}

// listenIP is the address of all hosts and minions. Connections have another one as their
// source, so that they take none of the free ports.
const listenIP = "127.0.1.1"

var (
	usedMu sync.Mutex
	used   = make(map[string]bool)
)

// freeAddr returns a loopback address with a free port that was not returned before.
func freeAddr() string {
	usedMu.Lock()
	defer usedMu.Unlock()
	for {
		l, err := net.Listen("tcp", listenIP+":0")
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(statusImpossible)
		}
		addr := l.Addr().String()
		_ = l.Close()
		if !used[addr] {
			used[addr] = true
			return addr
		}
	}
}
