package host

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"syscall"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/election"
	"cicadabarrow.example/cicadabarrow/internal/ledger"
	"cicadabarrow.example/cicadabarrow/internal/message"
	"cicadabarrow.example/cicadabarrow/internal/owner"
	"cicadabarrow.example/cicadabarrow/internal/peer"
	"cicadabarrow.example/cicadabarrow/internal/rowstore"
)

const (
	// pingEvery is the period of the pings to the owner.
	pingEvery = 250 * time.Millisecond
	// pingTimeout bounds a ping, and doubtTimeout one to an owner that has not
	// answered the last one.
	pingTimeout  = 300 * time.Millisecond
	doubtTimeout = 120 * time.Millisecond
	// doubtEvery is the period of the looks at the owner's row while the
	// owner is in doubt, and maxDoubtPause that while it cannot be read.
	doubtEvery    = 100 * time.Millisecond
	maxDoubtPause = 300 * time.Millisecond
	// staleAfter is the age of the owner's last renewal at which its peers
	// look at the store.
	staleAfter = 900 * time.Millisecond
	// stateTimeout bounds a read of the owner's row, and takeoverTimeout the
	// transaction of a takeover.
	stateTimeout    = 1500 * time.Millisecond
	takeoverTimeout = 2 * time.Second
	// recoverTimeout bounds the reads of a new owner.
	recoverTimeout = 6 * time.Second
	// takeoverSpread is the mean wait before a takeover, so that the hosts do
	// not all try at once.
	takeoverSpread = 40 * time.Millisecond
	// latencyFactor times the store's latency is how long a host lets nearer
	// ones go first, at most maxDeference.
	latencyFactor = 8
	maxDeference  = 500 * time.Millisecond
)

// followOwner watches the owner and takes its place when it is gone.
func (h *Host) followOwner() {
	doubts := 0
	wait := pingTimeout
	for h.ctx.Err() == nil {
		pause := pingEvery
		own := h.owning()
		switch {
		case own != nil:
			h.endIfReplaced(own)
		case h.ownerAnswers(wait):
			doubts = 0
			wait = pingTimeout
		default:
			wait = doubtTimeout
			pause = h.lookAtStore(&doubts)
		}
		h.sleep(pause)
	}
}

func (h *Host) endIfReplaced(own *owner.Owner) {
	select {
	case <-own.Done():
		h.log.Info("no longer the owner", zap.Uint64("Epoch", own.Epoch()), zap.Error(own.Err()))
		h.ended(own)
	default:
	}
}

// ownerAnswers pings the owner, and reports whether it is well.
func (h *Host) ownerAnswers(wait time.Duration) bool {
	known := h.knownOwner()
	h.unrenewed = 0
	if !known.addr.IsValid() {
		return false
	}
	from, pong, err := h.ping(known.addr, 0, wait)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			h.ownerGone(known.incarnation)
		}
		return false
	}
	if from.Incarnation != known.incarnation {
		h.ownerGone(known.incarnation)
		return false
	}
	if !pong.Owning {
		return false
	}
	if pong.Renewed > staleAfter {
		h.unrenewed = pong.Renewed
		return false
	}
	h.watch.Reset()
	return true
}

// ping asks a host for its view, and takes in what it tells. The epoch is the
// one that this host owns, or 0.
func (h *Host) ping(to netip.AddrPort, epoch uint64, wait time.Duration) (peer.Host, message.OwnerPong, error) {
	ctx, cancel := context.WithTimeout(h.ctx, wait)
	defer cancel()
	ping := message.EncodeHostPing(message.HostPing{
		Addr: h.config.Addr, OwnEpoch: epoch, Incarnation: h.config.Self.Incarnation, Manifest: h.manifestVersion(),
		KnownEpoch: max(epoch, h.knownOwner().epoch),
	})
	from, reply, err := h.peers.Ask(ctx, to, ping)
	if err != nil {
		return from, message.OwnerPong{}, err
	}
	pong, err := message.DecodeOwnerPong(reply)
	if err != nil {
		return from, message.OwnerPong{}, err
	}
	if len(pong.NewerManifest) > 0 {
		h.adopt(pong.NewerManifest, from.Name)
	}
	h.learn(pong)
	return from, pong, nil
}

// ownerGone notes that the owner's process has ended.
func (h *Host) ownerGone(incarnation string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.owner.incarnation == incarnation {
		h.goneIncarnation = incarnation
	}
}

// lookAtStore reads who owns the cell, takes over when nobody does, and returns
// how long to wait before the next look.
func (h *Host) lookAtStore(doubts *int) time.Duration {
	begin := h.timers.Now()
	state, err := h.readState()
	sign := election.Sign{Latency: h.timers.Now().Sub(begin), Unrenewed: h.unrenewed}
	if err != nil {
		h.unreadable = h.timers.Now()
		if *doubts == 0 && h.ctx.Err() == nil {
			h.log.Warn("the owner is in doubt and its row cannot be read", zap.Error(err))
		}
		*doubts++
		h.askPeers()
		pause := min(doubtEvery*time.Duration(*doubts), maxDoubtPause)
		return pause/2 + rand.N(pause)
	}
	*doubts = 0
	// While the store was away for this host, it may have been for the owner.
	sign.Unrenewed = min(sign.Unrenewed, begin.Sub(h.unreadable))
	h.takeState(state)
	if h.stopping.Load() {
		return pingEvery
	}
	mine := state.Owner.Incarnation == h.config.Self.Incarnation && !state.Owner.Released
	if mine && state.Owner.Epoch > h.lastEnded() {
		h.become(owner.Tenure{Me: state.Owner, Version: state.Version})
		return pingEvery
	}
	sign.Gone = h.isGone(state.Owner.Incarnation)
	if mine || h.watch.Due(h.timers.Now(), state, sign) {
		h.takeOver(state, sign)
	}
	return doubtEvery
}

// takeState notes who owns the cell by the store.
func (h *Host) takeState(state election.State) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if state.Owner.Epoch < h.owner.epoch {
		return // a later owner has announced itself since the read
	}
	if state.Owner.Incarnation != h.owner.incarnation {
		h.log.Info("another host owns the cell", zap.String("Host", state.Owner.Host), zap.Uint64("Epoch", state.Owner.Epoch))
		h.watch.Reset()
		h.tellReplaced(h.owner.addr)
	}
	h.owner = ownerRef{addr: state.Owner.Addr, incarnation: state.Owner.Incarnation, epoch: state.Owner.Epoch}
}

func (h *Host) isGone(incarnation string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.goneIncarnation != "" && h.goneIncarnation == incarnation
}

func (h *Host) lastEnded() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.endedEpoch
}

func (h *Host) readState() (election.State, error) {
	ctx, cancel := context.WithTimeout(h.ctx, stateTimeout)
	defer cancel()
	key := ledger.OwnerKey()
	snapshot, err := h.platform.Store.Read(ctx, rowstore.Range{Table: key.Table, Part: key.Part})
	if err != nil {
		return election.State{}, err
	}
	state, err := election.ReadState(snapshot.Rows)
	state.Clock = snapshot.Clock
	return state, err
}

// takeOver tries to become the owner after the state that was read. Hosts near
// the store come first, since an owner's commits wait for it.
func (h *Host) takeOver(state election.State, sign election.Sign) {
	if !h.sleep(min(latencyFactor*sign.Latency, maxDeference) + rand.N(takeoverSpread)) {
		return
	}
	self := h.config.Self
	t, me, err := state.Takeover(ledger.Owner{Host: self.Name, Incarnation: self.Incarnation, Addr: h.config.Addr})
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
		zap.Bool("Gone", sign.Gone), zap.Duration("Unrenewed", sign.Unrenewed), zap.Bool("Released", state.Owner.Released))
	ended := sign.Gone || state.Owner.Released
	h.become(owner.Tenure{Me: me, Version: result.Version, PreviousEnded: ended})
}

// become starts to own the cell.
func (h *Host) become(t owner.Tenure) {
	ctx, cancel := context.WithTimeout(h.ctx, recoverTimeout)
	defer cancel()
	h.announce(t.Me.Epoch)
	t.Others = h.otherHosts()
	own, err := owner.New(ctx, h.config.Owner, t, h.manifests.Current(),
		h.platform.Ports, h.advisors, h.timers, h.scope, h.log)
	if err != nil {
		h.log.Warn("taking over failed", zap.Uint64("Epoch", t.Me.Epoch), zap.Error(err))
		return
	}
	h.mu.Lock()
	h.own = own
	h.owner = ownerRef{addr: h.config.Addr, incarnation: h.config.Self.Incarnation, epoch: t.Me.Epoch}
	h.mu.Unlock()
	if m := h.manifests.Current(); m != nil {
		own.SetManifest(m)
	}
	for _, wave := range h.knownWaves() {
		own.SetWave(wave)
	}
	if h.stopping.Load() {
		own.Close()
	}
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
	return max(h.others, seeds)
}

// ended notes that this host owns the cell no more.
func (h *Host) ended(own *owner.Owner) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.own == own {
		h.own = nil
		h.endedEpoch = max(h.endedEpoch, own.Epoch())
	}
}

// pong answers the ping of a host.
func (h *Host) pong(ping message.HostPing) message.OwnerPong {
	h.advisors.heard(ping.Addr)
	if ping.OwnEpoch > 0 {
		h.mu.Lock()
		h.hearOfOwner(ownerRef{addr: ping.Addr, incarnation: ping.Incarnation, epoch: ping.OwnEpoch})
		h.mu.Unlock()
	}
	if own := h.owning(); own != nil {
		own.Replaced(ping.KnownEpoch)
	}
	known := h.knownOwner()
	pong := message.OwnerPong{
		Manifest: h.manifestVersion(), Hosts: h.advisors.List(),
		OwnerAddr: known.addr, OwnerIncarnation: known.incarnation, Epoch: known.epoch,
	}
	if raw := h.rawManifest.Load(); raw != nil && pong.Manifest > ping.Manifest {
		pong.NewerManifest = *raw
	}
	if own := h.owning(); own != nil && !h.stopping.Load() {
		pong.Owning = true
		pong.Renewed = own.Renewed()
	}
	return pong
}
