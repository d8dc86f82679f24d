package host

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/message"
)

const (
	// manifestGrace is how long a manifest is in force on this host before it is passed
	// on. Hosts that reach the store read it from there meanwhile.
	manifestGrace = 1500 * time.Millisecond
	// manifestBytesPerSecond bounds what a host passes on. A large manifest for all hosts
	// would fill the link that the owner's calls need.
	manifestBytesPerSecond = 512 << 10
	// fetchTimeout bounds a call for a manifest.
	fetchTimeout = 2 * time.Second
)

// newerManifest tracks which newer manifest other hosts have in force. The zero value
// knows of none.
type newerManifest struct {
	mu      sync.Mutex
	version uint64
	// from is a host that has the version. near is set if it is in the data centre of
	// this one.
	from netip.AddrPort
	near bool
}

// observe records that a host has a version. It returns whether that is the first news of
// a newer manifest than the one in force.
func (n *newerManifest) observe(inForce, version uint64, from netip.AddrPort, near bool) bool {
	if version <= inForce {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	first := n.version <= inForce
	if first {
		n.from, n.near = netip.AddrPort{}, false
	}
	n.version = max(n.version, version)
	if near || !n.near {
		n.from, n.near = from, near
	}
	return first
}

// source returns a host that has a newer manifest than the one in force. The address is
// invalid if such a manifest is known, but no host to ask for it. ok is false if none is
// known.
func (n *newerManifest) source(inForce uint64) (from netip.AddrPort, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.from, n.version > inForce
}

// forget drops a source that has not sent its manifest. Another one that tells of the
// version takes its place.
func (n *newerManifest) forget(from netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.from == from {
		n.from, n.near = netip.AddrPort{}, false
	}
}

// noteManifest records which version a host has in force.
func (h *Host) noteManifest(version uint64, from netip.AddrPort, dataCentre string) {
	near := dataCentre == h.config.Self.DataCentre
	if !h.newer.observe(h.manifestVersion(), version, from, near) {
		return
	}
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
		from, ok := h.newer.source(h.manifestVersion())
		if !ok {
			return
		}
		if from.IsValid() && h.fetchManifest(from) {
			continue
		}
		h.newer.forget(from)
		h.sleep(manifestRetryDelay/2 + rand.N(manifestRetryDelay))
	}
}

// fetchManifest asks a host for its manifest and puts it in force. It reports whether
// the host has sent one that is usable.
func (h *Host) fetchManifest(from netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(h.ctx, fetchTimeout)
	defer cancel()
	request := message.EncodeManifestRequest(message.ManifestRequest{Version: h.manifestVersion()})
	host, reply, err := h.peers.Ask(ctx, from, request)
	if err != nil {
		h.log.Debug("a host does not pass its manifest on", zap.Stringer("Addr", from), zap.Error(err))
		return false
	}
	m, err := message.DecodeManifestContent(reply)
	return err == nil && len(m.Content) > 0 && h.adopt(m.Content, host.Name) != nil
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
