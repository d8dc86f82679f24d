package host

import (
	"net/netip"
	"sync"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/api"
	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/message"
	"cicadabarrow.example/cicadabarrow/internal/owner"
	"cicadabarrow.example/cicadabarrow/internal/relay"
	"cicadabarrow.example/cicadabarrow/internal/rowstore"
	"cicadabarrow.example/cicadabarrow/internal/timer"
)

const (
	// relayPermission is how long after its ping a host may make calls for the owner.
	relayPermission = 2 * time.Second
	// maxCores and maxDataCentreName bound what a host may claim of itself.
	maxCores          = 1024
	maxDataCentreName = 200
)

// validCores reports whether a host may have a processor share. NaN is not valid.
func validCores(cores float64) bool { return cores >= 0 && cores <= maxCores }

// relayHosts tracks the hosts that the owner has permitted to make its calls to
// workers.
type relayHosts struct {
	timers timer.Service

	mu    sync.Mutex
	hosts map[netip.AddrPort]relayHost
}

// relayHost is a host that may relay in an epoch.
type relayHost struct {
	relay.Host
	epoch    uint64
	lastPing time.Time
}

func newRelayHosts(timers timer.Service) *relayHosts {
	return &relayHosts{timers: timers, hosts: make(map[netip.AddrPort]relayHost)}
}

// permitted records that a host has been permitted to relay. It returns false if the
// host does not relay or its ping is malformed.
func (h *relayHosts) permitted(ping message.HostPing, epoch uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	valid := ping.Addr.IsValid() && len(ping.DataCentre) <= maxDataCentreName && validCores(ping.Cores)
	if !ping.Relays || !valid {
		delete(h.hosts, ping.Addr)
		return false
	}
	host := relay.Host{Addr: ping.Addr, DataCentre: ping.DataCentre, Cores: ping.Cores}
	h.hosts[ping.Addr] = relayHost{Host: host, epoch: epoch, lastPing: h.timers.Now()}
	return true
}

// permittedIn lists the hosts that have been permitted to relay in an epoch.
type permittedIn struct {
	hosts *relayHosts
	epoch uint64
}

// Relays returns the permitted hosts that are alive.
func (p permittedIn) Relays() []relay.Host {
	h := p.hosts
	now := h.timers.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []relay.Host
	for addr, host := range h.hosts {
		switch age := now.Sub(host.lastPing); {
		case age > forgetAfter:
			delete(h.hosts, addr)
		case age <= aliveFor && host.epoch == p.epoch:
			out = append(out, host.Host)
		}
	}
	return out
}

// mayRelay reports whether this host makes calls for the owner. Where workers check no
// fencing tokens, a new owner could not know how long the relays of its predecessor
// still act.
func (h *Host) mayRelay() bool { return !h.config.Owner.Cell.Unfenced && !h.stopping.Load() }

// permitRelay adds the permission to relay to a pong, if the pinging host relays.
func (h *Host) permitRelay(ping message.HostPing, epoch uint64, pong *message.OwnerPong) {
	if h.config.Owner.Cell.Unfenced || !h.relayHosts.permitted(ping, epoch) {
		return
	}
	pong.RelayEpoch, pong.RelayFor = epoch, relayPermission
}

// applyPermission extends the permission to relay. sent is when the ping was sent, by
// the clock that includes suspensions.
func (h *Host) applyPermission(pong message.OwnerPong, sent time.Time) {
	if pong.RelayEpoch > 0 && h.mayRelay() {
		h.relayServer.Grant(pong.RelayEpoch, sent, min(pong.RelayFor, relayPermission))
	}
}

// requestPing makes monitorOwner ping the owner now, so that a new owner can use this
// host as a relay at once.
func (h *Host) requestPing() {
	select {
	case h.pingSoon <- struct{}{}:
	default:
	}
}

// sleepUntilPing waits for a duration. It returns false if a ping is requested or the
// host is closed first.
func (h *Host) sleepUntilPing(d time.Duration) bool {
	pause := h.timers.After(d)
	defer pause.Stop()
	select {
	case <-pause.C:
		return true
	case <-h.pingSoon:
	case <-h.ctx.Done():
	}
	return false
}

// locatingRegistrations tells the router in which data centre each worker is.
type locatingRegistrations struct {
	owner.Registrations
	router *relay.Router
}

// Decode decodes the registration of a worker.
func (l locatingRegistrations) Decode(row rowstore.Row) (cell.Registration, error) {
	registration, err := l.Registrations.Decode(row)
	if err == nil {
		l.router.Locate(registration.ID, registration.DataCentre)
	}
	return registration, err
}

// startRouter returns the ports of an owner whose calls to workers go through relays.
// The caller holds the lock.
func (h *Host) startRouter(epoch uint64) owner.Ports {
	ports := h.platform.Ports
	if h.config.Owner.Cell.Unfenced {
		h.router = nil
		return ports
	}
	h.router = relay.NewRouter(ports.Workers, h.peers, permittedIn{h.relayHosts, epoch}, h.timers, h.scope, h.log)
	ports.Workers = h.router
	ports.Registrations = locatingRegistrations{ports.Registrations, h.router}
	return ports
}

// closeRouterAfter closes the router once its owner has ended. The caller holds the
// lock.
func (h *Host) closeRouterAfter(running *owner.Owner) {
	router := h.router
	if router == nil {
		return
	}
	h.background.Go(func() {
		<-running.Done()
		router.Close()
	})
}

// addRelays adds the relays to the operator's view of the cell.
func (h *Host) addRelays(view *api.Cell) {
	h.mu.Lock()
	router := h.router
	h.mu.Unlock()
	if router == nil {
		return
	}
	relays, byWorker := router.Overview()
	for _, v := range relays {
		view.Relays = append(view.Relays, api.CellRelay{
			Addr: v.Host.Addr.String(), DataCentre: v.Host.DataCentre, Cores: v.Host.Cores, State: string(v.State), Workers: v.Workers,
		})
	}
	for i := range view.Workers {
		if addr, ok := byWorker[cell.WorkerID(view.Workers[i].ID)]; ok {
			view.Workers[i].Relay = addr.String()
		}
	}
}
