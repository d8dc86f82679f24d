// Package host implements one entry host on the users' platform.
//
// All entry hosts do the same work. A host accepts requests from clients, keeps
// the operator's newest manifest in force, monitors the owner of the cell, and
// takes the cell over when the owner fails. At the owner's request, a host also
// calls the advice service under its own identity.
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
	"cicadabarrow.example/cicadabarrow/internal/relay"
	"cicadabarrow.example/cicadabarrow/internal/rowstore"
	"cicadabarrow.example/cicadabarrow/internal/timer"
)

// Kind classifies the reasons why a host could not serve a request.
type Kind string

const (
	// KindNoQueue means that no queue in the manifest matches the path of the
	// request.
	KindNoQueue Kind = "no such queue"
	// KindNoJob means that the job does not exist.
	KindNoJob Kind = "no such job"
	// KindNotDone means that the request had no effect and will have none.
	KindNotDone Kind = "not done"
	// KindOverloaded is KindNotDone because the cell cannot keep up. The cause is an
	// OverloadError.
	KindOverloaded Kind = "overloaded"
	// KindUnknown means that the request may have taken effect.
	KindUnknown Kind = "unknown"
	// KindInvalid means that the request is malformed.
	KindInvalid Kind = "invalid"
	// KindUnauthorized means that the request has no key of an account.
	KindUnauthorized Kind = "unauthorized"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Platform holds the adapters through which a host uses the platform.
type Platform struct {
	owner.Ports
	Manifests Manifests
}

// Manifests locates and decodes the rows that the operator writes.
type Manifests interface {
	// Table and Name identify the row of the manifest.
	Table() string
	Name() string
	Decode(value []byte) (*manifest.Manifest, error)
	// Wave decodes a maintenance wave. It returns false when the row does not
	// hold one.
	Wave(row rowstore.Row) (cell.Wave, bool, error)
}

// Config holds the identity of a host and the settings of its election.
type Config struct {
	Self peer.Host
	// Addr is the address at which peers call the host.
	Addr  netip.AddrPort
	Seeds []netip.AddrPort
	Owner owner.Config
	// OwnerTimeout is how long the owner's row may remain unchanged before the
	// host takes the cell over.
	OwnerTimeout time.Duration
	// StoreWrites is how many writes a second the store takes from all hosts together.
	StoreWrites float64
	// RevokeWithin is for how long the host serves calls that need a key by a manifest
	// that the store has not confirmed since. 0 means for any time.
	RevokeWithin time.Duration
	// Capacity is what the host can offer to the cell as its owner.
	Capacity election.Capacity
	// OnTenure is called when the host begins to own the cell, and when it has ceased
	// to. It must not block, and may be nil.
	OnTenure func(owning bool)
}

// Peers is the transport between entry hosts.
type Peers interface {
	Ask(ctx context.Context, to netip.AddrPort, m peer.Message) (peer.Host, peer.Message, error)
}

// Host is one entry host. It serves clients and peers, and runs the owner of
// the cell while this host owns it.
type Host struct {
	config   Config
	platform Platform
	peers    Peers
	intake   *intake.Intake
	timers   timer.Service
	scope    tally.Scope
	log      *zap.Logger

	// handlers maps each kind of message to the handler of its calls.
	handlers map[uint8]callHandler

	manifests *manifest.Holder
	// malformedRows holds the operator's rows that cannot be decoded.
	malformedRows malformedRows
	// rawManifest is the manifest in force. adopting is held while it is replaced.
	rawManifest atomic.Pointer[rawManifest]
	adopting    sync.Mutex
	recency     recency
	// sources has the hosts with a newer manifest than the one in force, and newerKnown
	// holds an element after news of one.
	sources    manifestSources
	newerKnown chan struct{}
	keyLog     keyLog
	keyMetrics keyMetrics
	detector   *election.FailureDetector
	advisors   *remoteAdvisors
	// relayHosts holds the hosts that make calls to workers for this host while it
	// owns the cell, and relayServer makes such calls for the owner.
	relayHosts  *relayHosts
	relayServer *relay.Server
	// pingSoon holds an element after a new owner has announced itself.
	pingSoon chan struct{}
	metrics  hostMetrics
	// accountRefusals counts the jobs that are refused for the limits of their account.
	accountRefusals *accountRefusals
	// Only the goroutine of monitorOwner uses suspicion, suspectedSince, contact,
	// delay, lastReadFailure and yieldUntil, and receives the answers of the pinger.
	suspicion suspicion
	// suspectedSince is when the owner was first suspected; zero if it is not.
	suspectedSince time.Time
	pinger         pinger
	contact        contact
	// delay is how late the timers of the monitor fire.
	delay timer.Delay
	// lastReadFailure is when a read of the owner's row last failed.
	lastReadFailure time.Time
	// yieldUntil is the time until which this host leaves a takeover to others.
	yieldUntil time.Time

	ctx        context.Context
	cancel     context.CancelFunc
	background sync.WaitGroup
	stopping   atomic.Bool

	mu sync.Mutex
	// passManifestAt is when the manifest may be passed on to a further host.
	passManifestAt time.Time
	// running is the Owner that this host runs while it owns the cell, also
	// while the Owner still reads the store and is not ready. It is nil
	// otherwise.
	running *owner.Owner
	// router passes the calls of running to the relays. It is nil if this host does
	// not own the cell, or if workers check no fencing tokens.
	router *relay.Router
	// endedEpoch is the last epoch that this host owned and whose tenure has
	// ended.
	endedEpoch uint64
	// lastOwner identifies the last known owner of the cell, whether that is this
	// host or another one.
	lastOwner ownerRef
	// ownerSince is when this host learned of the owner's epoch.
	ownerSince time.Time
	tenures    election.Tenures
	admission  ownerAdmission
	// members holds the hosts that owners and peers have reported.
	members map[netip.AddrPort]bool
	// otherCount is the number of hosts besides the owner, as the owner last
	// reported it.
	otherCount int
	// hostsSum and hostsCount are the hash and the length of the list of hosts that a
	// pong has brought last.
	hostsSum   uint64
	hostsCount int
	// exitedIncarnation is the incarnation of an owner whose process is known to
	// have exited.
	exitedIncarnation string
	// waves holds the operator's maintenance waves by number.
	waves map[int]cell.Wave
}

// New returns a host and starts its background goroutines. They call peers at
// once, so the transport must be in place already, although the host is its
// handler.
func New(
	config Config, platform Platform, peers Peers, timers timer.Service, scope tally.Scope, log *zap.Logger,
) *Host {
	h := &Host{
		config: config, platform: platform, peers: peers, timers: timers, scope: scope, log: log.Named("host"),
		manifests: manifest.NewHolder(), detector: election.NewFailureDetector(config.OwnerTimeout),
		advisors: newRemoteAdvisors(peers, timers), members: make(map[netip.AddrPort]bool),
		waves: make(map[int]cell.Wave), metrics: newHostMetrics(scope), pinger: newPinger(),
		relayHosts: newRelayHosts(timers), pingSoon: make(chan struct{}, 1), newerKnown: make(chan struct{}, 1),
		relayServer: relay.NewServer(platform.Workers, timers, scope),
		recency:     recency{begin: timers.Now()}, keyMetrics: newKeyMetrics(scope),
		accountRefusals: newAccountRefusals(scope),
	}
	h.intake = intake.New(platform.Store, timers, h.tombstoneRate, scope)
	h.handlers = h.callHandlers()
	h.ctx, h.cancel = context.WithCancel(context.Background())
	h.background.Go(h.followManifest)
	h.background.Go(h.fetchManifests)
	h.background.Go(h.monitorOwner)
	h.background.Go(h.probeStore)
	return h
}

// Ready reports whether the host can serve clients.
func (h *Host) Ready() bool { return !h.stopping.Load() && h.manifests.Current() != nil }

// Stopping reports whether Leave has been called. The host still serves requests
// after that, until Close is called.
func (h *Host) Stopping() bool { return h.stopping.Load() }

// Manifest returns the manifest in force, or nil before the first one.
func (h *Host) Manifest() *manifest.Manifest { return h.manifests.Current() }

// Leave releases the cell if the host owns it, and stops the host from taking
// it over again. Requests of clients are still served.
func (h *Host) Leave(ctx context.Context) {
	h.stopping.Store(true)
	if running := h.runningOwner(); running != nil {
		running.Release(ctx)
		h.endTenure(running)
		h.announce(0) // the others learn that the cell has no owner
	}
}

// Close ends the background goroutines and the Owner, if this host runs one, and
// waits for the goroutines.
func (h *Host) Close() {
	h.cancel()
	if running := h.runningOwner(); running != nil {
		running.Close()
	}
	h.background.Wait()
}

// runningOwner returns the owner that this host runs, or nil when it does not
// own the cell.
func (h *Host) runningOwner() *owner.Owner {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.running
}

// readyOwner is like runningOwner, but also returns nil while the owner still
// reads the store.
func (h *Host) readyOwner() *owner.Owner {
	if running := h.runningOwner(); running != nil && running.Ready() {
		return running
	}
	return nil
}

// sleep waits for a duration. It returns false when the host is closed first.
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
