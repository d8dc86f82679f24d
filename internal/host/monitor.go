package host

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/election"
	"cicadabarrow.example/cicadabarrow/internal/ledger"
	"cicadabarrow.example/cicadabarrow/internal/message"
	"cicadabarrow.example/cicadabarrow/internal/owner"
	"cicadabarrow.example/cicadabarrow/internal/rowstore"
)

const (
	// pingInterval is the period of the pings to the owner.
	pingInterval = 250 * time.Millisecond
	// pingTimeout is how long a host waits for the answer of the owner, and
	// suspectPingTimeout how long while it suspects the owner.
	pingTimeout        = 300 * time.Millisecond
	suspectPingTimeout = 120 * time.Millisecond
	// suspectPollInterval is the period at which the owner's row is read while
	// the owner is suspected. While the row cannot be read, the interval grows
	// to a mean of at most maxSuspectBackoff.
	suspectPollInterval = 100 * time.Millisecond
	maxSuspectBackoff   = 300 * time.Millisecond
	// staleAfter is the age of the owner's last renewal beyond which its peers
	// suspect it and read its row from the store.
	staleAfter = 900 * time.Millisecond
	// stateTimeout bounds a read of the owner's row.
	stateTimeout = 1500 * time.Millisecond
)

// monitorOwner monitors the owner with pings, and takes the cell over when the
// owner has failed.
func (h *Host) monitorOwner() {
	failures := 0
	timeout := pingTimeout
	for h.ctx.Err() == nil {
		interval := pingInterval
		running := h.runningOwner()
		switch {
		case running != nil:
			h.recordOwnerEnd(running)
		case h.pingOwner(timeout):
			h.trust()
			failures = 0
			timeout = pingTimeout
		default:
			h.suspect()
			timeout = suspectPingTimeout
			interval = h.checkOwnerRow(&failures)
		}
		h.pause(interval)
	}
}

// pause waits for a duration, or until a ping is requested, and measures how late this
// host continues.
func (h *Host) pause(d time.Duration) {
	due := h.timers.Now().Add(d)
	if h.sleepUntilPing(d) {
		h.observeDelay(due)
	}
}

// observeDelay records how late a timer of this host fired that was due.
func (h *Host) observeDelay(due time.Time) {
	now := h.timers.Now()
	h.delay.Observe(now, now.Sub(due))
	h.metrics.delay.Update(h.delay.Recent(now).Seconds())
}

// markOwnerExited records that the owner's process has exited, if the owner is
// still the given incarnation.
func (h *Host) markOwnerExited(incarnation string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lastOwner.incarnation == incarnation {
		h.exitedIncarnation = incarnation
	}
}

// checkOwnerRow reads the owner's row, takes the cell over when it is due, and
// returns how long to wait before the next check. It counts failed reads in
// failures.
func (h *Host) checkOwnerRow(failures *int) time.Duration {
	begin := h.timers.Now()
	state, err := h.readState()
	latency := h.timers.Now().Sub(begin)
	if err != nil {
		h.lastReadFailure = h.timers.Now()
		if *failures == 0 && h.ctx.Err() == nil {
			h.log.Warn("the owner is suspected and its row cannot be read", zap.Error(err))
		}
		*failures++
		h.queryPeers()
		backoff := min(suspectPollInterval*time.Duration(*failures), maxSuspectBackoff)
		return backoff/2 + rand.N(backoff)
	}
	*failures = 0
	h.applyState(state)
	if h.stopping.Load() || begin.Before(h.yieldUntil) {
		return pingInterval
	}
	namesThisProcess := state.Owner.Incarnation == h.config.Self.Incarnation && !state.Owner.Released
	// A takeover by this process was committed although its response was lost.
	if namesThisProcess && state.Owner.Epoch > h.lastEndedEpoch() {
		h.assumeOwnership(owner.InitialState{Row: state.Owner, Version: state.Version, PredecessorsEnded: state.Owner.PredecessorsEnded})
		return pingInterval
	}
	observation := h.suspicion.observation(state, latency, begin.Sub(h.lastReadFailure))
	observation.ProcessExited, observation.ShortTenures = h.hasExited(state.Owner.Incarnation), h.shortTenures()
	observation.PingTime, observation.LocalDelay = h.contact.recentPingTime(state), h.delay.Recent(h.timers.Now())
	// If the row names this process, its tenure has ended without a release, so
	// no other host has to be suspected first.
	if namesThisProcess || h.detector.TakeoverDue(h.timers.Now(), state, observation) {
		h.takeOver(state, observation)
	}
	return suspectPollInterval
}

// applyState records the owner that the store names. If the known owner is
// another process, applyState notifies that process that it was replaced.
func (h *Host) applyState(state election.State) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if state.Owner.Epoch < h.lastOwner.epoch {
		return // a later owner has announced itself since the read
	}
	if state.Owner.Incarnation != h.lastOwner.incarnation {
		h.log.Info("the store names another owner", zap.String("Host", state.Owner.Host), zap.Uint64("Epoch", state.Owner.Epoch))
		h.detector.Reset()
		h.notifyReplaced(h.lastOwner.addr)
	}
	h.setOwner(ownerRef{addr: state.Owner.Addr, incarnation: state.Owner.Incarnation, epoch: state.Owner.Epoch})
	h.addMembers(state.Hosts)
	h.noteRowAdmission(state)
	if state.Owner.Released {
		h.tenures.Release(state.Owner.Epoch)
	}
}

func (h *Host) hasExited(incarnation string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.exitedIncarnation != "" && h.exitedIncarnation == incarnation
}

func (h *Host) shortTenures() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.tenures.Short()
}

// markOwnerHealthy records that the owner of an epoch has answered a ping and is
// healthy.
func (h *Host) markOwnerHealthy(epoch uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tenures.ObserveHealthy(h.timers.Now(), epoch)
}

func (h *Host) lastEndedEpoch() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.endedEpoch
}

func (h *Host) readState() (election.State, error) {
	ctx, cancel := context.WithTimeout(h.ctx, stateTimeout)
	defer cancel()
	key := ledger.OwnerKey()
	snapshot, err := h.platform.Store.Read(ctx, rowstore.Range{Table: key.Table, Partition: key.Partition})
	if err != nil {
		return election.State{}, err
	}
	state, err := election.DecodeState(snapshot.Rows)
	state.Clock = snapshot.Clock
	return state, err
}

// pong answers the ping of a host. It records that the sender is alive now, learns
// from OwnEpoch that the sender owns the cell, and ends this host's own tenure if
// KnownEpoch is later than the epoch of that tenure.
func (h *Host) pong(ping message.HostPing) message.OwnerPong {
	h.advisors.markAlive(ping.Addr)
	h.advisors.noteCapacity(ping.Addr, ping.Cores, ping.DataCentre == h.config.Self.DataCentre)
	h.accountRefusals.note(ping.Addr, ping.Refused)
	h.noteOwnerPing(ping)
	running := h.runningOwner()
	if running != nil {
		running.Replaced(ping.KnownEpoch)
	}
	known, hosts := h.knownOwner(), h.advisors.list()
	pong := message.OwnerPong{
		Hosts:     hosts.addrs,
		OwnerAddr: known.addr, OwnerIncarnation: known.incarnation, Epoch: known.epoch,
	}
	// The list of hosts is most of a pong, and seldom changes.
	if hosts.sum != 0 && hosts.sum == ping.HostsSum {
		pong.Hosts, pong.SameHosts = nil, true
	}
	h.pongManifest(&pong)
	pong.NewerManifest = h.manifestForEarlierRelease(ping)
	if running != nil && running.Owns() && !h.stopping.Load() {
		pong.Owning = true
		pong.SinceRenewal, pong.RowVersion = running.LastRenewal()
		pong.Admission = running.Admission()
		h.permitRelay(ping, running.Epoch(), &pong)
	}
	return pong
}
