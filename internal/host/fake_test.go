package host

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/owner"
	"cicadabarrow.example/cicadabarrow/internal/peer"
	"cicadabarrow.example/cicadabarrow/internal/rowstore"
	"cicadabarrow.example/cicadabarrow/internal/timer"
	"cicadabarrow.example/cicadabarrow/internal/workload"
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
	h.lives++
	self := peer.Host{Name: h.name, DataCentre: "dc", Incarnation: fmt.Sprintf("%s/%d", h.name, h.lives)}
	config := Config{Self: self, Addr: h.addr, Seeds: w.seeds, Patience: fakePatience}
	config.Owner = owner.Config{
		RenewEvery: 400 * time.Millisecond,
		Cell: cell.Config{
			Lease: 3200 * time.Millisecond, MaxLease: 6 * time.Second, ContactFor: 1500 * time.Millisecond,
			StopRepeat: 800 * time.Millisecond, KeepEnded: time.Minute,
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

// fakePort is how one host meets the store, the workers and its peers.
type fakePort struct {
	world *fakeWorld
	host  *fakeHost
}

// travel lets a call take its time, or hang on a cut.
func (p *fakePort) travel(ctx context.Context, to string, took time.Duration) error {
	if p.world.isCut(p.host.name, to) {
		<-ctx.Done()
		return fault.New("call", rowstore.KindUnknown, "%w", ctx.Err())
	}
	select {
	case <-time.After(took):
		return nil
	case <-ctx.Done():
		return fault.New("call", rowstore.KindUnknown, "%w", ctx.Err())
	}
}

// Commit carries out a transaction.
func (p *fakePort) Commit(ctx context.Context, t rowstore.Transaction) (rowstore.Result, error) {
	if err := p.travel(ctx, storeName, 2*storeLatency); err != nil {
		return rowstore.Result{}, err
	}
	w := p.world
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range t.Conditions {
		if w.rows[c.Key].Version != c.Version {
			conflict := &rowstore.ConflictError{Rows: []rowstore.Row{w.rows[c.Key]}}
			return rowstore.Result{}, fault.New("commit", rowstore.KindConflict, "%w", conflict)
		}
	}
	w.version++
	for _, write := range t.Writes {
		w.rows[write.Key] = rowstore.Row{Key: write.Key, Value: write.Value, Version: w.version}
	}
	for _, key := range t.Removes {
		delete(w.rows, key)
	}
	close(w.changed)
	w.changed = make(chan struct{})
	return rowstore.Result{Version: w.version, Clock: w.clock()}, nil
}

// Read returns the rows of a range.
func (p *fakePort) Read(ctx context.Context, r rowstore.Range) (rowstore.Snapshot, error) {
	if err := p.travel(ctx, storeName, storeLatency); err != nil {
		return rowstore.Snapshot{}, err
	}
	w := p.world
	w.mu.Lock()
	defer w.mu.Unlock()
	out := rowstore.Snapshot{Version: w.version, Clock: w.clock()}
	for key, row := range w.rows {
		if key.Table == r.Table && key.Part == r.Part && key.Name >= r.From {
			out.Rows = append(out.Rows, row)
		}
	}
	slices.SortFunc(out.Rows, func(a, b rowstore.Row) int { return strings.Compare(a.Name, b.Name) })
	return out, nil
}

// Follow waits for changes of a table.
func (p *fakePort) Follow(ctx context.Context, table string, after uint64, wait time.Duration) (rowstore.Snapshot, error) {
	until := time.Now().Add(wait)
	for {
		if err := p.travel(ctx, storeName, storeLatency); err != nil {
			return rowstore.Snapshot{}, err
		}
		w := p.world
		w.mu.Lock()
		out := rowstore.Snapshot{Version: w.version}
		for _, row := range w.rows {
			if row.Table == table && row.Version > after {
				out.Rows = append(out.Rows, row)
			}
		}
		changed := w.changed
		w.mu.Unlock()
		if len(out.Rows) > 0 || !time.Now().Before(until) {
			return out, nil
		}
		select {
		case <-changed:
		case <-time.After(time.Until(until)):
		case <-ctx.Done():
			return rowstore.Snapshot{}, fault.New("follow", rowstore.KindUnknown, "%w", ctx.Err())
		}
	}
}

// Ask calls a peer.
func (p *fakePort) Ask(ctx context.Context, to netip.AddrPort, m peer.Message) (peer.Host, peer.Message, error) {
	w := p.world
	other, known := w.hosts[to]
	if !known {
		return peer.Host{}, peer.Message{}, fault.New("ask", KindNotDone, "no host at %v", to)
	}
	if err := p.travel(ctx, other.name, peerLatency); err != nil {
		return peer.Host{}, peer.Message{}, err
	}
	w.mu.Lock()
	called, lives := other.host, other.lives
	w.mu.Unlock()
	if called == nil {
		return peer.Host{}, peer.Message{}, errRefused
	}
	reply, err := called.Handle(ctx, peer.Host{Name: p.host.name}, m)
	return peer.Host{Name: other.name, Incarnation: fmt.Sprintf("%s/%d", other.name, lives)}, reply, err
}

// Hold notes who holds a worker.
func (p *fakePort) Hold(ctx context.Context, plan cell.HoldPlan, fence uint64) (cell.Report, error) {
	if err := p.travel(ctx, string(plan.Worker), peerLatency); err != nil {
		return cell.Report{}, err
	}
	w := p.world
	w.mu.Lock()
	worker := w.workers[plan.Worker]
	fenced := fence < worker.fence
	if !fenced {
		worker.fence = fence
		worker.held = append(worker.held, held{time.Now(), fence})
	}
	w.mu.Unlock()
	if fenced {
		return cell.Report{}, fault.New("hold", KindNotDone, "%w", cell.ErrFenced)
	}
	if err := p.travel(ctx, string(plan.Worker), plan.Wait); err != nil {
		return cell.Report{}, err
	}
	return cell.Report{Incarnation: 1, Clock: time.Since(time.Unix(0, 0))}, nil
}

// Start is not called, since nothing is handed in.
func (p *fakePort) Start(context.Context, netip.AddrPort, cell.SendStart, uint64) (cell.StartOutcome, error) {
	return cell.StartOutcome{NotSent: true}, nil
}

// Stop is not called, since nothing runs.
func (p *fakePort) Stop(context.Context, netip.AddrPort, cell.SendStop, uint64) (time.Duration, error) {
	return 0, nil
}

// SetPace is not called, since nothing runs.
func (p *fakePort) SetPace(context.Context, netip.AddrPort, cell.SetPace, uint64) error { return nil }

// Advise is not called, since nothing waits.
func (p *fakePort) Advise(context.Context, workload.StepID, []cell.WorkerID) (cell.Advice, error) {
	return cell.Advice{}, nil
}

// Upkeep is not called, since there is no wave.
func (p *fakePort) Upkeep(context.Context, cell.Upkeep, uint64) (cell.UpkeepOutcome, error) {
	return cell.UpkeepLater, nil
}

// WaveRow is not called, since there is no wave.
func (p *fakePort) WaveRow(cell.WaveState) (rowstore.Write, error) { return rowstore.Write{}, nil }

// fakeListing reads the list of workers.
type fakeListing struct{}

func (fakeListing) Table() string { return tableWorkers }

func (fakeListing) Decode(row rowstore.Row) (cell.Sighting, error) {
	return cell.Sighting{
		ID: cell.WorkerID(row.Name), Incarnation: 1, Service: "s", Addr: netip.MustParseAddrPort("10.0.1.1:1"),
	}, nil
}

// fakeManifests holds no manifest.
type fakeManifests struct{}

func (fakeManifests) Table() string                              { return "operator" }
func (fakeManifests) Name() string                               { return "manifest" }
func (fakeManifests) Decode([]byte) (*manifest.Manifest, error)  { return &manifest.Manifest{}, nil }
func (fakeManifests) Wave(rowstore.Row) (cell.Wave, bool, error) { return cell.Wave{}, false, nil }
func names(workers map[cell.WorkerID]*fakeWorker) []cell.WorkerID {
	return slices.Sorted(maps.Keys(workers))
}

// otherThan returns a host that is no seed.
func (w *fakeWorld) otherThan(h *fakeHost) *fakeHost {
	if last := w.order[len(w.order)-1]; last != h {
		return last
	}
	return w.order[len(w.order)-2]
}
