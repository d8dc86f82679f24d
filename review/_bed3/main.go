// Command bed3 plays one case of the third review. It starts the product's hosts as
// processes beside stand-ins for the platform, and exits with 1 if a rule was broken, 0 if
// it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

const (
	ruleHeld    = 0
	ruleBroken  = 1
	couldNotRun = 2
)

// cases has the cases by name.
var cases = map[string]func(*bed) (int, error){
	"crash": runCrash,
}

// bed holds the processes and stand-ins of one case.
type bed struct {
	dir     string
	trouble bool
	record  *record
	ends    *ledgerOfEnds
	store   *rowStore
	minions []*minion
	hosts   []*entryHost
	asked   int
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: bed3 CASE RECORD")
		os.Exit(couldNotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// play plays a case in a temporary folder and returns the exit code.
func play(run func(*bed) (int, error), recordFile string) int {
	r, err := newRecord(recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	defer r.close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	b := &bed{dir: dir, trouble: os.Getenv("TROUBLE") != "0", record: r, ends: newLedgerOfEnds(), store: newRowStore()}
	defer b.store.close()
	defer b.end()
	r.add("trouble: %v", b.trouble)
	code, err := run(b)
	if err != nil {
		r.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
	}
	r.add("exit code %d", code)
	return code
}

// begin starts the minions and the hosts, and waits until all are ready.
func (b *bed) begin(hosts, minions int) error {
	b.store.put("op", "config", smallManifest(1))
	store, err := b.store.listen()
	if err != nil {
		return err
	}
	for i := range minions {
		m, err := newMinion(fmt.Sprintf("i-%04d", i+1), b.store, b.record, b.ends)
		if err != nil {
			return err
		}
		if err := m.start(); err != nil {
			return err
		}
		b.minions = append(b.minions, m)
	}
	b.hosts, err = newEntryHosts(b.dir, hosts, store, smallBounds)
	if err != nil {
		return err
	}
	for _, h := range b.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	if !awaitReady(b.hosts, 10*time.Second) {
		return fmt.Errorf("the hosts are not ready")
	}
	b.record.add("%d hosts are ready; their files are in %s", hosts, filepath.Base(b.dir))
	return nil
}

// end ends all processes.
func (b *bed) end() {
	for _, h := range b.hosts {
		h.kill()
	}
	for _, m := range b.minions {
		if m.server != nil {
			_ = m.server.Close()
		}
	}
}

// next returns the hosts in turn.
func (b *bed) next() *entryHost {
	b.asked++
	return b.hosts[b.asked%len(b.hosts)]
}

// submit submits a job, again at the next host if there is no success, as clients do.
func (b *bed) submit(path string, job any) bool {
	for range 20 {
		h := b.next()
		status, _ := h.call("POST", path, job, 3*time.Second)
		b.record.add("POST %s to %s: %d", path, h.name, status)
		if status == 200 {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// state asks a host for the state of a job; it is empty without an answer 200.
func (b *bed) state(path string) string {
	h := b.next()
	status, body := h.call("GET", path, nil, 3*time.Second)
	if status != 200 {
		b.record.add("GET %s at %s: %d", path, h.name, status)
		return ""
	}
	state, _ := body["state"].(string)
	return state
}

// running returns the number of tasks that run on all minions.
func (b *bed) running() int {
	n := 0
	for _, m := range b.minions {
		m.mu.Lock()
		n += len(m.runs)
		m.mu.Unlock()
	}
	return n
}

// awaitRunning waits until a number of tasks run.
func (b *bed) awaitRunning(n int, within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if b.running() >= n {
			return true
		}
	}
	return false
}

// smallManifest returns a manifest with one queue, which needs no advice.
func smallManifest(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "plain", "host": queueHost, "path_prefix": plainQueue, "kind": "non_idempotent", "service": serviceName, "priority": 1,
			"max_attempts": 3, "slack_factor": 2.2, "target_latency_ms": 3000, "timeout_ms": 3000,
		}},
		"services": []any{map[string]any{"name": serviceName, "health_path": "/healthz", "max_conns": 64, "admission_check": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}
