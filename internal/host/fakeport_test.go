package host

import (
	"context"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/ledger"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/peer"
	"cicadabarrow.example/cicadabarrow/internal/rowstore"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

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
	w := p.world
	if err := p.travel(ctx, storeName, w.commitTime(t)); err != nil {
		return rowstore.Result{}, err
	}
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
	w.commits++
	if w.loseEvery > 0 && w.commits%w.loseEvery == 0 {
		w.mu.Unlock()
		<-ctx.Done()
		w.mu.Lock()
		return rowstore.Result{}, fault.New("commit", rowstore.KindUnknown, "%w", ctx.Err())
	}
	return rowstore.Result{Version: w.version, Clock: w.clock()}, nil
}

// commitTime returns how long a transaction takes: one of an owner may take longer
// than a takeover.
func (w *fakeWorld) commitTime(t rowstore.Transaction) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, write := range t.Writes {
		row, err := ledger.DecodeOwner(write.Value)
		if write.Key == ledger.OwnerKey() && err == nil && row.Attempt > 0 {
			return max(2*storeLatency, w.renewalTakes)
		}
	}
	return 2 * storeLatency
}

// Read returns the rows of a range.
func (p *fakePort) Read(ctx context.Context, r rowstore.Range) (rowstore.Snapshot, error) {
	w := p.world
	if err := p.travel(ctx, storeName, w.readTakes(r)); err != nil {
		return rowstore.Snapshot{}, err
	}
	if w.losesRead(r) {
		<-ctx.Done()
		return rowstore.Snapshot{}, fault.New("read", rowstore.KindUnknown, "%w", ctx.Err())
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.Table == ledger.TableIntake && p.host.name == w.unread {
		return rowstore.Snapshot{}, fault.New("read", rowstore.KindNotDone, "refused")
	}
	out := rowstore.Snapshot{Version: w.version, Clock: w.clock()}
	for key, row := range w.rows {
		if key.Table == r.Table && key.Part == r.Part && key.Name >= r.From {
			out.Rows = append(out.Rows, row)
		}
	}
	slices.SortFunc(out.Rows, func(a, b rowstore.Row) int { return strings.Compare(a.Name, b.Name) })
	return out, nil
}

// readTakes returns how long the read of a range takes.
func (w *fakeWorld) readTakes(r rowstore.Range) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.Table == ledger.TableIntake {
		return max(storeLatency, w.wholeReads)
	}
	return storeLatency
}

// losesRead reports whether the answer to a read is lost.
func (w *fakeWorld) losesRead(r rowstore.Range) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.Table != ledger.TableIntake {
		return false
	}
	w.reads++
	return w.loseReads > 0 && w.reads%w.loseReads == 0
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
func (p *fakePort) Hold(ctx context.Context, plan cell.HoldRequest, fence uint64) (cell.Report, error) {
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

// Maintenance is not called, since there is no wave.
func (p *fakePort) Maintenance(context.Context, cell.Maintenance, uint64) (cell.MaintenanceOutcome, error) {
	return cell.MaintenanceRetry, nil
}

// WaveRow is not called, since there is no wave.
func (p *fakePort) WaveRow(cell.WaveStatus) (rowstore.Write, error) { return rowstore.Write{}, nil }

// fakeListing reads the list of workers.
type fakeListing struct{}

func (fakeListing) Table() string { return tableWorkers }

func (fakeListing) Decode(row rowstore.Row) (cell.Registration, error) {
	return cell.Registration{
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
