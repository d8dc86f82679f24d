package host

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/lateanswer"
	"cicadabarrow.example/cicadabarrow/internal/message"
	"cicadabarrow.example/cicadabarrow/internal/peer"
)

const (
	// manifestGrace is how long a manifest is in force on this host before it is passed
	// on. Hosts that reach the store read it from there meanwhile.
	manifestGrace = 1500 * time.Millisecond
	// manifestBytesPerSecond bounds what a host passes on. A large manifest for all hosts
	// would fill the link that the owner's calls need.
	manifestBytesPerSecond = 512 << 10
	// fetchTimeout is how long a host waits for a manifest before it asks another host. A
	// manifest that arrives later is used all the same.
	fetchTimeout = 1500 * time.Millisecond
)

// noteManifest records which version a host has in force, as a pong tells that took
// pingTime.
func (h *Host) noteManifest(version uint64, from netip.AddrPort, dataCentre string, pingTime time.Duration) {
	if version <= h.manifestVersion() {
		return
	}
	near := dataCentre == h.config.Self.DataCentre
	h.sources.observe(h.timers.Now(), from, manifestSource{version: version, near: near, pingTime: pingTime})
	select {
	case h.newerKnown <- struct{}{}:
	default:
	}
}

// fetchManifests asks other hosts for a manifest that this host has not got from the store
// in time. It asks one host at a time, since each answer has the whole manifest.
func (h *Host) fetchManifests() {
	for {
		select {
		case <-h.newerKnown:
			h.fetchNewer()
		case <-h.ctx.Done():
			return
		}
	}
}

// fetchNewer returns once no newer manifest than the one in force is known.
func (h *Host) fetchNewer() {
	for h.ctx.Err() == nil {
		from, ok := h.sources.next(h.timers.Now(), h.manifestVersion())
		if !ok {
			return
		}
		if from.IsValid() {
			h.sources.noteOutcome(from, h.fetchManifest(from))
		}
		h.sleep(manifestRetryDelay/2 + rand.N(manifestRetryDelay))
	}
}

// fetchOutcome is what came of a call for a manifest.
type fetchOutcome int

const (
	// fetchDeferred means that the host does not pass its manifest on yet.
	fetchDeferred fetchOutcome = iota
	// fetchUsed means that the manifest has been decoded.
	fetchUsed
	// fetchFailed means that there was no answer in time.
	fetchFailed
	// fetchUnusable means that the manifest cannot be decoded.
	fetchUnusable
)

// fetchManifest asks a host for its manifest and puts it in force.
func (h *Host) fetchManifest(from netip.AddrPort) fetchOutcome {
	ctx, cancel := context.WithTimeout(h.ctx, fetchTimeout)
	defer cancel()
	ctx = lateanswer.With(ctx, func(reply peer.Message) {
		h.sources.noteOutcome(from, h.adoptContent(reply, from.String()))
	})
	request := message.EncodeManifestRequest(message.ManifestRequest{Version: h.manifestVersion()})
	host, reply, err := h.peers.Ask(ctx, from, request)
	if err != nil {
		h.log.Debug("a host does not pass its manifest on", zap.Stringer("Addr", from), zap.Error(err))
		return fetchFailed
	}
	return h.adoptContent(reply, host.Name)
}

// adoptContent puts the manifest of another host in force.
func (h *Host) adoptContent(reply peer.Message, from string) fetchOutcome {
	m, err := message.DecodeManifestContent(reply)
	switch {
	case err != nil:
		return fetchUnusable
	case len(m.Content) == 0:
		return fetchDeferred
	case h.adopt(m.Content, from) == nil:
		return fetchUnusable
	}
	h.confirmAnnounced()
	return fetchUsed
}

// passManifest returns the manifest in force for a host that has an earlier version, or
// nil if it may not be passed on yet.
func (h *Host) passManifest(version uint64) []byte {
	now := h.timers.Now()
	m := h.rawManifest.Load()
	if m == nil || m.version <= version || now.Sub(m.since) < manifestGrace {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Before(h.passManifestAt) {
		return nil
	}
	h.passManifestAt = now.Add(time.Duration(len(m.content)) * time.Second / manifestBytesPerSecond)
	return m.content
}

// manifestForEarlierRelease returns the manifest that a pong brings to a host of an earlier
// release, which does not ask for it.
func (h *Host) manifestForEarlierRelease(ping message.HostPing) []byte {
	if ping.FetchesManifest {
		return nil
	}
	return h.passManifest(ping.Manifest)
}
