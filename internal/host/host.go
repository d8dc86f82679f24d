// Package host is one entry host on the users' platform.
//
// Every entry host runs the same duties: it accepts requests of clients, keeps
// the operator's manifest in force, watches the owner of the cell, and becomes
// the owner itself when that one is gone. It asks the advice service for the
// owner, in its own name.
package host

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/election"
	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/intake"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/owner"
	"cicadabarrow.example/cicadabarrow/internal/peer"
	"cicadabarrow.example/cicadabarrow/internal/rowstore"
	"cicadabarrow.example/cicadabarrow/internal/timer"
)

// Kind tells why a host could not serve a request.
type Kind string

const (
	// KindNoQueue means that no queue of the manifest has the request's path.
	KindNoQueue Kind = "no such queue"
	// KindNoJob means that there is no such job.
	KindNoJob Kind = "no such job"
	// KindNotDone means that the request had no effect, now or later.
	KindNotDone Kind = "not done"
	// KindUnknown means that the request may have had its effect.
	KindUnknown Kind = "unknown"
	// KindInvalid means that the request is malformed.
	KindInvalid Kind = "invalid"
)

// Error is the error of this package.
type Error = fault.Error[Kind]

// Platform holds the adapters through which a host meets the platform.
type Platform struct {
	owner.Ports
	Manifests Manifests
}

// Manifests reads what the operator writes.
type Manifests interface {
	// Table and Name are those of the manifest's row.
	Table() string
	Name() string
	Decode(value []byte) (*manifest.Manifest, error)
	// Wave reads a wave of maintenance; false means that the row is none.
	Wave(row rowstore.Row) (cell.Wave, bool, error)
}

// Config says what a host is and how it decides.
type Config struct {
	Self peer.Host
	// Addr is where peers call the host.
	Addr  netip.AddrPort
	Seeds []netip.AddrPort
	Owner owner.Config
	// OwnerTimeout is how long the owner's row may stand unchanged.
	OwnerTimeout time.Duration
	// Capacity is what the host can give to the cell.
	Capacity election.Capacity
}

// Peers is the transport between entry hosts.
type Peers interface {
	Ask(ctx context.Context, to netip.AddrPort, m peer.Message) (peer.Host, peer.Message, error)
}

// Host is one entry host.
type Host struct {
	config   Config
	platform Platform
	peers    Peers
	intake   *intake.Intake
	timers   timer.Service
	scope    tally.Scope
	log      *zap.Logger

	// handlers answer the calls of peers by their kind.
	handlers map[uint8]callHandler

	manifests *manifest.Holder
	// rawManifest is the manifest in force as the operator wrote it.
	rawManifest atomic.Pointer[[]byte]
	watch       *election.Watch
	advisors    *remoteAdvisors
	// suspicion, unreadable and yieldUntil are used by the watching duty alone.
	suspicion suspicion
	// lastReadFailure is when this host last failed to read the owner's row.
	lastReadFailure time.Time
	// yieldUntil is until when this host leaves the cell to others.
	yieldUntil time.Time

	ctx      context.Context
	cancel   context.CancelFunc
	tasks    sync.WaitGroup
	stopping atomic.Bool

	mu sync.Mutex
	// running is set while this host owns the cell, also before it decides.
	running *owner.Owner
	// endedEpoch is the last epoch that this host has owned and ended.
	endedEpoch uint64
	// owner is who the owner was last known to be.
	owner ownerRef
	// ownerSince is when this host learned of the owner's epoch.
	ownerSince time.Time
	tenures    election.Tenures
	// members are the hosts that the owners have told of.
	members map[netip.AddrPort]bool
	// otherCount counts the hosts beside the owner, by the owner's last answer.
	otherCount int
	// exitedIncarnation is an owner whose process has surely ended.
	exitedIncarnation string
	// waves are the operator's waves of maintenance by their number.
	waves map[int]cell.Wave
}

// New starts the duties of a host. Peers is called once the transport, which
// needs the host as its handler, stands.
func New(
	config Config, platform Platform, peers Peers, timers timer.Service, scope tally.Scope, log *zap.Logger,
) *Host {
	h := &Host{
		config: config, platform: platform, peers: peers, timers: timers, scope: scope, log: log.Named("host"),
		intake:    intake.New(platform.Store, timers),
		manifests: manifest.NewHolder(), watch: election.NewWatch(config.OwnerTimeout),
		advisors: newRemoteAdvisors(peers, timers), members: make(map[netip.AddrPort]bool),
		waves: make(map[int]cell.Wave),
	}
	h.handlers = h.callHandlers()
	h.ctx, h.cancel = context.WithCancel(context.Background())
	h.tasks.Go(h.followManifest)
	h.tasks.Go(h.monitorOwner)
	h.tasks.Go(h.probeStore)
	return h
}

// Ready reports whether the host can serve clients.
func (h *Host) Ready() bool { return !h.stopping.Load() && h.manifests.Current() != nil }

// Stopping reports whether the host has begun to leave.
func (h *Host) Stopping() bool { return h.stopping.Load() }

// Manifest returns the manifest in force, or nil before the first one.
func (h *Host) Manifest() *manifest.Manifest { return h.manifests.Current() }

// Leave gives the cell up if the host owns it, and takes it over no more.
// Requests of clients are still served.
func (h *Host) Leave(ctx context.Context) {
	h.stopping.Store(true)
	if own := h.runningOwner(); own != nil {
		own.Leave(ctx)
		h.endTenure(own)
	}
}

// Close ends the duties.
func (h *Host) Close() {
	h.cancel()
	if own := h.runningOwner(); own != nil {
		own.Close()
	}
	h.tasks.Wait()
}

// runningOwner returns what runs the cell while this host owns it, or nil.
func (h *Host) runningOwner() *owner.Owner {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.running
}

// readyOwner is like owned, but nil also while the store is still being read.
func (h *Host) readyOwner() *owner.Owner {
	if own := h.runningOwner(); own != nil && own.Decides() {
		return own
	}
	return nil
}

// sleep waits, and reports false when the host ends.
func (h *Host) sleep(d time.Duration) bool {
	pause := h.timers.After(d)
	defer pause.Stop()
	select {
	case <-pause.C:
		return true
	case <-h.ctx.Done():
		return false
	}
}
