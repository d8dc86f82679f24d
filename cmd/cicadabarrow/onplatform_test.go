package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"syscall"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"cicadabarrow.example/cicadabarrow/internal/processtest"
	"cicadabarrow.example/cicadabarrow/platform/standin"
)

// hostFleet holds the processes of the command host on the stand-in of
// platform/standin. fleet holds those of the command serve.
type hostFleet struct {
	t        *testing.T
	platform *standin.Platform
	hosts    []*processtest.Host
	jobs     int
	// keepEnded is how long the hosts keep ended jobs.
	keepEnded string
	// unfenced is set if the workers check no fencing token.
	unfenced bool
	// storeLinks holds, if it is not nil, a proxy between each host and the store, by the
	// name of the host.
	storeLinks map[string]*processtest.Proxy
}

const (
	queueHost   = "queue.example"
	plainQueue  = "/jobs/"
	adviceQueue = "/advised/"
)

// keepEnded is how long hosts keep ended jobs, unless a test needs a shorter time.
const keepEnded = "120s"

func newHostFleet(t *testing.T, hosts, workers int) *hostFleet {
	t.Helper()
	return newHostFleetWithKeepEnded(t, hosts, workers, keepEnded)
}

func newHostFleetWithKeepEnded(t *testing.T, hosts, workers int, keep string) *hostFleet {
	t.Helper()
	return startHostFleet(&hostFleet{t: t, platform: standin.New(workers), keepEnded: keep}, hosts)
}

// newUnfencedHostFleet returns a fleet whose workers obey replaced owners too.
func newUnfencedHostFleet(t *testing.T, hosts, workers int) *hostFleet {
	t.Helper()
	f := &hostFleet{t: t, platform: standin.New(workers), keepEnded: keepEnded, unfenced: true}
	for _, w := range f.platform.Workers {
		w.SetFaults(standin.WorkerFaults{Unfenced: true})
	}
	return startHostFleet(f, hosts)
}

func startHostFleet(f *hostFleet, hosts int) *hostFleet {
	t := f.t
	t.Helper()
	t.Cleanup(f.platform.Close)
	f.platform.SetManifest(1, queueHost)
	// The logs of the hosts stay there if the test runs with -artifacts.
	dir := t.ArtifactDir()
	for i := range hosts {
		f.hosts = append(f.hosts, f.newHost(dir, fmt.Sprintf("host-%d", i+1)))
	}
	t.Cleanup(f.killAll)
	for _, h := range f.hosts {
		f.start(h)
	}
	f.await("all hosts are ready", func() bool {
		for _, h := range f.hosts {
			if !h.Ready() {
				return false
			}
		}
		return true
	})
	return f
}

func (f *hostFleet) newHost(dir, name string) *processtest.Host {
	store := f.platform.StoreAddr()
	if f.storeLinks != nil {
		f.storeLinks[name] = processtest.NewProxy(f.t, store)
		store = f.storeLinks[name].Addr()
	}
	return processtest.NewHost(f.t, dir, name, map[string]any{
		"StoreAddr": store, "AdviceAddr": f.platform.AdviceAddr(), "MemoryMB": 284, "Fenced": !f.unfenced,
		"Bounds": map[string]any{"MaxLease": "6s", "StopGrace": "6s", "KeepEnded": f.keepEnded},
	})
}

// start starts a host by the binary of the test.
func (f *hostFleet) start(h *processtest.Host) {
	self, err := os.Executable()
	if err != nil {
		f.t.Fatal(err)
	}
	h.Start(f.t, self, runVariable+"=1")
}

func (f *hostFleet) killAll() {
	for _, h := range f.hosts {
		h.Kill()
	}
	if !f.t.Failed() {
		return
	}
	for _, h := range f.hosts {
		f.t.Logf("%s:\n%s", h.Name, h.Log())
	}
}

func (f *hostFleet) await(what string, done func() bool) {
	f.t.Helper()
	processtest.Await(f.t, what, done, func() string { return fmt.Sprint("violations: ", f.platform.Violations()) })
}

func (f *hostFleet) owner() *processtest.Host { return processtest.Owner(f.hosts) }

// call sends a request to a host and returns its status and body.
func (f *hostFleet) call(h *processtest.Host, method, path string, body any) (int, map[string]any) {
	return f.callBy(http.DefaultClient, h, method, path, body)
}

// callBy is call over the connections of a client. The status is 0 without an answer.
func (f *hostFleet) callBy(
	client *http.Client, h *processtest.Host, method, path string, body any,
) (int, map[string]any) {
	status, _, out := f.do(client, f.newRequest(h, method, path, body))
	return status, out
}

// newRequest returns a request to a host with an encoded body, if there is one.
func (f *hostFleet) newRequest(h *processtest.Host, method, path string, body any) *http.Request {
	var reader bytes.Buffer
	if body != nil {
		if err := msgpack.NewEncoder(&reader).Encode(body); err != nil {
			f.t.Fatal(err)
		}
	}
	request, err := http.NewRequest(method, "http://"+h.Client.String()+path, &reader)
	if err != nil {
		f.t.Fatal(err)
	}
	request.Host = queueHost
	request.Header.Set("Deadline-Ms", "8000")
	return request
}

// do sends a request and returns the status, header and body of the response; the status is
// 0 without one.
func (f *hostFleet) do(client *http.Client, request *http.Request) (int, http.Header, map[string]any) {
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, nil
	}
	defer response.Body.Close()
	var out map[string]any
	_ = msgpack.NewDecoder(response.Body).Decode(&out)
	return response.StatusCode, response.Header, out
}

// submit submits a job until a host accepts it, and returns its ID.
func (f *hostFleet) submit(queue, spec string, steps ...map[string]any) string {
	f.jobs++
	id := fmt.Sprintf("%016x", f.jobs)
	body := map[string]any{"spec": spec, "steps": steps}
	f.await("job "+id+" is accepted", func() bool {
		status, _ := f.call(f.hosts[rand.N(len(f.hosts))], http.MethodPost, queue+id, body)
		return status == http.StatusOK
	})
	return id
}

func (f *hostFleet) state(queue, id string) string {
	for _, h := range f.hosts {
		if status, body := f.call(h, http.MethodGet, queue+id, nil); status == http.StatusOK {
			return fmt.Sprint(body["state"])
		}
	}
	return ""
}

func (f *hostFleet) awaitState(queue, state string, ids ...string) {
	f.t.Helper()
	for _, id := range ids {
		f.await("job "+id+" is "+state, func() bool { return f.state(queue, id) == state })
	}
}

func (f *hostFleet) checkViolations() {
	f.t.Helper()
	for _, v := range f.platform.Violations() {
		f.t.Error(v)
	}
}

// step returns a step of small tasks that depends on the steps with the indexes
// in after.
func step(tasks int, after ...int) map[string]any {
	return map[string]any{"count": tasks, "cpu": 1000, "mem_mb": 100, "estimate_ms": 200, "depends_on": after}
}

// TestHostsRunJobsWithoutFaults runs jobs of several steps on both queues, and
// checks a repeated submission, a failing job, a cancel, and unknown names.
func TestHostsRunJobsWithoutFaults(t *testing.T) {
	f := newHostFleet(t, 3, 4)
	var plain, advised []string
	for range 5 {
		plain = append(plain, f.submit(plainQueue, "100ms", step(3), step(2, 0)))
		advised = append(advised, f.submit(adviceQueue, "100ms", step(4), step(1, 0)))
	}
	failing := f.submit(plainQueue, "fail", step(1))
	longRunning := f.submit(plainQueue, "last", map[string]any{
		"count": 2, "cpu": 1000, "mem_mb": 100, "long_running": true,
	})
	f.awaitState(plainQueue, "completed", plain...)
	f.awaitState(adviceQueue, "completed", advised...)
	f.awaitState(plainQueue, "failed", failing)
	f.awaitState(plainQueue, "running", longRunning)

	if status, _ := f.call(f.hosts[1], http.MethodPost, plainQueue+plain[0], map[string]any{
		"spec": "100ms", "steps": []any{step(3), step(2, 0)},
	}); status != http.StatusOK {
		t.Errorf("a repeated submission gets status %d", status)
	}
	if n := f.platform.Starts(plain[0] + ".0.0.0"); n != 1 {
		t.Errorf("a task that was submitted twice started %d times", n)
	}
	if status, _ := f.call(f.hosts[0], http.MethodDelete, plainQueue+longRunning, nil); status != http.StatusOK {
		t.Errorf("a cancel gets status %d", status)
	}
	f.awaitState(plainQueue, "cancelled", longRunning)
	f.await("nothing runs", func() bool {
		for _, w := range f.platform.Workers {
			if w.Running() > 0 {
				return false
			}
		}
		return true
	})
	if status, _ := f.call(f.hosts[2], http.MethodGet, plainQueue+"00000000000000ff", nil); status != http.StatusGone {
		t.Errorf("an unknown job gets status %d", status)
	}
	if status, _ := f.call(f.hosts[2], http.MethodGet, "/nowhere/", nil); status != http.StatusNotFound {
		t.Errorf("an unknown queue gets status %d", status)
	}
	if status, body := f.call(f.hosts[0], http.MethodGet, plainQueue, nil); status != http.StatusOK || fmt.Sprint(body["pending"]) != "0" {
		t.Errorf("the pending count gets status %d, %v", status, body)
	}
	f.checkViolations()
}

// TestHostsSurviveKilledOwner kills the owner twice and then all hosts while jobs
// run; all jobs must complete.
func TestHostsSurviveKilledOwner(t *testing.T) {
	f := newHostFleet(t, 3, 4)
	var ids []string
	for round := range 3 {
		for range 4 {
			ids = append(ids, f.submit(plainQueue, "300ms", step(3), step(3, 0)))
		}
		f.await("there is an owner", func() bool { return f.owner() != nil })
		killed := f.owner()
		killed.Kill()
		if round == 2 {
			for _, h := range f.hosts {
				if h != killed {
					h.Kill()
				}
			}
		}
		for _, h := range f.hosts {
			select {
			case <-h.Exited:
				f.start(h)
			default:
			}
		}
	}
	f.awaitState(plainQueue, "completed", ids...)
	f.checkViolations()
}

// TestFrozenOwnerOfUnfencedWorkers freezes the owner until another host has taken
// over, and wakes it, while starts are in flight. Its workers obey both owners; no
// task may run twice, and all jobs must complete.
func TestFrozenOwnerOfUnfencedWorkers(t *testing.T) {
	f := newUnfencedHostFleet(t, 3, 4)
	var ids []string
	for range 3 {
		f.await("there is an owner", func() bool { return f.owner() != nil })
		frozen := f.owner()
		for range 6 {
			ids = append(ids, f.submit(plainQueue, "300ms", step(4), step(3, 0)))
		}
		f.signal(frozen, syscall.SIGSTOP)
		f.await("another host owns the cell", func() bool { return f.owner() != frozen })
		f.signal(frozen, syscall.SIGCONT)
	}
	f.awaitState(plainQueue, "completed", ids...)
	f.checkViolations()
}

func (f *hostFleet) signal(h *processtest.Host, s syscall.Signal) {
	if err := h.Cmd.Process.Signal(s); err != nil {
		f.t.Fatal(err)
	}
}

// TestHostsSurvivePlatformFaults loses responses of the store and of a worker,
// compacts the store, makes it unavailable, restarts one worker and makes another
// unresponsive while jobs run; all jobs must complete.
func TestHostsSurvivePlatformFaults(t *testing.T) {
	f := newHostFleet(t, 3, 4)
	workers := f.platform.Workers
	f.platform.Store.SetFaults(standin.StoreFaults{LoseEvery: 5})
	workers[0].SetFaults(standin.WorkerFaults{LoseStartResponseEvery: 3})
	var ids []string
	for range 6 {
		ids = append(ids, f.submit(plainQueue, "200ms", step(3), step(2, 0)))
	}
	f.platform.Store.Compact()
	f.platform.Restart(workers[1])
	workers[2].SetFaults(standin.WorkerFaults{Silent: true})
	for range 4 {
		ids = append(ids, f.submit(adviceQueue, "200ms", step(3), step(2, 0)))
	}
	f.platform.Store.SetFaults(standin.StoreFaults{Down: true})
	if status, _ := f.call(f.hosts[0], http.MethodPost, plainQueue+"00000000000000aa", map[string]any{
		"spec": "100ms", "steps": []any{step(1)},
	}); status != http.StatusServiceUnavailable {
		t.Errorf("a job gets status %d while the store is unavailable", status)
	}
	f.platform.Store.SetFaults(standin.StoreFaults{})
	workers[2].SetFaults(standin.WorkerFaults{})
	f.awaitState(plainQueue, "completed", ids[:6]...)
	f.awaitState(adviceQueue, "completed", ids[6:]...)
	f.checkViolations()
}

// TestEndedJobsAreDeleted checks that the rows of an ended job are deleted from
// the store once the job need not be kept any longer.
func TestEndedJobsAreDeleted(t *testing.T) {
	f := newHostFleetWithKeepEnded(t, 2, 2, "500ms")
	id := f.submit(plainQueue, "100ms", step(2), step(1, 0))
	f.await("its rows are gone", func() bool {
		return f.platform.Starts(id+".0.1.0") == 1 && f.platform.Store.RowCount("intake") == 0 && f.platform.Store.RowCount("progress") == 0
	})
	f.await("the job is unknown", func() bool {
		status, _ := f.call(f.hosts[0], http.MethodGet, plainQueue+id, nil)
		return status == http.StatusGone
	})
	f.checkViolations()
}

// TestHostStopsGracefully stops the owner by SIGTERM: it must report that it is not
// ready, release the cell, and exit with status 0.
func TestHostStopsGracefully(t *testing.T) {
	f := newHostFleet(t, 2, 2)
	ids := []string{f.submit(plainQueue, "300ms", step(3), step(3, 0))}
	f.await("there is an owner", func() bool { return f.owner() != nil })
	leaving := f.owner()
	if err := leaving.Cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	f.await("the host is not ready", func() bool { return !leaving.Ready() })
	// The balancer still sends requests to this host for a while.
	ids = append(ids, fmt.Sprintf("%016x", 0xabc))
	if status, _ := f.call(leaving, http.MethodPost, plainQueue+ids[1], map[string]any{
		"spec": "100ms", "steps": []any{step(2)},
	}); status != http.StatusOK {
		t.Errorf("a job at the leaving host gets status %d", status)
	}
	f.await("another host owns the cell", func() bool { return f.owner() != leaving })
	ids = append(ids, f.submit(plainQueue, "100ms", step(2)))
	<-leaving.Exited
	if code := leaving.Cmd.ProcessState.ExitCode(); code != 0 {
		t.Errorf("the host that left exited with status %d", code)
	}
	f.awaitState(plainQueue, "completed", ids...)
	f.checkViolations()
}
