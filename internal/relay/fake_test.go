package relay

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/lateanswer"
	"cicadabarrow.example/cicadabarrow/internal/message"
	"cicadabarrow.example/cicadabarrow/internal/peer"
	"cicadabarrow.example/cicadabarrow/internal/permit"
	"cicadabarrow.example/cicadabarrow/internal/timer"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

const (
	fakeEpoch   = 7
	fakeLatency = 2 * time.Millisecond
)

// suspendableTimers is a clock whose process can be suspended.
type suspendableTimers struct {
	*timer.System
	suspended atomic.Int64
}

func (s *suspendableTimers) Latest() time.Time {
	return s.System.Latest().Add(time.Duration(s.suspended.Load()))
}

// fakeWorkers is one worker as one host reaches it.
type fakeWorkers struct {
	mu sync.Mutex
	// connectTakes is the time until a call is sent.
	connectTakes time.Duration
	// silent is set while the worker is not reached.
	silent bool
	holds  []cell.HoldRequest
	starts []int
	// ended holds the ends that the worker lists.
	ended []cell.Ended
	// specBytes is the length of all specs that arrived, and lastSpec the last one.
	specBytes int
	lastSpec  string
}

// call waits for a connection and then makes a call if it is permitted.
func (w *fakeWorkers) call(ctx context.Context, arrived func()) error {
	w.mu.Lock()
	takes, silent := w.connectTakes, w.silent
	w.mu.Unlock()
	if err := pause(ctx, fakeLatency+takes); err != nil {
		return err
	}
	if err := permit.Verify(ctx); err != nil {
		return err
	}
	if silent {
		<-ctx.Done()
		return ctx.Err()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	arrived()
	return nil
}

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (w *fakeWorkers) Hold(ctx context.Context, request cell.HoldRequest, _ uint64) (cell.Report, error) {
	if err := w.call(ctx, func() { w.holds = append(w.holds, request) }); err != nil {
		return cell.Report{}, err
	}
	return cell.Report{Incarnation: 1, Ended: w.ended}, pause(ctx, request.Wait)
}

func (w *fakeWorkers) Start(ctx context.Context, _ netip.AddrPort, s cell.SendStart, _ uint64) (cell.StartOutcome, error) {
	arrived := func() {
		w.starts = append(w.starts, s.Run)
		w.specBytes += len(s.Spec)
		w.lastSpec = s.Spec
	}
	if err := w.call(ctx, arrived); err != nil {
		return cell.StartOutcome{Unknown: true}, err
	}
	return cell.StartOutcome{Clock: time.Minute}, nil
}

func (w *fakeWorkers) Stop(ctx context.Context, _ netip.AddrPort, _ cell.SendStop, _ uint64) (time.Duration, error) {
	return time.Minute, w.call(ctx, func() {})
}

func (w *fakeWorkers) SetPace(ctx context.Context, _ netip.AddrPort, _ cell.SetPace, _ uint64) error {
	return w.call(ctx, func() {})
}

func (w *fakeWorkers) count() (holds, starts int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.holds), len(w.starts)
}

// fakeHost is a host that relays.
type fakeHost struct {
	Host
	workers *fakeWorkers
	server  *Server
	// takes is how long the host takes until it handles a call, and mute is set while
	// its answers are lost.
	takes time.Duration
	mute  bool
	// answerTakes is how long an answer is on its way.
	answerTakes time.Duration
	// down is set while the host refuses connections.
	down bool
	// answer replaces the answers of the host.
	answer *peer.Message
	calls  int
	// specBytes is the length of the specs in the starts that the host was sent.
	specBytes int
}

// fakeCluster is an owner with its router and other hosts.
type fakeCluster struct {
	local  *fakeWorkers
	hosts  []*fakeHost
	router *Router

	mu   sync.Mutex
	lost map[netip.AddrPort]bool
}

// withCluster runs a test in virtual time with a router and hosts of one data centre.
func withCluster(t *testing.T, hosts int, test func(t *testing.T, c *fakeCluster)) {
	synctest.Test(t, func(t *testing.T) {
		timers := timer.NewSystem()
		c := &fakeCluster{local: &fakeWorkers{}, lost: make(map[netip.AddrPort]bool)}
		for i := range hosts {
			h := &fakeHost{workers: &fakeWorkers{}}
			h.Host = Host{Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 1), DataCentre: "dc", Cores: 0.2}
			h.server = NewServer(h.workers, timers, tally.NoopScope)
			h.server.Grant(fakeEpoch, timers.Latest(), time.Hour)
			c.hosts = append(c.hosts, h)
		}
		c.router = NewRouter(c.local, c, c, timers, tally.NoopScope, zap.NewNop())
		defer c.router.Close()
		c.router.Locate("w", "dc")
		test(t, c)
	})
}

// Relays lists the hosts that are not lost.
func (c *fakeCluster) Relays() []Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []Host
	for _, h := range c.hosts {
		if !c.lost[h.Addr] {
			out = append(out, h.Host)
		}
	}
	return out
}

// lose makes the pings of a host stop.
func (c *fakeCluster) lose(h *fakeHost) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lost[h.Addr] = true
}

// set changes a host.
func (c *fakeCluster) set(h *fakeHost, change func(*fakeHost)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(h)
}

// Ask passes a call to a host.
func (c *fakeCluster) Ask(ctx context.Context, to netip.AddrPort, m peer.Message) (peer.Host, peer.Message, error) {
	const op = "call"
	host := c.at(to)
	c.mu.Lock()
	host.calls++
	if start, err := message.DecodeWorkerStart(m); err == nil {
		host.specBytes += len(start.Start.Spec)
	}
	now := *host
	c.mu.Unlock()
	if now.down {
		return peer.Host{}, peer.Message{}, fault.New(op, peer.KindNotSent, "%w", syscall.ECONNREFUSED)
	}
	if err := pause(ctx, fakeLatency+now.takes); err != nil {
		return peer.Host{}, peer.Message{}, fault.New(op, peer.KindUnknown, "%w", err)
	}
	reply, err := handle(context.Background(), host.server, m)
	if now.mute {
		<-ctx.Done()
	}
	if now.answerTakes > 0 {
		answered := time.Now().Add(now.answerTakes)
		take := lateanswer.From[peer.Message](ctx)
		if pause(ctx, now.answerTakes) != nil && take != nil && err == nil {
			time.AfterFunc(time.Until(answered), func() { take(reply) })
		}
	}
	switch {
	case ctx.Err() != nil:
		return peer.Host{}, peer.Message{}, fault.New(op, peer.KindUnknown, "%w", ctx.Err())
	case err != nil:
		return peer.Host{}, peer.Message{}, fault.New(op, peer.KindRefused, "%w", err)
	case now.answer != nil:
		return peer.Host{}, *now.answer, nil
	}
	return peer.Host{}, reply, nil
}

func (c *fakeCluster) at(addr netip.AddrPort) *fakeHost {
	for _, h := range c.hosts {
		if h.Addr == addr {
			return h
		}
	}
	panic("no host at " + addr.String())
}

// relay returns the host that is the relay of the worker.
func (c *fakeCluster) relay() *fakeHost { return c.at(c.router.route("w").addr) }

func handle(ctx context.Context, s *Server, m peer.Message) (peer.Message, error) {
	if m.Kind == message.KindWorkerHold {
		call, err := message.DecodeWorkerHold(m)
		if err != nil {
			return peer.Message{}, err
		}
		out, err := s.Hold(ctx, call)
		return message.EncodeWorkerReport(out), err
	}
	call, err := message.DecodeWorkerStart(m)
	if err != nil {
		return peer.Message{}, err
	}
	out, err := s.Start(ctx, call)
	return message.EncodeWorkerStarted(out), err
}

var workerAddr = netip.MustParseAddrPort("10.0.9.1:1")

// hold makes a hold call with the timeouts of the owner.
func (c *fakeCluster) hold(t *testing.T) error {
	const wait, margin = time.Second, 900 * time.Millisecond
	ctx, cancel := context.WithTimeout(t.Context(), wait+margin)
	defer cancel()
	request := cell.HoldRequest{Worker: "w", Addr: workerAddr, Wait: wait, Deadline: time.Minute, Acknowledged: 3}
	_, err := c.router.Hold(ctx, request, fakeEpoch)
	return err
}

// start starts a run with the timeout of the owner.
func (c *fakeCluster) start(t *testing.T, run int) (cell.StartOutcome, error) {
	ctx, cancel := context.WithTimeout(t.Context(), 350*time.Millisecond)
	defer cancel()
	return c.router.Start(ctx, workerAddr, cell.SendStart{Worker: "w", Run: run}, fakeEpoch)
}

// startOf starts a run of a job.
func (c *fakeCluster) startOf(t *testing.T, job workload.JobID, run int, spec string) (cell.StartOutcome, error) {
	ctx, cancel := context.WithTimeout(t.Context(), 350*time.Millisecond)
	defer cancel()
	task := workload.TaskID{StepID: workload.StepID{Job: job}}
	return c.router.Start(ctx, workerAddr, cell.SendStart{Worker: "w", Task: task, Run: run, Spec: spec}, fakeEpoch)
}

func sumOf(spec string) uint64 { return xxhash.Sum64String(spec) }

// starts returns how many starts the worker has received through all hosts.
func (c *fakeCluster) starts() int {
	_, all := c.local.count()
	for _, h := range c.hosts {
		_, n := h.workers.count()
		all += n
	}
	return all
}
