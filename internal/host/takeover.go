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
	// takeoverJitter bounds the random part of the delay before a takeover, so
	// that the hosts do not all try at once.
	takeoverJitter = 40 * time.Millisecond
	// delayPerLatency times the store's latency is the part of the delay that
	// lets hosts with a lower latency to the store go first. maxLatencyDelay
	// bounds it.
	delayPerLatency = 8
	maxLatencyDelay = 500 * time.Millisecond
	// delayPerRank times the rank of a host in the owner's list is its delay after an
	// owner has released its row. A takeover takes effect within that time. Added to it is
	// rankedDelayPerLatency times the store's latency, so that a host far from the store
	// lets one near to it go first.
	delayPerRank          = 60 * time.Millisecond
	rankedDelayPerLatency = 2
	// yieldTime is how long a host leaves takeovers to others after its own
	// tenure ended with owner.KindStore, for example because it could not
	// read the store after its takeover.
	yieldTime = 1 * time.Second
	// leaveTimeout bounds the release of a cell that the host took over while
	// it was asked to leave.
	leaveTimeout = 1 * time.Second
)

// takeOver tries to replace the owner in state. It waits for a delay first. Hosts
// with more capacity and hosts with a lower latency to the store wait less, since
// an owner's commits wait for the store.
func (h *Host) takeOver(state election.State, observation election.Observation) {
	readAt := h.timers.Now()
	delay := h.takeoverDelay(state, observation)
	if !h.sleep(delay) || h.stopping.Load() {
		return
	}
	if h.knownOwner().epoch > state.Owner.Epoch {
		return // another host took over first and announced it
	}
	if !state.Owner.Released && !observation.ProcessExited && h.answersAgain(state.Owner.Epoch) {
		return
	}
	evidence := h.evidence(readAt, state, observation)
	if state.Clock != 0 {
		state.Clock += h.timers.Now().Sub(readAt)
	}
	self := h.config.Self
	previousEnded := state.AllOwnersEnded(observation.ProcessExited)
	transaction, row, err := state.Takeover(ledger.Owner{
		Host: self.Name, Incarnation: self.Incarnation, Addr: h.config.Addr, PredecessorsEnded: previousEnded,
	})
	if err != nil {
		h.log.Error("cannot encode the takeover", zap.Error(err))
		return
	}
	idle := h.detector.UnchangedFor(h.timers.Now(), state.Version)
	ctx, cancel := context.WithTimeout(h.ctx, takeoverTimeout)
	defer cancel()
	result, err := h.platform.Store.Commit(ctx, transaction)
	if err != nil {
		h.log.Info("takeover failed", zap.Uint64("Epoch", row.Epoch), zap.Error(err))
		return
	}
	h.log.Info("becoming the owner", append(evidence,
		zap.Uint64("Epoch", row.Epoch), zap.String("After", state.Owner.Host), zap.Duration("RowUnchanged", idle),
		zap.Bool("Released", state.Owner.Released), zap.Duration("TakeoverDelay", delay))...)
	h.assumeOwnership(owner.InitialState{
		Row: row, Version: result.Version, PredecessorsEnded: previousEnded, PredecessorIdle: idle,
	})
}

// takeoverDelay returns how long this host waits before a takeover. The hosts learn of a
// released row at once, and follow the order in which the owner listed them. An owner that
// was killed is noticed by each host with its next ping, so that only the first host of
// the list does not wait for others that may have more capacity.
func (h *Host) takeoverDelay(state election.State, observation election.Observation) time.Duration {
	delay := h.config.Capacity.TakeoverDelay() + min(delayPerLatency*observation.ReadLatency, maxLatencyDelay) + rand.N(takeoverJitter)
	rank, listed := state.Rank(h.config.Addr)
	if !listed || !state.Owner.Released && (!observation.ProcessExited || rank > 0) {
		return delay
	}
	return min(delay, time.Duration(rank)*delayPerRank+rankedDelayPerLatency*observation.ReadLatency)
}

// answersAgain reports whether the owner of an epoch has answered as a healthy owner
// since the takeover became due.
func (h *Host) answersAgain(epoch uint64) bool {
	a, ok := h.latestAnswer(h.knownOwner())
	if !ok || !a.healthy() || a.owner.epoch != epoch {
		return false
	}
	h.log.Info("the owner has answered before the takeover", append(h.contact.fields(h.timers.Now(), epoch), zap.Uint64("Epoch", epoch))...)
	h.detector.Reset()
	return true
}

// evidence returns what this host knew of the owner when the takeover was due.
// RowWritten is how long before that the row was written at most, by the store's
// clock.
func (h *Host) evidence(due time.Time, state election.State, seen election.Observation) []zap.Field {
	return append(h.contact.fields(due, state.Owner.Epoch),
		zap.String("Reason", h.suspicion.reason), zap.Bool("Gone", seen.ProcessExited), zap.Int("Short", seen.ShortTenures),
		zap.Duration("Unrenewed", seen.SinceRenewal), zap.Duration("RowWritten", state.SinceWrittenAfter()),
		zap.Duration("ReadLatency", seen.ReadLatency), zap.Duration("HostDelay", h.delay.Recent(due)))
}

// assumeOwnership starts to run the cell as its owner. Peers see this host as
// the owner from here on, but it makes decisions only once it has read the
// store.
func (h *Host) assumeOwnership(tenure owner.InitialState) {
	tenure.OtherHosts = h.otherHosts()
	running := h.beginTenure(tenure)
	if running == nil {
		return
	}
	h.announce(tenure.Row.Epoch)
	if m := h.manifests.Current(); m != nil {
		running.SetManifest(m)
	}
	for _, wave := range h.knownWaves() {
		running.SetWave(wave)
	}
	if h.stopping.Load() {
		ctx, cancel := context.WithTimeout(h.ctx, leaveTimeout)
		defer cancel()
		running.Release(ctx)
		h.endTenure(running)
	}
}

// beginTenure creates the Owner of a tenure and records this host as the owner of
// the cell in the tenure's epoch. It returns nil if this host is closed or already
// knows of a later owner.
func (h *Host) beginTenure(tenure owner.InitialState) *owner.Owner {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ctx.Err() != nil {
		return nil
	}
	if h.lastOwner.epoch > tenure.Row.Epoch {
		h.log.Info("tenure not started: a later owner is known", zap.Uint64("Epoch", tenure.Row.Epoch), zap.Uint64("Later", h.lastOwner.epoch))
		return nil
	}
	ports := h.startRouter(tenure.Row.Epoch)
	h.running = owner.New(h.config.Owner, tenure, h.manifests.Current(), ports, h.advisors, h.timers, h.scope, h.log)
	h.closeRouterAfter(h.running)
	h.notifyTenure(true)
	h.setOwner(ownerRef{addr: h.config.Addr, incarnation: h.config.Self.Incarnation, epoch: tenure.Row.Epoch})
	return h.running
}

// otherHosts returns the number of hosts besides this one, as the last owner
// reported it, or the number of other seeds in the settings if that is larger.
func (h *Host) otherHosts() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	seeds := 0
	for _, addr := range h.config.Seeds {
		if addr != h.config.Addr {
			seeds++
		}
	}
	return max(h.otherCount, seeds)
}

// recordOwnerEnd ends the tenure if the Owner that this host runs has ended, for
// whatever reason. If it ended with owner.KindStore, this host leaves takeovers to
// others for yieldTime.
func (h *Host) recordOwnerEnd(running *owner.Owner) {
	select {
	case <-running.Done():
		h.log.Info("no longer the owner", zap.Uint64("Epoch", running.Epoch()), zap.Error(running.Err()))
		if fault.Is(running.Err(), owner.KindStore) {
			h.yieldUntil = h.timers.Now().Add(yieldTime)
		}
		h.endTenure(running)
	default:
	}
}

// endTenure records that this host no longer owns the cell.
func (h *Host) endTenure(running *owner.Owner) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.running == running {
		h.running, h.router = nil, nil
		h.endedEpoch = max(h.endedEpoch, running.Epoch())
		h.notifyTenure(false)
	}
}

// notifyTenure tells the process whether this host owns the cell. The caller holds the
// lock.
func (h *Host) notifyTenure(owning bool) {
	if h.config.OnTenure != nil {
		h.config.OnTenure(owning)
	}
}
