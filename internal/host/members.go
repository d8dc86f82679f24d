package host

import (
	"maps"
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/message"
)

// ownerRef identifies the owner as a host knows it.
type ownerRef struct {
	addr        netip.AddrPort
	incarnation string
	epoch       uint64
}

const (
	// maxMembers bounds the number of hosts that are remembered.
	maxMembers = 256
	// membersSettleTime is how long after its takeover an owner may not have
	// received a ping from every host. Until then it may report too few hosts.
	membersSettleTime = 2 * time.Second
)

// knownOwner returns the owner as this host knows it. Its address is invalid
// when no owner is known.
func (h *Host) knownOwner() ownerRef {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lastOwner
}

// applyPong records what another host reported of the owner and of the hosts.
func (h *Host) applyPong(pong message.OwnerPong) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.addMembers(append(pong.Hosts, pong.OwnerAddr))
	if !pong.SameHosts {
		h.hostsSum, h.hostsCount = sumHosts(pong.Hosts), len(pong.Hosts)
	}
	h.applyReportedOwner(ownerRef{addr: pong.OwnerAddr, incarnation: pong.OwnerIncarnation, epoch: pong.Epoch})
	h.notePongAdmission(pong)
	if !pong.Owning {
		return
	}
	if h.timers.Now().Sub(h.ownerSince) < membersSettleTime {
		h.otherCount = max(h.otherCount, h.hostsCount)
		return
	}
	h.otherCount = h.hostsCount
}

// addMembers remembers hosts. The caller holds the lock.
func (h *Host) addMembers(addrs []netip.AddrPort) {
	for _, addr := range addrs {
		if addr.IsValid() && addr != h.config.Addr && len(h.members) < maxMembers {
			h.members[addr] = true
		}
	}
}

// noteOwnerPing records what a ping tells of the owner: its sender owns the cell, or the
// sender is the owner as this host knows it, and has ceased to own the cell. In the second
// case the sender is pinged at once.
func (h *Host) noteOwnerPing(ping message.HostPing) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if ping.OwnEpoch > 0 {
		h.applyReportedOwner(ownerRef{addr: ping.Addr, incarnation: ping.Incarnation, epoch: ping.OwnEpoch})
		return
	}
	// A host that was the owner pings its own address until there is a successor.
	if ping.Addr.IsValid() && ping.Addr == h.lastOwner.addr && ping.Addr != h.config.Addr {
		h.requestPing()
	}
}

// knownHostsSum returns the hash of the list of hosts that this host has.
func (h *Host) knownHostsSum() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hostsSum
}

// sumHosts returns a hash of a list of hosts in any order, or 0 if it is empty.
func sumHosts(hosts []netip.AddrPort) uint64 {
	var sum uint64
	for _, addr := range hosts {
		sum += xxhash.Sum64String(addr.String())
	}
	return sum
}

// setOwner records the owner of the cell. The caller holds the lock.
func (h *Host) setOwner(current ownerRef) {
	if current.epoch != h.lastOwner.epoch {
		h.ownerSince = h.timers.Now()
		h.tenures.Begin(h.ownerSince, current.epoch)
	}
	h.lastOwner = current
}

// applyReportedOwner records the owner that a peer reported, if its epoch is
// later than the known one. The caller holds the lock.
func (h *Host) applyReportedOwner(reported ownerRef) {
	if reported.epoch <= h.lastOwner.epoch || !reported.addr.IsValid() || reported.addr == h.config.Addr {
		return
	}
	if h.running != nil {
		h.running.Replaced(reported.epoch)
	}
	h.requestPing()
	h.log.Info("a peer reported a later owner", zap.Stringer("Addr", reported.addr), zap.Uint64("Epoch", reported.epoch))
	h.setOwner(reported)
}

// queryPeers pings all known hosts, so that a host which cannot read the store
// learns the owner and the newest manifest from them.
func (h *Host) queryPeers() { h.pingAll(0) }

// announce tells all known hosts that this host owns the cell in an epoch, or with 0 that
// it owns the cell no more. Hosts that answer can be asked for advice from then on.
func (h *Host) announce(epoch uint64) {
	h.background.Go(func() { h.pingAll(epoch) })
}

// pingAll pings all known hosts and waits for their answers. epoch is the epoch in
// which this host owns the cell, or 0 if this host does not own it.
func (h *Host) pingAll(epoch uint64) {
	h.mu.Lock()
	peers := make(map[netip.AddrPort]bool, len(h.members)+len(h.config.Seeds))
	maps.Copy(peers, h.members)
	if h.lastOwner.addr.IsValid() {
		peers[h.lastOwner.addr] = true
	}
	h.mu.Unlock()
	for _, addr := range h.config.Seeds {
		peers[addr] = true
	}
	// A host learns its members from the pongs of the owner, so that the owner itself has
	// only the hosts that ping it.
	for _, addr := range h.advisors.List() {
		peers[addr] = true
	}
	delete(peers, h.config.Addr)
	var pings sync.WaitGroup
	for addr := range peers {
		pings.Go(func() {
			if _, _, err := h.ping(addr, epoch, pingTimeout); err != nil {
				h.log.Debug("peer does not answer a ping", zap.Stringer("Addr", addr), zap.Error(err))
				return
			}
			h.advisors.markAlive(addr)
		})
	}
	pings.Wait()
}

// notifyReplaced pings a former owner, so that it learns of the later epoch even
// if it reaches neither the store nor its successor. The caller holds the lock.
func (h *Host) notifyReplaced(former netip.AddrPort) {
	if !former.IsValid() || former == h.config.Addr {
		return
	}
	h.background.Go(func() {
		if _, _, err := h.ping(former, 0, pingTimeout); err != nil {
			h.log.Debug("the former owner does not answer a ping", zap.Stringer("Addr", former), zap.Error(err))
		}
	})
}
