package host

import (
	"maps"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/message"
)

// ownerRef names the owner as a host knows it.
type ownerRef struct {
	addr        netip.AddrPort
	incarnation string
	epoch       uint64
}

const (
	// maxMembers bounds the hosts that are remembered.
	maxMembers = 256
	// membersSettleTime is how long after its takeover an owner may not have heard
	// from all hosts yet.
	membersSettleTime = 2 * time.Second
)

// knownOwner returns the owner as this host knows it; the address is invalid
// when it knows none.
func (h *Host) knownOwner() ownerRef {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.owner
}

// applyPong takes in what another host knows of the owner and of the hosts.
func (h *Host) applyPong(pong message.OwnerPong) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, at := range append(pong.Hosts, pong.OwnerAddr) {
		if at.IsValid() && at != h.config.Addr && len(h.members) < maxMembers {
			h.members[at] = true
		}
	}
	h.applyReportedOwner(ownerRef{addr: pong.OwnerAddr, incarnation: pong.OwnerIncarnation, epoch: pong.Epoch})
	if !pong.Owning {
		return
	}
	if h.timers.Now().Sub(h.ownerSince) < membersSettleTime {
		h.otherCount = max(h.otherCount, len(pong.Hosts))
		return
	}
	h.otherCount = len(pong.Hosts)
}

// setOwner notes who owns the cell. The caller holds the lock.
func (h *Host) setOwner(now ownerRef) {
	if now.epoch != h.owner.epoch {
		h.ownerSince = h.timers.Now()
		h.tenures.Begin(h.ownerSince, now.epoch)
	}
	h.owner = now
}

// applyReportedOwner takes in who owns the cell by the word of a peer. The caller holds
// the lock.
func (h *Host) applyReportedOwner(heard ownerRef) {
	if heard.epoch <= h.owner.epoch || !heard.addr.IsValid() || heard.addr == h.config.Addr {
		return
	}
	if h.running != nil {
		h.running.Replaced(heard.epoch)
	}
	h.log.Info("heard from a peer who owns the cell", zap.Stringer("Addr", heard.addr), zap.Uint64("Epoch", heard.epoch))
	h.setOwner(heard)
}

// queryPeers asks all known hosts who owns the cell, for a host that cannot read
// the store. The manifest comes the same way.
func (h *Host) queryPeers() { h.pingAll(0) }

// announce tells all known hosts that this one owns the cell. Those that answer
// can ask the advice service at once.
func (h *Host) announce(epoch uint64) {
	h.tasks.Go(func() { h.pingAll(epoch) })
}

// pingAll pings all known hosts, in the name of the epoch that this host owns.
func (h *Host) pingAll(epoch uint64) {
	h.mu.Lock()
	peers := make(map[netip.AddrPort]bool, len(h.members)+len(h.config.Seeds))
	maps.Copy(peers, h.members)
	if h.owner.addr.IsValid() {
		peers[h.owner.addr] = true
	}
	h.mu.Unlock()
	for _, at := range h.config.Seeds {
		peers[at] = true
	}
	delete(peers, h.config.Addr)
	var asked sync.WaitGroup
	for at := range peers {
		asked.Go(func() {
			if _, _, err := h.ping(at, epoch, pingTimeout); err != nil {
				h.log.Debug("a peer does not answer", zap.Stringer("Addr", at), zap.Error(err))
				return
			}
			h.advisors.markAlive(at)
		})
	}
	asked.Wait()
}

// notifyReplaced has an owner learn that there is a later one. It may reach neither
// the store nor its successor. The caller holds the lock.
func (h *Host) notifyReplaced(last netip.AddrPort) {
	if !last.IsValid() || last == h.config.Addr {
		return
	}
	h.tasks.Go(func() {
		if _, _, err := h.ping(last, 0, pingTimeout); err != nil {
			h.log.Debug("the last owner does not answer", zap.Stringer("Addr", last), zap.Error(err))
		}
	})
}
