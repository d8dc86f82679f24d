package host

import (
	"fmt"
	"io"
	"net/netip"
	"slices"
	"sync"
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

// fakeWorld holds entry hosts, a store and workers in the memory of a test,
// which runs in virtual time. Any two of them can be cut from each other.
type fakeWorld struct {
	mu    sync.Mutex
	hosts map[netip.AddrPort]*fakeHost
	order []*fakeHost
	rows  map[rowstore.Key]rowstore.Row
	// changed is closed and made anew with each transaction.
	changed chan struct{}
	version uint64
	// cut holds the pairs of names that do not reach each other.
	cut     map[[2]string]bool
	workers map[cell.WorkerID]*fakeWorker
	seeds   []netip.AddrPort
	began   time.Time
	// commits counts the transactions; of each loseEvery the answer is lost.
	commits   int
	loseEvery int
	// wholeReads is how long a read of all accepted jobs takes.
	wholeReads time.Duration
	// renewalTakes is how long a transaction of an owner takes, if that is long.
	renewalTakes time.Duration
	// reads counts the reads of accepted jobs; of each loseReads the answer is
	// lost.
	reads     int
	loseReads int
	// unread is a host whose reads of accepted jobs fail.
	unread string
	// session tells what happened, for failed tests.
	session []string
}

// clock is the store's steady clock.
func (w *fakeWorld) clock() time.Duration { return time.Hour + time.Since(w.began) }

// note adds a line to the session. The caller holds the lock.
func (w *fakeWorld) note(format string, args ...any) {
	w.session = append(w.session, fmt.Sprintf("%8v ", time.Since(w.began).Round(time.Millisecond))+fmt.Sprintf(format, args...))
}

// log returns a log whose lines about ownership go into the session.
func (w *fakeWorld) log(h *fakeHost) *zap.Logger {
	told := []string{"becoming the owner", "no longer the owner", "cut off from the store and from most hosts"}
	core := zapcore.NewCore(zapcore.NewJSONEncoder(zapcore.EncoderConfig{}), zapcore.AddSync(io.Discard), zapcore.InfoLevel)
	return zap.New(core, zap.Hooks(func(e zapcore.Entry) error {
		if slices.Contains(told, e.Message) {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.note("%s: %s", h.name, e.Message)
		}
		return nil
	}))
}

// fakeWorker keeps the highest fencing token and who held it when.
type fakeWorker struct {
	fence uint64
	held  []held
}

type held struct {
	at    time.Time
	epoch uint64
}

// fakeHost is one entry host; host is nil while it is down.
type fakeHost struct {
	name  string
	addr  netip.AddrPort
	lives int
	host  *Host
	// capacity is what the host says of itself; the zero value is nothing.
	capacity election.Capacity
}

const (
	storeName    = "store"
	storeLatency = 4 * time.Millisecond
	peerLatency  = 2 * time.Millisecond
	tableWorkers = "workers"
	fakePatience = 600 * time.Millisecond
)

func newFakeWorld(hosts, workers int) *fakeWorld {
	w := &fakeWorld{
		hosts: make(map[netip.AddrPort]*fakeHost), rows: make(map[rowstore.Key]rowstore.Row), changed: make(chan struct{}),
		began: time.Now(), cut: make(map[[2]string]bool), workers: make(map[cell.WorkerID]*fakeWorker),
	}
	for i := range workers {
		id := cell.WorkerID(fmt.Sprintf("w%d", i))
		w.workers[id] = &fakeWorker{}
		key := rowstore.Key{Table: tableWorkers, Name: string(id)}
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

// start begins a life of a host.
func (w *fakeWorld) start(h *fakeHost) {
	w.mu.Lock()
	h.lives++
	w.mu.Unlock()
	self := peer.Host{Name: h.name, DataCentre: "dc", Incarnation: fmt.Sprintf("%s/%d", h.name, h.lives)}
	config := Config{Self: self, Addr: h.addr, Seeds: w.seeds, Patience: fakePatience, Capacity: h.capacity}
	config.Owner = owner.Config{
		RenewEvery: 400 * time.Millisecond, Readers: h.capacity.Readers(),
		Cell: cell.Config{
			Lease: 3200 * time.Millisecond, MaxLease: 6 * time.Second, ContactTimeout: 1500 * time.Millisecond,
			StopRetryInterval: 800 * time.Millisecond, KeepEnded: time.Minute,
		},
	}
	port := &fakePort{world: w, host: h}
	started := New(config, Platform{
		Ports:     owner.Ports{Store: port, Workers: port, Listing: fakeListing{}, Advisor: port, Machines: port, WaveRows: port},
		Manifests: fakeManifests{},
	}, port, timer.NewSystem(), tally.NoopScope, w.log(h))
	w.mu.Lock()
	defer w.mu.Unlock()
	h.host = started
	w.note("%s started", h.name)
}

// stop ends a host as a kill does: its port refuses from now on.
func (w *fakeWorld) stop(h *fakeHost) {
	w.mu.Lock()
	ended := h.host
	h.host = nil
	w.note("%s stopped", h.name)
	w.mu.Unlock()
	if ended != nil {
		ended.Close()
	}
}

func (w *fakeWorld) stopAll() {
	for _, h := range w.order {
		w.stop(h)
	}
}

// setCut cuts a host from others, or heals the cut.
func (w *fakeWorld) setCut(h *fakeHost, cut bool, others ...string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.note("%s cut=%v %v", h.name, cut, others)
	for _, other := range others {
		w.cut[[2]string{h.name, other}] = cut
		w.cut[[2]string{other, h.name}] = cut
	}
}

// otherHosts returns the names of all hosts but one.
func (w *fakeWorld) otherHosts(than *fakeHost) []string {
	var out []string
	for _, h := range w.order {
		if h != than {
			out = append(out, h.name)
		}
	}
	return out
}

func (w *fakeWorld) isCut(a, b string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cut[[2]string{a, b}]
}

// owners returns the hosts that believe that they own the cell.
func (w *fakeWorld) owners() []*fakeHost {
	var out []*fakeHost
	for _, h := range w.order {
		if h.host == nil {
			continue
		}
		if own := h.host.owning(); own != nil && own.Err() == nil {
			out = append(out, h)
		}
	}
	return out
}

// lastHold returns when a worker was last held in an epoch.
func (w *fakeWorld) lastHold(id cell.WorkerID, epoch uint64) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	var last time.Time
	for _, h := range w.workers[id].held {
		if h.epoch == epoch {
			last = h.at
		}
	}
	return last
}

// otherThan returns a host that is no seed.
func (w *fakeWorld) otherThan(h *fakeHost) *fakeHost {
	if last := w.order[len(w.order)-1]; last != h {
		return last
	}
	return w.order[len(w.order)-2]
}

// slowDown makes each read of all accepted jobs take a time.
func (w *fakeWorld) slowDown(wholeReads time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.wholeReads = wholeReads
}

// failReads makes a host's reads of accepted jobs fail from now on.
func (w *fakeWorld) failReads(h *fakeHost) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unread = h.name
}

// row returns the owner's row as it is in the store.
func (w *fakeWorld) row() ledger.Owner {
	w.mu.Lock()
	defer w.mu.Unlock()
	state, err := election.ReadState([]rowstore.Row{w.rows[ledger.OwnerKey()]})
	if err != nil {
		panic(err)
	}
	return state.Owner
}
