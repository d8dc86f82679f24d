package relay

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/peer"
	"cicadabarrow.example/cicadabarrow/internal/timer"
)

const (
	// refreshInterval is the interval at which the hosts that are alive are read.
	refreshInterval = 100 * time.Millisecond
	// stallThreshold is the interval between two refreshes above which this process
	// was stalled. The pings of other hosts may then still wait for it, so that for
	// stallGrace no relay is taken to be lost.
	stallThreshold = 300 * time.Millisecond
	stallGrace     = 500 * time.Millisecond
	// busyThreshold is the interval between two refreshes above which this process
	// lacks processor time. Answers may then wait for it, so that for busyGrace no
	// relay is suspected.
	busyThreshold = 130 * time.Millisecond
	busyGrace     = 500 * time.Millisecond
	// maxMisses is the number of calls in succession that a relay may leave
	// unanswered or refuse before it is suspected. A refusal because it makes too many
	// calls does not count.
	maxMisses = 3
	// suspectBackoff is how long a suspected relay gets no calls. It doubles with
	// each suspicion within forgiveAfter of the last one, up to maxSuspectBackoff.
	suspectBackoff    = 2 * time.Second
	maxSuspectBackoff = 16 * time.Second
	forgiveAfter      = 60 * time.Second
	// avoidDuration is how long the calls to a worker avoid a relay through which the
	// worker did not answer.
	avoidDuration = 5 * time.Second
	// forgetWorkerAfter is the time after its last call at which a worker is removed.
	forgetWorkerAfter = time.Minute
)

// Members lists the other hosts that are alive and have the permission to relay.
type Members interface {
	Relays() []Host
}

// Peers is the transport between hosts.
type Peers interface {
	Ask(ctx context.Context, to netip.AddrPort, m peer.Message) (peer.Host, peer.Message, error)
}

// Router makes the calls of the owner to workers, each through the relay of its
// worker if there is one.
type Router struct {
	direct  Workers
	peers   Peers
	members Members
	timers  timer.Service
	log     *zap.Logger
	metrics routerMetrics

	cancel context.CancelFunc
	done   chan struct{}

	mu     sync.Mutex
	relays map[netip.AddrPort]*relayState
	// usable holds the usable relays of each data centre, and all of them for "".
	// chosen holds those of them that are used for the workers of the data centre, and
	// for "" those for the workers of data centres without hosts. version counts the
	// changes of chosen.
	usable  map[string][]Host
	chosen  map[string][]Host
	version int
	workers map[cell.WorkerID]*workerState
	// refreshed is when refresh last ran, graceUntil when relays may be taken to be
	// lost again, and busyUntil when they may be suspected again.
	refreshed  time.Time
	graceUntil time.Time
	busyUntil  time.Time
	changes    changeLog
}

// relayState is what the owner knows of a relay.
type relayState struct {
	// addr is the address of the host, which stays the same. The lock of the router
	// guards the other fields.
	addr netip.AddrPort
	host Host
	// alive is set while the host pings the owner.
	alive bool
	// misses counts the calls since the last answer.
	misses         atomic.Int32
	suspectedAt    time.Time
	suspectedUntil time.Time
	backoff        time.Duration
	// outstanding ends when the relay is suspected or lost. The hold calls in progress
	// are then made through another one.
	outstanding context.Context
	cancelHolds context.CancelFunc
	// specs holds which specs the relay has been sent.
	specs *specCache
}

// workerState is the assignment of a worker to a relay.
type workerState struct {
	dataCentre string
	// relay is the relay as of version; nil means that the owner calls the worker.
	relay   *relayState
	version int
	// avoid is a relay that is not used until avoidUntil.
	avoid      *relayState
	avoidUntil time.Time
	lastCall   time.Time
}

// routerMetrics counts the calls by outcome.
type routerMetrics struct {
	direct  tally.Counter
	retried tally.Counter
	// late counts the reports that came after their calls were given up.
	late tally.Counter
	// outcomes is indexed by the kind of the error; "" is an answered call.
	outcomes map[Kind]tally.Counter
	suspects tally.Counter
	usable   tally.Gauge
}

func newRouterMetrics(scope tally.Scope) routerMetrics {
	scope = scope.SubScope("relay")
	outcome := func(name string) tally.Counter {
		return scope.Tagged(map[string]string{"outcome": name}).Counter("calls")
	}
	return routerMetrics{
		direct: outcome("direct"), retried: scope.Counter("retries"), late: scope.Counter("late_reports"), suspects: scope.Counter("suspicions"), usable: scope.Gauge("usable"),
		outcomes: map[Kind]tally.Counter{
			"": outcome("answered"), KindRefused: outcome("refused"), KindRelaySilent: outcome("relay_silent"),
			KindNotSent: outcome("not_sent"), KindWorkerSilent: outcome("worker_silent"), KindFenced: outcome("fenced"),
		},
	}
}

// NewRouter returns a router and starts to observe the hosts. direct makes the calls
// that go through no relay.
func NewRouter(
	direct Workers, peers Peers, members Members, timers timer.Service, scope tally.Scope, log *zap.Logger,
) *Router {
	ctx, cancel := context.WithCancel(context.Background())
	r := &Router{
		direct: direct, peers: peers, members: members, timers: timers, log: log.Named("relay"), metrics: newRouterMetrics(scope),
		cancel: cancel, done: make(chan struct{}), relays: make(map[netip.AddrPort]*relayState),
		workers: make(map[cell.WorkerID]*workerState), refreshed: timers.Now(), version: 1,
	}
	r.changes.log = r.log
	r.refresh()
	go func() {
		defer close(r.done)
		tick := timers.Every(refreshInterval)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				r.refresh()
			case <-ctx.Done():
				return
			}
		}
	}()
	return r
}

// Close ends the observation of the hosts.
func (r *Router) Close() {
	r.cancel()
	<-r.done
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.relays {
		s.cancelHolds()
	}
}

// Locate sets the data centre of a worker.
func (r *Router) Locate(id cell.WorkerID, dataCentre string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if w := r.worker(id); w.dataCentre != dataCentre {
		w.dataCentre, w.version = dataCentre, 0
	}
}

// worker returns the state of a worker. The caller holds the lock.
func (r *Router) worker(id cell.WorkerID) *workerState {
	w, ok := r.workers[id]
	if !ok {
		w = &workerState{lastCall: r.timers.Now()}
		r.workers[id] = w
	}
	return w
}

// route returns the relay of a worker, or nil if the owner calls the worker itself.
func (r *Router) route(id cell.WorkerID) *relayState {
	now := r.timers.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.worker(id)
	w.lastCall = now
	if w.avoid != nil && !now.Before(w.avoidUntil) {
		w.avoid, w.version = nil, 0
	}
	if w.version != r.version {
		next := r.pick(id, w.dataCentre, w.avoid)
		if next != w.relay {
			r.changes.moved(now, id, w.relay, next)
		}
		w.relay, w.version = next, r.version
	}
	return w.relay
}

// pick returns the relay for a worker other than one to avoid. The caller holds the
// lock.
func (r *Router) pick(id cell.WorkerID, dataCentre string, avoid *relayState) *relayState {
	accept := func(h Host) bool { return avoid == nil || h.Addr != avoid.addr }
	for _, hosts := range [][]Host{r.chosen[dataCentre], r.usable[dataCentre], r.chosen[""], r.usable[""]} {
		if i := pick(hosts, id, accept); i >= 0 {
			return r.relays[hosts[i].Addr]
		}
	}
	return nil
}

// alternative returns a relay for a worker other than the given one, or nil if there is none.
func (r *Router) alternative(id cell.WorkerID, failed *relayState) *relayState {
	r.metrics.retried.Inc(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pick(id, r.worker(id).dataCentre, failed)
}

// avoid makes the next calls to a worker avoid a relay through which the worker did
// not answer, since their link may be cut.
func (r *Router) avoid(id cell.WorkerID, relay *relayState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.worker(id)
	w.avoid, w.avoidUntil, w.version = relay, r.timers.Now().Add(avoidDuration), 0
}

// refresh reads which hosts are alive, and chooses the relays among them.
func (r *Router) refresh() {
	hosts := r.members.Relays()
	now := r.timers.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.refreshed) > stallThreshold {
		r.graceUntil = now.Add(stallGrace)
	}
	if now.Sub(r.refreshed) > busyThreshold {
		r.busyUntil = now.Add(busyGrace)
	}
	r.refreshed = now
	alive := make(map[netip.AddrPort]bool, len(hosts))
	for _, h := range hosts {
		alive[h.Addr] = true
		r.join(now, h)
	}
	for addr, s := range r.relays {
		r.expire(now, addr, s, alive[addr])
	}
	for id, w := range r.workers {
		if now.Sub(w.lastCall) > forgetWorkerAfter {
			delete(r.workers, id)
		}
	}
	r.chooseRelays()
}

// join records that a host is alive.
func (r *Router) join(now time.Time, h Host) {
	s, known := r.relays[h.Addr]
	if !known {
		s = &relayState{addr: h.Addr, specs: newSpecCache()}
		s.outstanding, s.cancelHolds = context.WithCancel(context.Background())
		r.relays[h.Addr] = s
	}
	if !s.alive && s.outstanding.Err() != nil && !now.Before(s.suspectedUntil) {
		s.outstanding, s.cancelHolds = context.WithCancel(context.Background())
	}
	if !s.alive {
		s.misses.Store(0)
	}
	s.host, s.alive = h, true
}

// expire ends the use of a relay that is not alive, and the suspicion of one whose
// backoff is over.
func (r *Router) expire(now time.Time, addr netip.AddrPort, s *relayState, alive bool) {
	switch {
	case s.alive && !alive && !now.Before(r.graceUntil):
		s.alive = false
		s.cancelHolds()
		r.log.Warn("relay is lost: it does not ping the owner", zap.Stringer("Relay", addr))
	case !s.alive && !now.Before(s.suspectedUntil) && now.Sub(s.suspectedAt) > forgiveAfter:
		delete(r.relays, addr)
	case s.alive && !s.suspectedUntil.IsZero() && !now.Before(s.suspectedUntil):
		s.suspectedUntil = time.Time{}
		s.misses.Store(0)
		if s.outstanding.Err() != nil {
			s.outstanding, s.cancelHolds = context.WithCancel(context.Background())
		}
		r.log.Info("relay is used again", zap.Stringer("Relay", addr))
	}
}

// usable reports whether a relay gets calls.
func (s *relayState) usable() bool { return s.alive && s.suspectedUntil.IsZero() }

// chooseRelays chooses the relays of each data centre. The caller holds the lock.
func (r *Router) chooseRelays() {
	hosts, workers := make(map[string][]Host), make(map[string]int)
	count := 0
	for _, s := range r.relays {
		if s.usable() {
			count++
			hosts[s.host.DataCentre] = append(hosts[s.host.DataCentre], s.host)
			hosts[""] = append(hosts[""], s.host)
		}
	}
	for _, w := range r.workers {
		workers[w.dataCentre]++
		workers[""]++
	}
	chosen := make(map[string][]Host, len(hosts))
	for dataCentre, in := range hosts {
		chosen[dataCentre] = choose(in, workers[dataCentre])
	}
	r.usable = hosts
	r.metrics.usable.Update(float64(count))
	if !equalChoice(r.chosen, chosen) {
		r.chosen = chosen
		r.version++
	}
}

func equalChoice(a, b map[string][]Host) bool {
	if len(a) != len(b) {
		return false
	}
	for dataCentre, hosts := range a {
		if len(hosts) != len(b[dataCentre]) {
			return false
		}
		for i, h := range hosts {
			if h != b[dataCentre][i] {
				return false
			}
		}
	}
	return true
}

// missed records that a relay has not answered a call in time, or has refused it, and
// suspects the relay after maxMisses of them.
func (r *Router) missed(s *relayState, cause error) {
	if s.misses.Add(1) < maxMisses {
		return
	}
	now := r.timers.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !s.usable() || now.Before(r.busyUntil) {
		return
	}
	s.backoff = min(2*s.backoff, maxSuspectBackoff)
	if s.backoff == 0 || now.Sub(s.suspectedAt) > forgiveAfter {
		s.backoff = suspectBackoff
	}
	s.suspectedAt, s.suspectedUntil = now, now.Add(s.backoff)
	s.cancelHolds()
	r.metrics.suspects.Inc(1)
	r.log.Warn("relay is suspected", zap.Stringer("Relay", s.addr), zap.Duration("Backoff", s.backoff), zap.Error(cause))
	r.chooseRelays()
}
