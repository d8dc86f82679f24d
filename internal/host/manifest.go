package host

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/rowstore"
	"cicadabarrow.example/cicadabarrow/internal/transfer"
)

const (
	// manifestWait is how long a long poll of the store waits for a new
	// manifest. It is short, since a store that compacts its history may leave
	// a waiting call without an answer.
	manifestWait = 1 * time.Second
	// manifestMargin is how long the answer may take beyond manifestWait.
	manifestMargin = 700 * time.Millisecond
	// readTimeout bounds a read of the store.
	readTimeout = 1500 * time.Millisecond
	// manifestRetryDelay is the mean delay after a failed call.
	manifestRetryDelay = 200 * time.Millisecond
)

// followManifest keeps the operator's newest manifest in force.
func (h *Host) followManifest() {
	stored := &storedManifest{}
	version, err := h.readManifest(stored)
	compacted := false
	for h.ctx.Err() == nil {
		if err == nil {
			version, err = h.nextManifest(stored, version)
		}
		if err == nil {
			compacted = false
			continue
		}
		compactedBefore := compacted
		compacted = fault.Is(err, rowstore.KindCompacted)
		if h.ctx.Err() == nil && (!compacted || compactedBefore) {
			h.log.Warn("cannot follow the manifest", zap.Error(err))
			h.sleep(manifestRetryDelay/2 + rand.N(manifestRetryDelay))
		}
		version, err = h.readManifest(stored)
	}
}

// readManifest reads the operator's rows and returns the version from which to
// follow changes.
func (h *Host) readManifest(stored *storedManifest) (uint64, error) {
	ctx, cancel := transfer.WithTimeout(h.ctx, readTimeout)
	defer cancel()
	table := h.platform.Manifests.Table()
	began := h.moment()
	snapshot, err := h.platform.Store.Read(ctx, rowstore.Range{Table: table})
	if err != nil {
		return 0, err
	}
	h.applyOperatorRows(snapshot.Rows, stored, false)
	h.confirmStored(stored, began)
	return snapshot.Version, nil
}

// nextManifest waits for changes after a version, applies them, and returns the
// version from which to go on.
func (h *Host) nextManifest(stored *storedManifest, version uint64) (uint64, error) {
	wait := h.manifestWait()
	ctx, cancel := transfer.WithTimeout(h.ctx, wait+manifestMargin)
	defer cancel()
	table := h.platform.Manifests.Table()
	began := h.moment()
	snapshot, err := h.platform.Store.Follow(ctx, table, version, wait)
	if err != nil {
		return version, err
	}
	h.applyOperatorRows(snapshot.Rows, stored, true)
	h.confirmStored(stored, began)
	return max(version, snapshot.Version), nil
}

// applyOperatorRows applies rows that were read, or changes from the feed.
func (h *Host) applyOperatorRows(rows []rowstore.Row, stored *storedManifest, feed bool) {
	for _, row := range rows {
		if row.Name == h.platform.Manifests.Name() {
			var decoded *manifest.Manifest
			if !row.Deleted {
				decoded = h.adopt(row.Value, "store")
			}
			stored.observe(row, decoded, feed)
			continue
		}
		wave, ok, err := h.platform.Manifests.Wave(row)
		if h.malformedRows.changed(row.Name, err) {
			h.log.Error("cannot decode a maintenance wave", zap.String("Row", row.Name), zap.Error(err))
		}
		if ok {
			h.applyWave(wave)
		}
	}
}

// applyWave records a maintenance wave and passes it to the owner if it runs
// here. This host may become the owner later and then needs all waves.
func (h *Host) applyWave(wave cell.Wave) {
	h.mu.Lock()
	h.waves[wave.Number] = wave
	running := h.running
	h.mu.Unlock()
	if running != nil {
		running.SetWave(wave)
	}
}

// knownWaves returns the maintenance waves in the order of their numbers.
func (h *Host) knownWaves() []cell.Wave {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.SortedFunc(maps.Values(h.waves), func(a, b cell.Wave) int { return cmp.Compare(a.Number, b.Number) })
}

// rawManifest is a manifest, encoded as the operator wrote it, and since when it has been
// in force on this host.
type rawManifest struct {
	version uint64
	content []byte
	since   time.Time
}

// adopt puts a manifest in force if it is newer than the current one. It returns the
// decoded manifest, or nil if it cannot be used.
func (h *Host) adopt(raw []byte, from string) *manifest.Manifest {
	m, err := h.platform.Manifests.Decode(raw)
	if h.malformedRows.changed(h.platform.Manifests.Name(), err) {
		h.log.Error("cannot decode a manifest; the last one stays in force", zap.String("From", from), zap.Error(err))
	}
	if err != nil {
		return nil
	}
	if !h.putInForce(m, raw) {
		return m
	}
	h.log.Info("manifest in force", zap.Uint64("Version", m.Version), zap.Int("Queues", len(m.Queues)), zap.Int("Accounts", len(m.Accounts)),
		zap.String("From", from))
	if running := h.runningOwner(); running != nil {
		running.SetManifest(m)
	}
	return m
}

func (h *Host) putInForce(m *manifest.Manifest, raw []byte) bool {
	h.adopting.Lock()
	defer h.adopting.Unlock()
	if !h.manifests.Adopt(m) {
		return false
	}
	h.rawManifest.Store(&rawManifest{version: m.Version, content: raw, since: h.timers.Now()})
	return true
}

// manifestVersion returns the version of the manifest in force, or 0 before the
// first one.
func (h *Host) manifestVersion() uint64 {
	if m := h.manifests.Current(); m != nil {
		return m.Version
	}
	return 0
}
