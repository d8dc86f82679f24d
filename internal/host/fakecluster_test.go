package host

import (
	"fmt"
	"io"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/election"
	"cicadabarrow.example/cicadabarrow/internal/ledger"
	"cicadabarrow.example/cicadabarrow/internal/owner"
	"cicadabarrow.example/cicadabarrow/internal/peer"
	"cicadabarrow.example/cicadabarrow/internal/rowstore"
	"cicadabarrow.example/cicadabarrow/internal/timer"
)

// fakeCluster simulates entry hosts, a store and workers in memory and in
// virtual time. The link between any two of them can be cut.
type fakeCluster struct {
	mu    sync.Mutex
	hosts map[netip.AddrPort]*fakeHost
	order []*fakeHost
	rows  map[rowstore.Key]rowstore.Row
	// changed is closed and replaced by each transaction.
	changed chan struct{}
	version uint64
	// cut holds the pairs of names whose link is cut.
	cut     map[[2]string]bool
	workers map[cell.WorkerID]*fakeWorker
	seeds   []netip.AddrPort
	began   time.Time
	// commits counts the transactions. The answer of every loseCommitEvery-th
	// one is lost; 0 loses none.
	commits         int
	loseCommitEvery int
	// lateCommits has the hosts whose writes of jobs and cancels the store does not answer,
	// with the time after which it carries them out.
	lateCommits map[string]time.Duration
	// fullReadTime is the least time that a read of all accepted jobs takes.
	fullReadTime time.Duration
	// renewalTime is the least time that an owner's renewal takes.
	renewalTime time.Duration
	// reads counts the reads of accepted jobs. The answer of every
	// loseReadEvery-th one is lost; 0 loses none.
	reads         int
	loseReadEvery int
	// failingReads is the name of a host whose reads of accepted jobs fail.
	failingReads string
	// unfenced is set if the workers check no fencing tokens.
	unfenced bool
	// events records what happened, for the report of a failed test.
	events []string
	// busy holds the hosts that are short of processor time.
	busy map[string]busyness
	// manifests decodes the operator's rows; fakeManifests if it is nil.
	manifests Manifests
	// manifestRows holds all rows of the manifest that were written: the feed tells each
	// change, while a read gives the last.
	manifestRows []rowstore.Row
	// confirmations counts the reads of the manifest that hosts made for unknown keys.
	confirmations int
	// stalledFeeds makes the calls for changes of the operator's rows end without an
	// answer.
	stalledFeeds bool
	// manifestReadTime is the least time that a read of the operator's rows takes, and
	// rejectsRead tells which of them fail, if it is set.
	manifestReadTime time.Duration
	rejectsRead      func(rowstore.Range) bool
	revokeWithin     time.Duration
	// passedManifests counts the manifests that each host got from other hosts.
	passedManifests map[string]int
	// keepsManifest is the name of a host that answers no request for its manifest.
	keepsManifest string
	// network carries the calls between hosts if it is set, and the cluster otherwise.
	network *pipeNetwork
	// logs also receives what the hosts log, if it is set before they start.
	logs zapcore.Core
}

// clock returns the store's monotonic clock.
func (w *fakeCluster) clock() time.Duration { return time.Hour + time.Since(w.began) }

// record appends an event. The caller holds the lock.
func (w *fakeCluster) record(format string, args ...any) {
	w.events = append(w.events, fmt.Sprintf("%8v ", time.Since(w.began).Round(time.Millisecond))+fmt.Sprintf(format, args...))
}

// logger returns a logger that records the messages on ownership as events.
func (w *fakeCluster) logger(h *fakeHost) *zap.Logger {
	recorded := []string{"becoming the owner", "no longer the owner", "cut off from the store and from most hosts"}
	core := zapcore.NewCore(zapcore.NewJSONEncoder(zapcore.EncoderConfig{}), zapcore.AddSync(io.Discard), zapcore.InfoLevel)
	if w.logs != nil {
		core = zapcore.NewTee(core, w.logs)
	}
	return zap.New(core, zap.Hooks(func(e zapcore.Entry) error {
		if e.Message == "load and backlog of the owner" {
			time.Sleep(w.busyness(h).round)
		}
		if slices.Contains(recorded, e.Message) {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.record("%s: %s", h.name, e.Message)
		}
		return nil
	}))
}

// fakeWorker keeps the highest fencing token that it has seen, and its holds.
type fakeWorker struct {
	fence uint64
	holds []hold
}

// hold is one hold call that a worker accepted.
type hold struct {
	at       time.Time
	epoch    uint64
	deadline time.Duration
}

// fakeHost is one entry host. Its host is nil while it is down.
type fakeHost struct {
	name   string
	addr   netip.AddrPort
	starts int
	host   *Host
	// closePeers closes the transport of the host, if it has one.
	closePeers func()
	// capacity is the capacity in the host's settings; the zero value is
	// unknown.
	capacity election.Capacity
	// owning is what Config.OnTenure was last called with.
	owning atomic.Bool
}

const (
	storeName        = "store"
	storeLatency     = 4 * time.Millisecond
	peerLatency      = 2 * time.Millisecond
	workersTable     = "workers"
	fakeOwnerTimeout = 600 * time.Millisecond
	// fakeStoreWrites is how many writes a second the store takes.
	fakeStoreWrites = 600
	// fakeJobBytes is the memory for jobs: that of one job of 1,000 tasks and others.
	fakeJobBytes = 1 << 20
	// fakeDataCentre is where all hosts are.
	fakeDataCentre = "dc"
)

func newFakeCluster(hosts, workers int) *fakeCluster {
	w := &fakeCluster{
		hosts: make(map[netip.AddrPort]*fakeHost), rows: make(map[rowstore.Key]rowstore.Row), changed: make(chan struct{}),
		began: time.Now(), cut: make(map[[2]string]bool), workers: make(map[cell.WorkerID]*fakeWorker),
		busy: make(map[string]busyness), lateCommits: make(map[string]time.Duration),
		passedManifests: make(map[string]int),
	}
	for i := range workers {
		id := cell.WorkerID(fmt.Sprintf("w%d", i))
		w.workers[id] = &fakeWorker{}
		key := rowstore.Key{Table: workersTable, Name: string(id)}
		w.version++
		w.rows[key] = rowstore.Row{Key: key, Version: w.version}
	}
	for i := range hosts {
		h := &fakeHost{
			name: fmt.Sprintf("host-%d", i),
			addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 1),
		}
		w.hosts[h.addr] = h
		w.order = append(w.order, h)
	}
	return w
}

// start starts a new incarnation of a host.
func (w *fakeCluster) start(h *fakeHost) {
	w.mu.Lock()
	h.starts++
	w.mu.Unlock()
	self := peer.Host{Name: h.name, DataCentre: fakeDataCentre, Incarnation: fmt.Sprintf("%s/%d", h.name, h.starts)}
	config := Config{Self: self, Addr: h.addr, Seeds: w.seeds, StoreWrites: fakeStoreWrites, OwnerTimeout: fakeOwnerTimeout, Capacity: h.capacity}
	config.OnTenure, config.RevokeWithin = h.owning.Store, w.revokeWithin
	config.Owner = owner.Config{
		RenewEvery: 400 * time.Millisecond, MaxReads: h.capacity.MaxReads(), JobBytes: fakeJobBytes,
		Cell: cell.Config{
			Lease: 3200 * time.Millisecond, MaxLease: 6 * time.Second, ContactTimeout: 1500 * time.Millisecond,
			StopRetryInterval: 800 * time.Millisecond, KeepEnded: time.Minute, Unfenced: w.unfenced,
		},
	}
	port := &fakePort{cluster: w, host: h}
	var peers Peers = port
	if w.network != nil {
		peers, h.closePeers = w.network.join(h, self, w.logger(h), func() *Host {
			w.mu.Lock()
			defer w.mu.Unlock()
			return h.host
		})
	}
	started := New(config, Platform{
		Ports:     owner.Ports{Store: port, Workers: port, Registrations: fakeListing{}, Advisor: port, Machines: port, WaveRows: port},
		Manifests: w.decoder(),
	}, peers, &lateTimers{timer.NewSystem(), port}, tally.NoopScope, w.logger(h))
	w.mu.Lock()
	defer w.mu.Unlock()
	h.host = started
	w.record("%s started", h.name)
}

// stop ends a host as a kill does: its address refuses connections from now on.
func (w *fakeCluster) stop(h *fakeHost) {
	w.mu.Lock()
	running := h.host
	h.host = nil
	w.record("%s stopped", h.name)
	w.mu.Unlock()
	if running != nil {
		running.Close()
		if h.closePeers != nil {
			h.closePeers()
		}
	}
}

func (w *fakeCluster) stopAll() {
	for _, h := range w.order {
		w.stop(h)
	}
}

// setCut cuts the links between a host and others, or restores them.
func (w *fakeCluster) setCut(h *fakeHost, cut bool, others ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.record("%s cut=%v %v", h.name, cut, others)
	for _, other := range others {
		w.cut[[2]string{h.name, other}] = cut
		w.cut[[2]string{other, h.name}] = cut
	}
}

// otherHosts returns the names of all hosts except one.
func (w *fakeCluster) otherHosts(except *fakeHost) []string {
	var out []string
	for _, h := range w.order {
		if h != except {
			out = append(out, h.name)
		}
	}
	return out
}

func (w *fakeCluster) isCut(a, b string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cut[[2]string{a, b}]
}

// owners returns the hosts that take themselves for the owner and are ready.
func (w *fakeCluster) owners() []*fakeHost {
	var out []*fakeHost
	for _, h := range w.order {
		if h.host == nil {
			continue
		}
		if ready := h.host.readyOwner(); ready != nil && ready.Err() == nil {
			out = append(out, h)
		}
	}
	return out
}

// lastHold returns the time of the last hold call to a worker in an epoch.
func (w *fakeCluster) lastHold(id cell.WorkerID, epoch uint64) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	var last time.Time
	for _, h := range w.workers[id].holds {
		if h.epoch == epoch {
			last = h.at
		}
	}
	return last
}

// lastOtherThan returns the last host other than the given one. It is not a seed
// in tests with two or three seeds.
func (w *fakeCluster) lastOtherThan(h *fakeHost) *fakeHost {
	if last := w.order[len(w.order)-1]; last != h {
		return last
	}
	return w.order[len(w.order)-2]
}

// setFullReadTime sets how long a read of all accepted jobs takes.
func (w *fakeCluster) setFullReadTime(duration time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fullReadTime = duration
}

// failReads makes the reads of accepted jobs of one host fail from now on.
func (w *fakeCluster) failReads(h *fakeHost) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failingReads = h.name
}

// ownerRow returns the owner's row from the store.
func (w *fakeCluster) ownerRow() ledger.Owner {
	w.mu.Lock()
	defer w.mu.Unlock()
	state, err := election.DecodeState([]rowstore.Row{w.rows[ledger.OwnerKey()]})
	if err != nil {
		panic(err)
	}
	return state.Owner
}
