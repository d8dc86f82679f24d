package untrustedtest

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	// The command is built by the tests. The import makes go test run them again, and use
	// no kept result, when the code of the command has changed.
	_ "cicadabarrow.example/cicadabarrow/internal/command"
	"cicadabarrow.example/cicadabarrow/platform/standin"
)

// command is the path of the built command. It is built without the race detector, which
// multiplies the memory of a process.
var command string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "untrustedtest")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	command = filepath.Join(dir, "cicadabarrow")
	build := exec.Command("go", "build", "-o", command, "cicadabarrow.example/cicadabarrow/cmd/cicadabarrow")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v\n%s", err, out)
		return 1
	}
	return m.Run()
}

const (
	// memoryMB and maxFiles are the settings of the hosts. The bounds of the tests are
	// these settings themselves: the resident memory and the descriptors of a process
	// have to stay within what its settings allow.
	memoryMB = 72
	maxFiles = 512

	queueHost = "queue.example"
	queuePath = "/jobs/"

	// conditionTimeout is the longest wait for a condition. It is not a time that the
	// product guarantees.
	conditionTimeout = 60 * time.Second
	pollInterval     = 50 * time.Millisecond
)

// limits are those of the deployments, see docs/REQUIREMENTS.md.
var limits = standin.Limits{
	MaxHeaderBytes: 16384, MaxBodyBytes: 262144, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second,
	Timeout: 3 * time.Second,
}

// site is a deployment whose hosts run as processes on loopback addresses.
type site struct {
	t        *testing.T
	platform *standin.Platform
	hosts    []*hostProcess
	jobs     int
}

// hostProcess is the process of one entry host.
type hostProcess struct {
	name    string
	client  netip.AddrPort
	health  netip.AddrPort
	metrics netip.AddrPort
	peer    netip.AddrPort
	logFile string
	cmd     *exec.Cmd
	exited  chan struct{}

	mu       sync.Mutex
	maxFiles int
	usedKB   int
}

// newSite starts a number of hosts and workers, and waits until a host owns the cell.
func newSite(t *testing.T, hosts int) *site {
	t.Helper()
	s := &site{t: t, platform: standin.New(2)}
	t.Cleanup(s.platform.Close)
	s.platform.SetManifestWithLimits(1, queueHost, limits)
	dir := t.TempDir()
	for i := range hosts {
		s.hosts = append(s.hosts, s.startHost(dir, fmt.Sprintf("host-%d", i+1)))
	}
	t.Cleanup(s.logOnFailure)
	for _, h := range s.hosts {
		s.await(h.name+" is ready", func() bool { return s.ready(h) })
	}
	s.await("there is an owner", func() bool { return s.owner() != nil })
	return s
}

func (s *site) startHost(dir, name string) *hostProcess {
	t := s.t
	t.Helper()
	h := &hostProcess{
		name: name, client: freeAddr(t), health: freeAddr(t), metrics: freeAddr(t), peer: freeAddr(t),
		logFile: filepath.Join(dir, name+".log"), exited: make(chan struct{}),
	}
	settings, err := json.Marshal(map[string]any{
		"Name": name, "Region": "r", "DataCentre": "dc-1", "PeerAddr": h.peer, "ClientAddr": h.client,
		"HealthAddr": h.health, "MetricsAddr": h.metrics, "StoreAddr": s.platform.StoreAddr(), "AdviceAddr": s.platform.AdviceAddr(),
		"MemoryMB": memoryMB, "MaxFiles": maxFiles, "Fenced": true,
		"Bounds": map[string]any{"MaxLease": "6s", "StopGrace": "6s", "KeepEnded": "120s"},
	})
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(dir, name+".json")
	if err := os.WriteFile(file, settings, 0o600); err != nil {
		t.Fatal(err)
	}
	log, err := os.Create(h.logFile)
	if err != nil {
		t.Fatal(err)
	}
	h.cmd = exec.Command(command, "host", "--settings", file)
	h.cmd.Stdout, h.cmd.Stderr = log, log
	if err := h.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		defer close(h.exited)
		defer log.Close()
		_ = h.cmd.Wait()
	}()
	stop := make(chan struct{})
	go h.watch(stop)
	t.Cleanup(func() {
		close(stop)
		_ = h.cmd.Process.Kill()
		<-h.exited
	})
	return h
}

// logOnFailure shows the last lines of the logs of a test that failed.
func (s *site) logOnFailure() {
	if !s.t.Failed() {
		return
	}
	const shown = 4000
	for _, h := range s.hosts {
		log, _ := os.ReadFile(h.logFile)
		s.t.Logf("%s:\n%s", h.name, log[max(0, len(log)-shown):])
	}
}

func (s *site) await(what string, done func() bool) {
	s.t.Helper()
	end := time.Now().Add(conditionTimeout)
	for !done() {
		if time.Now().After(end) {
			s.t.Fatalf("timed out waiting until %s", what)
		}
		<-time.After(pollInterval)
	}
}

func (s *site) ready(h *hostProcess) bool {
	response, err := http.Get("http://" + h.health.String() + "/v1/readyz")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// owner returns the host that has taken the cell over last.
func (s *site) owner() *hostProcess {
	var owner *hostProcess
	latest := 0
	for _, h := range s.hosts {
		log, _ := os.ReadFile(h.logFile)
		for _, line := range strings.Split(string(log), "\n") {
			var entry struct {
				Msg   string `json:"msg"`
				Epoch int
			}
			if json.Unmarshal([]byte(line), &entry) == nil && entry.Msg == "took over" && entry.Epoch > latest {
				owner, latest = h, entry.Epoch
			}
		}
	}
	return owner
}

// other returns a host that does not own the cell.
func (s *site) other() *hostProcess {
	owner := s.owner()
	for _, h := range s.hosts {
		if h != owner {
			return h
		}
	}
	s.t.Fatal("all hosts own the cell")
	return nil
}

// checkWithinSettings checks that all processes live, and that their memory and the number
// of their descriptors have stayed within their settings. Bytes that were received and not
// yet read count towards the memory.
func (s *site) checkWithinSettings() {
	s.t.Helper()
	for _, h := range s.hosts {
		select {
		case <-h.exited:
			s.t.Errorf("%s has exited: %v", h.name, h.cmd.ProcessState)
			continue
		default:
		}
		peak, used, files := h.peaks()
		s.t.Logf("%s: peak of %d KB, %d KB with unread bytes, at most %d descriptors", h.name, peak, used, files)
		if peak == 0 {
			s.t.Errorf("%s: no peak of the resident memory is known", h.name)
		}
		if limit := memoryMB << 10; peak > limit || used > limit {
			s.t.Errorf("%s has used %d KB of memory, and %d KB with the bytes that it had not read; MemoryMB allows %d KB", h.name, peak, used, limit)
		}
		if files > maxFiles {
			s.t.Errorf("%s has had %d descriptors open; MaxFiles allows %d", h.name, files, maxFiles)
		}
	}
}

// statusKB returns a field of the status of the process in kilobytes, or 0 if it has ended.
func (h *hostProcess) statusKB(field string) int {
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.cmd.Process.Pid))
	for _, line := range strings.Split(string(status), "\n") {
		if value, ok := strings.CutPrefix(line, field+":"); ok {
			kb, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(value, "kB")))
			return kb
		}
	}
	return 0
}

// watch takes samples until stop is closed.
func (h *hostProcess) watch(stop chan struct{}) {
	for {
		h.sample()
		select {
		case <-stop:
			return
		case <-time.After(pollInterval):
		}
	}
}

// sample records the largest number of open descriptors, and the most memory that the
// process had together with the bytes that it had received and not yet read.
func (h *hostProcess) sample() {
	h.openFiles()
	unread := 0
	for _, addr := range []netip.AddrPort{h.client, h.health, h.metrics, h.peer} {
		unread += unreadBytes(addr.Port())
	}
	used := h.statusKB("VmRSS") + unread>>10
	h.mu.Lock()
	defer h.mu.Unlock()
	h.usedKB = max(h.usedKB, used)
}

// openFiles returns the number of open descriptors, and records the largest one.
func (h *hostProcess) openFiles() int {
	files, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", h.cmd.Process.Pid))
	h.mu.Lock()
	defer h.mu.Unlock()
	h.maxFiles = max(h.maxFiles, len(files))
	return len(files)
}

// peaks returns the peak of the resident memory, the most memory of all samples, and the
// largest number of descriptors.
func (h *hostProcess) peaks() (residentKB, usedKB, files int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.statusKB("VmHWM"), h.usedKB, h.maxFiles
}

// unreadBytes returns how many bytes wait to be read on the connections of a local port.
func unreadBytes(port uint16) int {
	table, _ := os.ReadFile("/proc/net/tcp")
	suffix := fmt.Sprintf(":%04X", port)
	unread := 0
	for _, line := range strings.Split(string(table), "\n") {
		const localAddr, queues = 1, 4
		fields := strings.Fields(line)
		if len(fields) <= queues || !strings.HasSuffix(fields[localAddr], suffix) {
			continue
		}
		_, received, _ := strings.Cut(fields[queues], ":")
		n, err := strconv.ParseInt(received, 16, 64)
		if err != nil {
			continue // the first line has the names of the columns
		}
		unread += int(n)
	}
	return unread
}

const (
	// firstPort and ports define a range below the ephemeral ports: the system could give
	// one of those to an outgoing connection before the process listens on it.
	firstPort = 20000
	ports     = 12000
)

// nextPort is the offset of the last port that freeAddr tried. It begins at an offset
// that depends on the process ID, so that processes seldom collide.
var nextPort = os.Getpid() * 97 % ports

// freeAddr returns a loopback address on which nothing listens.
func freeAddr(t *testing.T) netip.AddrPort {
	t.Helper()
	for range ports {
		nextPort = (nextPort + 1) % ports
		addr := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(firstPort+nextPort))
		l, err := net.Listen("tcp", addr.String())
		if err != nil {
			continue
		}
		_ = l.Close()
		return addr
	}
	t.Fatal("no port is free")
	return netip.AddrPort{}
}
