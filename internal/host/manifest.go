package host

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/rowstore"
)

const (
	// manifestWait is how long the store waits for a new manifest. A store
	// that drops its history may leave a waiting call without news.
	manifestWait = 1 * time.Second
	// manifestMargin is how long its answer may take beyond that.
	manifestMargin = 700 * time.Millisecond
	// readTimeout bounds a read of the store.
	readTimeout = 1500 * time.Millisecond
	// manifestRetryDelay is the mean wait after a failed call.
	manifestRetryDelay = 200 * time.Millisecond
)

// followManifest keeps the operator's newest manifest in force.
func (h *Host) followManifest() {
	version, err := h.readManifest()
	for h.ctx.Err() == nil {
		if err == nil {
			version, err = h.nextManifest(version)
		}
		if err == nil {
			continue
		}
		if h.ctx.Err() == nil && !fault.Is(err, rowstore.KindCompacted) {
			h.log.Warn("following the manifest failed", zap.Error(err))
			h.sleep(manifestRetryDelay/2 + rand.N(manifestRetryDelay))
		}
		version, err = h.readManifest()
	}
}

// readManifest reads the manifest and returns the version to follow from.
func (h *Host) readManifest() (uint64, error) {
	ctx, cancel := context.WithTimeout(h.ctx, readTimeout)
	defer cancel()
	table := h.platform.Manifests.Table()
	snapshot, err := h.platform.Store.Read(ctx, rowstore.Range{Table: table})
	if err != nil {
		return 0, err
	}
	h.applyOperatorRows(snapshot.Rows)
	return snapshot.Version, nil
}

// nextManifest waits for a change.
func (h *Host) nextManifest(version uint64) (uint64, error) {
	ctx, cancel := context.WithTimeout(h.ctx, manifestWait+manifestMargin)
	defer cancel()
	table := h.platform.Manifests.Table()
	snapshot, err := h.platform.Store.Follow(ctx, table, version, manifestWait)
	if err != nil {
		return version, err
	}
	h.applyOperatorRows(snapshot.Rows)
	return max(version, snapshot.Version), nil
}

func (h *Host) applyOperatorRows(rows []rowstore.Row) {
	for _, row := range rows {
		if row.Name == h.platform.Manifests.Name() && !row.Removed {
			h.adopt(row.Value, "store")
			continue
		}
		wave, ok, err := h.platform.Manifests.Wave(row)
		if err != nil {
			h.log.Error("a wave of maintenance cannot be read", zap.String("Row", row.Name), zap.Error(err))
		}
		if ok {
			h.applyWave(wave)
		}
	}
}

// applyWave keeps a wave of maintenance for the owner, which may be this host later.
func (h *Host) applyWave(wave cell.Wave) {
	h.mu.Lock()
	h.waves[wave.Number] = wave
	own := h.running
	h.mu.Unlock()
	if own != nil {
		own.SetWave(wave)
	}
}

// knownWaves returns the waves in the order of their numbers.
func (h *Host) knownWaves() []cell.Wave {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.SortedFunc(maps.Values(h.waves), func(a, b cell.Wave) int { return cmp.Compare(a.Number, b.Number) })
}

// adopt puts a manifest in force if it is newer.
func (h *Host) adopt(raw []byte, from string) {
	m, err := h.platform.Manifests.Decode(raw)
	if err != nil {
		h.log.Error("a manifest cannot be read; the last one stays in force", zap.String("From", from), zap.Error(err))
		return
	}
	if !h.manifests.Adopt(m) {
		return
	}
	h.rawManifest.Store(&raw)
	h.log.Info("manifest in force", zap.Uint64("Version", m.Version), zap.Int("Queues", len(m.Queues)),
		zap.String("From", from))
	if own := h.runningOwner(); own != nil {
		own.SetManifest(m)
	}
}

// manifestVersion returns the version in force, 0 before the first one.
func (h *Host) manifestVersion() uint64 {
	if m := h.manifests.Current(); m != nil {
		return m.Version
	}
	return 0
}
