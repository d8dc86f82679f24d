package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/credential"
	"cicadabarrow.example/cicadabarrow/internal/demo"
	"cicadabarrow.example/cicadabarrow/internal/platform"
	"cicadabarrow.example/cicadabarrow/internal/processtest"
	"cicadabarrow.example/cicadabarrow/internal/standin"
	"cicadabarrow.example/cicadabarrow/internal/timer"
)

const (
	// runVariable makes the test binary run as the product's own binary.
	runVariable    = "CICADABARROW_RUN"
	operatorKey    = "soak-operator-key-0001"
	healthInterval = 100 * time.Millisecond
	healthTimeout  = 500 * time.Millisecond
	balancerGrace  = time.Second
)

func TestMain(m *testing.M) {
	if os.Getenv(runVariable) != "" {
		main()
	}
	processtest.RunSpinner()
	os.Exit(m.Run())
}

// entryProcess is an entry host that runs as a child process of the test.
type entryProcess struct {
	processtest.Process
	host     platform.Host
	url      string
	settings string
	healthy  bool
	// stopping is set before the test ends the process.
	stopping atomic.Bool
}

// fleet holds the entry hosts of a deployment of internal/standin, which run as
// processes of the command serve. It also stands in for the platform's balancer:
// it picks the hosts whose health page reports that they are healthy.
type fleet struct {
	t          *testing.T
	deployment *standin.Deployment
	dir        string

	mu        sync.Mutex
	processes []*entryProcess
}

// newFleet starts the stand-in platform in the test's process and perCentre hosts
// of each data centre as processes, and waits until all hosts are healthy.
func newFleet(t *testing.T, d *standin.Deployment, perCentre int) *fleet {
	f := &fleet{t: t, deployment: d, dir: t.TempDir()}
	listen, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := standin.NewServer(d, listen, zap.NewNop())
	t.Cleanup(server.Close)
	var hosts []platform.Host
	for _, dc := range d.DataCentres {
		for n := range perCentre {
			hosts = append(hosts, platform.Host{
				Name: fmt.Sprintf("%s-%d", dc.Name, n+1), DataCentre: dc.Name, Addr: processtest.FreeAddr(t),
			})
		}
	}
	if err := d.SetEntryHosts(hosts); err != nil {
		t.Fatal(err)
	}
	d.SetServerAddr(netip.MustParseAddrPort(listen.Addr().String()))
	f.write("keys.json", []map[string]string{
		{"Name": "operator", "Role": "Operator", "HashSHA256": credential.Hash(operatorKey)},
	})
	for _, h := range d.EntryHosts {
		f.add(h, "http://"+listen.Addr().String())
	}
	ctx, cancel := context.WithCancel(context.Background())
	var watch sync.WaitGroup
	watch.Go(func() { f.watchHealth(ctx) })
	t.Cleanup(func() {
		cancel()
		watch.Wait()
		for _, p := range f.processes {
			p.stopping.Store(true)
			p.Kill()
		}
	})
	f.await("all hosts are healthy", func() bool { return len(f.Up("")) == len(hosts) })
	return f
}

func (f *fleet) write(name string, v any) string {
	path := filepath.Join(f.dir, name)
	data, err := json.Marshal(v)
	if err == nil {
		err = os.WriteFile(path, data, 0o600)
	}
	if err != nil {
		f.t.Fatal(err)
	}
	return path
}

func (f *fleet) add(h platform.Host, base string) {
	at := processtest.FreeAddr(f.t).String()
	p := &entryProcess{host: h, url: "http://" + at}
	p.Name, p.LogFile = h.Name, filepath.Join(f.dir, h.Name+".log")
	p.OnExit = func(state *os.ProcessState) {
		if !p.stopping.Load() {
			f.t.Errorf("%s ended by itself, %v; its log ends with:\n%s", p.Name, state, p.LogTail())
		}
	}
	p.settings = f.write(h.Name+".json", map[string]any{
		"Name": h.Name, "Region": h.Region, "DataCentre": h.DataCentre,
		"PeerAddr": h.Addr.String(), "HTTPAddr": at,
		"Platform":      map[string]string{"TableURL": base, "ObjectsURL": base, "HostsURL": base},
		"KeysFile":      filepath.Join(f.dir, "keys.json"),
		"Limits":        map[string]string{"MaxDeadline": "10s", "DefaultDeadline": "2s"},
		"BalancerGrace": balancerGrace.String(),
	})
	f.processes = append(f.processes, p)
	f.start(p)
}

// start runs the test binary with runVariable set, so that it acts as the
// product's binary. The test fails if the process ends by itself.
func (f *fleet) start(p *entryProcess) {
	binary, err := os.Executable()
	if err != nil {
		f.t.Fatal(err)
	}
	p.stopping.Store(false)
	p.Start(f.t, binary, []string{"serve", "--settings", p.settings}, runVariable+"=1")
}

// killAndRestart kills a process and restarts it, as a supervisor does.
func (f *fleet) killAndRestart(p *entryProcess) {
	p.stopping.Store(true)
	p.Signal(f.t, syscall.SIGKILL)
	<-p.Exited
	f.start(p)
}

// terminate stops a process gracefully and checks its exit status.
func (f *fleet) terminate(p *entryProcess) {
	p.stopping.Store(true)
	p.Signal(f.t, syscall.SIGTERM)
	select {
	case <-p.Exited:
	case <-time.After(processtest.ConditionTimeout):
		f.t.Errorf("%s still runs %v after SIGTERM", p.host.Name, processtest.ConditionTimeout)
		return
	}
	if code := p.Cmd.ProcessState.ExitCode(); code != 0 {
		f.t.Errorf("%s ended with status %d after SIGTERM: %s", p.host.Name, code, p.LogTail())
	}
}

// countLogged returns how often a text occurs in the log of a process.
func (p *entryProcess) countLogged(text string) int { return strings.Count(p.Log(), text) }

// watchHealth polls the health pages, as the platform's balancer does, until the
// context ends.
func (f *fleet) watchHealth(ctx context.Context) {
	client := &http.Client{Timeout: healthTimeout}
	var checks sync.WaitGroup
	defer checks.Wait()
	for _, p := range f.processes {
		checks.Go(func() {
			for ctx.Err() == nil {
				resp, err := client.Get(p.url + "/health")
				healthy := err == nil && resp.StatusCode == http.StatusOK
				if err == nil {
					_ = resp.Body.Close()
				}
				f.mu.Lock()
				p.healthy = healthy
				f.mu.Unlock()
				wait(ctx, healthInterval)
			}
		})
	}
}

// Up returns the healthy hosts of a data centre, or of all if it is empty.
func (f *fleet) Up(dataCentre string) []demo.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []demo.Member
	for _, p := range f.processes {
		if p.healthy && (dataCentre == "" || p.host.DataCentre == dataCentre) {
			out = append(out, demo.Member{Host: p.host, URL: p.url})
		}
	}
	return out
}

// await waits until a condition holds and fails the test after processtest.ConditionTimeout.
func (f *fleet) await(what string, reached func() bool) {
	f.t.Helper()
	for end := time.Now().Add(processtest.ConditionTimeout); !reached(); wait(f.t.Context(), healthInterval) {
		if time.Now().After(end) {
			for _, p := range f.processes {
				f.t.Logf("the log of %s ends with:\n%s", p.host.Name, p.LogTail())
			}
			f.t.Fatalf("timed out after %v waiting until %s", processtest.ConditionTimeout, what)
		}
	}
}

func wait(ctx context.Context, d time.Duration) {
	sub := timer.NewSystem().After(d)
	defer sub.Stop()
	select {
	case <-sub.C:
	case <-ctx.Done():
	}
}
