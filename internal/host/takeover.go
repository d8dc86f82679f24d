package host

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/election"
	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/ledger"
	"cicadabarrow.example/cicadabarrow/internal/owner"
)

const (
	// takeoverTimeout bounds the transaction of a takeover.
	takeoverTimeout = 2 * time.Second
	// takeoverJitter is the mean wait before a takeover, so that the hosts do
	// not all try at once.
	takeoverJitter = 40 * time.Millisecond
	// latencyFactor times the store's latency is how long a host lets nearer
	// ones go first, at most maxLatencyPart.
	latencyFactor   = 8
	maxLatencyDelay = 500 * time.Millisecond
	// yieldTime is how long a host that could not read the store after its
	// takeover leaves the cell to others.
	yieldTime = 1 * time.Second
	// releaseTimeout bounds the release of a cell that was won while the host
	// was told to leave.
	releaseTimeout = 1 * time.Second
)

// takeOver tries to become the owner after the state that was read. Hosts that
// can carry the cell better come first, and hosts near the store, since an owner's
// commits wait for it.
func (h *Host) takeOver(state election.State, sign election.Sign) {
	read := h.timers.Now()
	deference := h.config.Capacity.Deference() + min(latencyFactor*sign.Latency, maxLatencyDelay) + rand.N(takeoverJitter)
	if !h.sleep(deference) || h.stopping.Load() {
		return
	}
	if h.knownOwner().epoch > state.Owner.Epoch {
		return // another host was first, and has said so
	}
	if state.Clock != 0 {
		state.Clock += h.timers.Now().Sub(read)
	}
	self := h.config.Self
	ended := state.EarlierEnded(sign.Gone)
	t, me, err := state.Takeover(ledger.Owner{
		Host: self.Name, Incarnation: self.Incarnation, Addr: h.config.Addr, EarlierEnded: ended,
	})
	if err != nil {
		h.log.Error("takeover", zap.Error(err))
		return
	}
	ctx, cancel := context.WithTimeout(h.ctx, takeoverTimeout)
	defer cancel()
	result, err := h.platform.Store.Commit(ctx, t)
	if err != nil {
		h.log.Info("did not become the owner", zap.Uint64("Epoch", me.Epoch), zap.Error(err))
		return
	}
	h.log.Info("becoming the owner", zap.Uint64("Epoch", me.Epoch), zap.String("After", state.Owner.Host),
		zap.String("Doubt", h.suspicion.reason), zap.Bool("Gone", sign.Gone), zap.Duration("Unrenewed", sign.Unrenewed), zap.Int("Short", sign.Short),
		zap.Bool("Released", state.Owner.Released), zap.Duration("Deference", deference))
	h.assumeOwnership(owner.Tenure{Me: me, Version: result.Version, PreviousEnded: ended})
}

// assumeOwnership starts to own the cell. Peers see this host as the owner from here on,
// and it decides once it has read the store.
func (h *Host) assumeOwnership(t owner.Tenure) {
	t.Others = h.otherHosts()
	own := h.beginTenure(t)
	if own == nil {
		return
	}
	h.announce(t.Me.Epoch)
	if m := h.manifests.Current(); m != nil {
		own.SetManifest(m)
	}
	for _, wave := range h.knownWaves() {
		own.SetWave(wave)
	}
	if h.stopping.Load() {
		ctx, cancel := context.WithTimeout(h.ctx, releaseTimeout)
		defer cancel()
		own.Leave(ctx)
		h.endTenure(own)
	}
}

// beginTenure returns the new owner, or nil if the host is ending or knows of a
// later owner already.
func (h *Host) beginTenure(t owner.Tenure) *owner.Owner {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ctx.Err() != nil {
		return nil
	}
	if h.owner.epoch > t.Me.Epoch {
		h.log.Info("a later owner is known already", zap.Uint64("Epoch", t.Me.Epoch), zap.Uint64("Later", h.owner.epoch))
		return nil
	}
	h.running = owner.New(h.config.Owner, t, h.manifests.Current(), h.platform.Ports, h.advisors, h.timers, h.scope, h.log)
	h.setOwner(ownerRef{addr: h.config.Addr, incarnation: h.config.Self.Incarnation, epoch: t.Me.Epoch})
	return h.running
}

// otherHosts returns how many hosts there are beside this one, as far as it was
// told by the last owner or by its settings.
func (h *Host) otherHosts() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	seeds := 0
	for _, at := range h.config.Seeds {
		if at != h.config.Addr {
			seeds++
		}
	}
	return max(h.otherCount, seeds)
}

// endIfReplaced notes when this host owns the cell no more.
func (h *Host) endIfReplaced(own *owner.Owner) {
	select {
	case <-own.Done():
		h.log.Info("no longer the owner", zap.Uint64("Epoch", own.Epoch()), zap.Error(own.Err()))
		if fault.Is(own.Err(), owner.KindStore) {
			h.yieldUntil = h.timers.Now().Add(yieldTime)
		}
		h.endTenure(own)
	default:
	}
}

// endTenure notes that this host owns the cell no more.
func (h *Host) endTenure(own *owner.Owner) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.running == own {
		h.running = nil
		h.endedEpoch = max(h.endedEpoch, own.Epoch())
	}
}
