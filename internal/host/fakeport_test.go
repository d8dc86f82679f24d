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
	"cicadabarrow.example/cicadabarrow/internal/message"
	"cicadabarrow.example/cicadabarrow/internal/peer"
	"cicadabarrow.example/cicadabarrow/internal/permit"
	"cicadabarrow.example/cicadabarrow/internal/rowstore"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// fakePort connects one host to the store, the workers and its peers.
type fakePort struct {
	cluster *fakeCluster
	host    *fakeHost
}

// delay waits for the duration of a call, or until the context ends if the link
// is cut.
func (p *fakePort) delay(ctx context.Context, to string, duration time.Duration) error {
	if p.cluster.isCut(p.host.name, to) {
		<-ctx.Done()
		return fault.New("call", rowstore.KindUnknown, "%w", ctx.Err())
	}
	select {
	case <-time.After(duration):
		return nil
	case <-ctx.Done():
		return fault.New("call", rowstore.KindUnknown, "%w", ctx.Err())
	}
}

// Commit applies a transaction if its conditions hold.
func (p *fakePort) Commit(ctx context.Context, t rowstore.Transaction) (rowstore.Result, error) {
	w := p.cluster
	defer func() { time.Sleep(w.busyness(p.host).response) }()
	if err := p.delay(ctx, storeName, w.commitTime(t)); err != nil {
		return rowstore.Result{}, err
	}
	if late := w.lateCommit(p.host, t); late > 0 {
		time.AfterFunc(late, func() { _ = w.apply(t) })
		<-ctx.Done()
		return rowstore.Result{}, fault.New("commit", rowstore.KindUnknown, "%w", ctx.Err())
	}
	if err := w.apply(t); err != nil {
		return rowstore.Result{}, err
	}
	w.mu.Lock()
	w.commits++
	result := rowstore.Result{Version: w.version, Clock: w.clock()}
	lost := w.loseCommitEvery > 0 && w.commits%w.loseCommitEvery == 0
	w.mu.Unlock()
	if lost {
		<-ctx.Done()
		return rowstore.Result{}, fault.New("commit", rowstore.KindUnknown, "%w", ctx.Err())
	}
	return result, nil
}

// apply applies a transaction if its conditions hold.
func (w *fakeCluster) apply(t rowstore.Transaction) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range t.Conditions {
		if w.rows[c.Key].Version != c.Version {
			conflict := &rowstore.ConflictError{Rows: []rowstore.Row{w.rows[c.Key]}}
			return fault.New("commit", rowstore.KindConflict, "%w", conflict)
		}
	}
	w.version++
	for _, write := range t.Writes {
		w.rows[write.Key] = rowstore.Row{Key: write.Key, Value: write.Value, Version: w.version}
	}
	for _, key := range t.Deletes {
		delete(w.rows, key)
	}
	close(w.changed)
	w.changed = make(chan struct{})
	return nil
}

// lateCommit returns after what time the store carries out a transaction of a host that it
// does not answer; 0 if it answers.
func (w *fakeCluster) lateCommit(h *fakeHost, t rowstore.Transaction) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(t.Writes) == 0 || t.Writes[0].Table != ledger.TableIntake {
		return 0
	}
	return w.lateCommits[h.name]
}

// commitTime returns how long a transaction takes. The renewals of an owner can
// be made slower than a takeover.
func (w *fakeCluster) commitTime(t rowstore.Transaction) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, write := range t.Writes {
		row, err := ledger.DecodeOwner(write.Value)
		if write.Key == ledger.OwnerKey() && err == nil && row.TransactionNumber > 0 {
			return max(2*storeLatency, w.renewalTime)
		}
	}
	return 2 * storeLatency
}

// Read returns the rows of a range.
func (p *fakePort) Read(ctx context.Context, r rowstore.Range) (rowstore.Snapshot, error) {
	w := p.cluster
	defer func() { time.Sleep(w.busyness(p.host).response) }()
	w.countManifestRead(r)
	if err := p.delay(ctx, storeName, w.readTime(r)); err != nil {
		return rowstore.Snapshot{}, err
	}
	if w.loseRead(r) {
		<-ctx.Done()
		return rowstore.Snapshot{}, fault.New("read", rowstore.KindUnknown, "%w", ctx.Err())
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.Table == ledger.TableIntake && p.host.name == w.failingReads || w.rejectsManifestRead(r) {
		return rowstore.Snapshot{}, fault.New("read", rowstore.KindNotDone, "refused")
	}
	out := rowstore.Snapshot{Version: w.version, Clock: w.clock()}
	for key, row := range w.rows {
		if key.Table == r.Table && key.Partition == r.Partition && key.Name >= r.From {
			out.Rows = append(out.Rows, row)
		}
	}
	slices.SortFunc(out.Rows, func(a, b rowstore.Row) int { return strings.Compare(a.Name, b.Name) })
	return out, nil
}

// readTime returns how long a read of a range takes.
func (w *fakeCluster) readTime(r rowstore.Range) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.Table == ledger.TableIntake {
		return max(storeLatency, w.fullReadTime)
	}
	if r.Table == (fakeManifests{}).Table() {
		return max(storeLatency, w.manifestReadTime)
	}
	return storeLatency
}

// loseRead counts a read of accepted jobs, and reports whether its answer is
// lost.
func (w *fakeCluster) loseRead(r rowstore.Range) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.Table != ledger.TableIntake {
		return false
	}
	w.reads++
	return w.loseReadEvery > 0 && w.reads%w.loseReadEvery == 0
}

// Follow is a long poll for changes of a table.
func (p *fakePort) Follow(ctx context.Context, table string, after uint64, wait time.Duration) (rowstore.Snapshot, error) {
	until := time.Now().Add(wait)
	for {
		if err := p.delay(ctx, storeName, storeLatency); err != nil {
			return rowstore.Snapshot{}, err
		}
		w := p.cluster
		if w.stalls(table) {
			<-ctx.Done()
			return rowstore.Snapshot{}, fault.New("follow", rowstore.KindUnknown, "%w", ctx.Err())
		}
		w.mu.Lock()
		out := rowstore.Snapshot{Version: w.version}
		for _, row := range w.rows {
			if row.Table == table && row.Version > after {
				out.Rows = append(out.Rows, row)
			}
		}
		if table == (fakeManifests{}).Table() {
			out.Rows = w.manifestsAfter(after)
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

// Ask calls a peer. A host that is down refuses the connection.
func (p *fakePort) Ask(ctx context.Context, to netip.AddrPort, m peer.Message) (peer.Host, peer.Message, error) {
	w := p.cluster
	other, known := w.hosts[to]
	if !known {
		return peer.Host{}, peer.Message{}, fault.New("ask", KindNotDone, "no host at %v", to)
	}
	if err := p.delay(ctx, other.name, peerLatency+w.busyness(p.host).response+w.busyness(other).answerTime()); err != nil {
		return peer.Host{}, peer.Message{}, err
	}
	w.mu.Lock()
	called, starts := other.host, other.starts
	silent := m.Kind == message.KindManifestRequest && other.name == w.keepsManifest
	w.mu.Unlock()
	if silent {
		<-ctx.Done()
		return peer.Host{}, peer.Message{}, fault.New("ask", KindNotDone, "%w", ctx.Err())
	}
	if called == nil {
		return peer.Host{}, peer.Message{}, errRefused
	}
	reply, err := called.Handle(ctx, peer.Host{Name: p.host.name}, m)
	w.countManifest(p.host, reply)
	return peer.Host{Name: other.name, DataCentre: fakeDataCentre, Incarnation: fmt.Sprintf("%s/%d", other.name, starts)}, reply, err
}

// Hold records the hold of a worker, unless the worker has seen a later epoch.
func (p *fakePort) Hold(ctx context.Context, plan cell.HoldRequest, fence uint64) (cell.Report, error) {
	if err := p.delay(ctx, string(plan.Worker), peerLatency); err != nil {
		return cell.Report{}, err
	}
	if err := permit.Verify(ctx); err != nil {
		return cell.Report{}, err
	}
	w := p.cluster
	w.mu.Lock()
	worker := w.workers[plan.Worker]
	fenced := fence < worker.fence
	if !fenced {
		worker.fence = fence
		worker.holds = append(worker.holds, hold{time.Now(), fence, plan.Deadline})
	}
	w.mu.Unlock()
	if fenced {
		return cell.Report{}, fault.New("hold", KindNotDone, "%w", cell.ErrFenced)
	}
	if err := p.delay(ctx, string(plan.Worker), plan.Wait); err != nil {
		return cell.Report{}, err
	}
	return cell.Report{Incarnation: 1, Clock: time.Since(time.Unix(0, 0))}, nil
}

// Start is not called, since no job is submitted.
func (p *fakePort) Start(context.Context, netip.AddrPort, cell.SendStart, uint64) (cell.StartOutcome, error) {
	return cell.StartOutcome{NotSent: true}, nil
}

// Stop is not called, since no task runs.
func (p *fakePort) Stop(context.Context, netip.AddrPort, cell.SendStop, uint64) (time.Duration, error) {
	return 0, nil
}

// SetPace is not called, since no task runs.
func (p *fakePort) SetPace(context.Context, netip.AddrPort, cell.SetPace, uint64) error { return nil }

// Advise is not called, since no step waits.
func (p *fakePort) Advise(context.Context, workload.StepID, []cell.WorkerID) (cell.Advice, error) {
	return cell.Advice{}, nil
}

// Maintenance is not called, since there is no maintenance wave.
func (p *fakePort) Maintenance(context.Context, cell.Maintenance, uint64) (cell.MaintenanceOutcome, error) {
	return cell.MaintenanceRetry, nil
}

// WaveRow is not called, since there is no maintenance wave.
func (p *fakePort) WaveRow(cell.WaveStatus) (rowstore.Write, error) { return rowstore.Write{}, nil }

// fakeListing decodes the registrations of the workers.
type fakeListing struct{}

func (fakeListing) Table() string { return workersTable }

func (fakeListing) Decode(row rowstore.Row) (cell.Registration, error) {
	return cell.Registration{
		ID: cell.WorkerID(row.Name), Incarnation: 1, Service: "s", Addr: netip.MustParseAddrPort("10.0.1.1:1"),
	}, nil
}

// fakeManifests decodes every row as an empty manifest.
type fakeManifests struct{}

func (fakeManifests) Table() string                              { return "operator" }
func (fakeManifests) Name() string                               { return "manifest" }
func (fakeManifests) Decode([]byte) (*manifest.Manifest, error)  { return &manifest.Manifest{}, nil }
func (fakeManifests) Wave(rowstore.Row) (cell.Wave, bool, error) { return cell.Wave{}, false, nil }
func workerIDs(workers map[cell.WorkerID]*fakeWorker) []cell.WorkerID {
	return slices.Sorted(maps.Keys(workers))
}
