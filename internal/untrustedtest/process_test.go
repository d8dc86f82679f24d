package untrustedtest

import (
	"fmt"
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
	"cicadabarrow.example/cicadabarrow/internal/processtest"
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

	// pollInterval is the interval at which a process is watched.
	pollInterval = 50 * time.Millisecond
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

// hostProcess is an entry host whose use of memory and descriptors is watched.
type hostProcess struct {
	*processtest.Host

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
		s.await(h.Name+" is ready", h.Ready)
	}
	s.await("there is an owner", func() bool { return s.owner() != nil })
	return s
}

func (s *site) startHost(dir, name string) *hostProcess {
	s.t.Helper()
	h := &hostProcess{Host: processtest.NewHost(s.t, dir, name, map[string]any{
		"StoreAddr": s.platform.StoreAddr(), "AdviceAddr": s.platform.AdviceAddr(), "MemoryMB": memoryMB, "MaxFiles": maxFiles,
		"Fenced": true, "Bounds": map[string]any{"MaxLease": "6s", "StopGrace": "6s", "KeepEnded": "120s"},
	})}
	h.Start(s.t, command)
	stop := make(chan struct{})
	go h.watch(stop)
	s.t.Cleanup(func() {
		close(stop)
		h.Kill()
	})
	return h
}

// logOnFailure shows the last lines of the logs of a test that failed.
func (s *site) logOnFailure() {
	if !s.t.Failed() {
		return
	}
	for _, h := range s.hosts {
		s.t.Logf("%s:\n%s", h.Name, h.LogTail())
	}
}

func (s *site) await(what string, done func() bool) {
	s.t.Helper()
	processtest.Await(s.t, what, done, nil)
}

// owner returns the host that has taken the cell over last.
func (s *site) owner() *hostProcess {
	hosts := make([]*processtest.Host, len(s.hosts))
	for i, h := range s.hosts {
		hosts[i] = h.Host
	}
	owner := processtest.Owner(hosts)
	for _, h := range s.hosts {
		if h.Host == owner {
			return h
		}
	}
	return nil
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
		case <-h.Exited:
			s.t.Errorf("%s has exited: %v", h.Name, h.Cmd.ProcessState)
			continue
		default:
		}
		peak, used, files := h.peaks()
		s.t.Logf("%s: peak of %d KB, %d KB with unread bytes, at most %d descriptors", h.Name, peak, used, files)
		if peak == 0 {
			s.t.Errorf("%s: no peak of the resident memory is known", h.Name)
		}
		if limit := memoryMB << 10; peak > limit || used > limit {
			s.t.Errorf("%s has used %d KB of memory, and %d KB with the bytes that it had not read; MemoryMB allows %d KB", h.Name, peak, used, limit)
		}
		if files > maxFiles {
			s.t.Errorf("%s has had %d descriptors open; MaxFiles allows %d", h.Name, files, maxFiles)
		}
	}
}

// statusKB returns a field of the status of the process in kilobytes, or 0 if it has ended.
func (h *hostProcess) statusKB(field string) int {
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.Cmd.Process.Pid))
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
	for _, addr := range []netip.AddrPort{h.Client, h.Health, h.Metrics, h.Peer} {
		unread += unreadBytes(addr.Port())
	}
	used := h.statusKB("VmRSS") + unread>>10
	h.mu.Lock()
	defer h.mu.Unlock()
	h.usedKB = max(h.usedKB, used)
}

// openFiles returns the number of open descriptors, and records the largest one.
func (h *hostProcess) openFiles() int {
	files, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", h.Cmd.Process.Pid))
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
