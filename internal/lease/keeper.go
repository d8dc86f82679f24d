package lease

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/platform"
)

// fullListEvery is the number of periods after which all lease rows are listed, so
// that deleted rows are removed from the view.
const fullListEvery = 30

// unreachablePeriods is the number of periods without an answer after which the
// table service counts as unreachable.
const unreachablePeriods = 3

// probeAfterPeriods is the number of periods after which the address of a host is
// probed when its row does not change. The proof that a process has exited counts
// only after PromiseFor has passed, so the probes start before the row lapses.
const probeAfterPeriods = 2

// maxTakeoversPerCommit bounds the units that are taken over with one commit.
const maxTakeoversPerCommit = 64

// maxGrantors bounds the peers whose promises extend a lease. Without a bound, the
// size of the rows, the reads and the requests would grow with the square of the
// number of hosts.
const maxGrantors = 4

// Keeper is the lease state machine of one entry host. It is not safe for
// concurrent use; one event loop drives it.
type Keeper struct {
	cfg         Config
	dataCentre  string
	self        Peer
	sharedUnits []Unit

	// version is the version of this host's HostRow, or platform.Absent before the
	// row exists.
	version uint64
	// rowDeadline is when this host's HostRow lapses, by Clock.Latest.
	rowDeadline time.Time
	// renewedAt is when the last confirmed renewal was sent, by Clock.Latest.
	renewedAt time.Time
	// reachedAt is when the table service last answered, by Clock.Now.
	reachedAt time.Time
	// reachableSince is the start of the current span in which the table service
	// has been reachable.
	reachableSince time.Time
	fenced         bool
	leaving        bool
	// leaveSent is set once this host's HostRow may have been marked as left. After
	// that, a takeover whose commit takes effect late gains the host no units.
	leaveSent bool

	// grantorSets holds the sets of grantors that this host's HostRow may name: that
	// of the last confirmed renewal and that of each later one with an unknown
	// outcome.
	grantorSets []grantorSet
	// unjournaled is set when this host wants to start unjournaled work; requests
	// for promises tell the grantors so.
	unjournaled bool

	hosts map[Incarnation]*hostView
	units map[Unit]*unitView
	held  map[Unit]Gained
	// stopped holds, for each held unit for which UnitStopped was called, the epoch
	// of that call.
	stopped map[Unit]uint64
	// listedVersion is the version after which the next list starts.
	listedVersion uint64

	// granted holds the last promise that this host granted to each peer.
	granted map[Incarnation]grantedPromise
	// refused maps a peer to a version of the peer's HostRow: this host refuses the
	// peer promises until the row has a later version.
	refused map[Incarnation]uint64
	// promises holds the last promise that each grantor granted to this host.
	promises map[Incarnation]heldPromise
	consents map[consentKey]fenceConsent
	// exited holds when each exited incarnation was first known to have exited.
	exited map[Incarnation]time.Time

	pending *pendingCommit
	// readingBack is set while the outcome of pending is unknown.
	readingBack bool
	// blocked suppresses every commit except the renewal until the next period. It
	// is set when a commit was rejected, since the same commit would fail again.
	blocked bool
	// retried is set by the first conflict of a period, which lists the rows again.
	// relisted is set by the next list that arrives, which clears blocked.
	retried      bool
	relisted     bool
	periods      int
	seq          uint64
	nextPeriodAt time.Time

	omit omission
}

type hostView struct {
	row     HostRow
	version uint64
	// seenAt is when this version was first seen, by Clock.Now.
	seenAt time.Time
	// liveSince is when the host was first seen live.
	liveSince time.Time
}

type unitView struct {
	row     UnitRow
	version uint64
}

type grantedPromise struct {
	until       time.Time
	unjournaled bool
}

type heldPromise struct {
	deadline    time.Time
	unjournaled bool
}

type consentKey struct {
	grantor, lapsed Incarnation
}

type grantorSet struct {
	id       string
	grantors []Incarnation
}

type fenceConsent struct {
	version     uint64
	unjournaled bool
}

type pendingCommit struct {
	id      string
	purpose purpose
	key     string
	unit    Unit
	host    Incarnation
	sentAt  time.Time
}

type purpose int

const (
	purposeRegister purpose = iota + 1
	purposeRenew
	purposeTakeOver
	purposeFence
	purposeRelease
	purposeLeave
	purposeDelete
)

// New returns the keeper of an entry host that owns no units yet. units are those
// that the entry hosts of the data centre distribute among themselves.
func New(cfg Config, dataCentre string, self Peer, units []Unit) *Keeper {
	return &Keeper{
		cfg: cfg, dataCentre: dataCentre, self: self, sharedUnits: units,
		hosts:    make(map[Incarnation]*hostView),
		units:    make(map[Unit]*unitView),
		held:     make(map[Unit]Gained),
		stopped:  make(map[Unit]uint64),
		granted:  make(map[Incarnation]grantedPromise),
		refused:  make(map[Incarnation]uint64),
		promises: make(map[Incarnation]heldPromise),
		consents: make(map[consentKey]fenceConsent),
		exited:   make(map[Incarnation]time.Time),
	}
}

// Deadline returns the time by Clock.Latest until which the host may act on the
// units that it holds. It must be compared immediately before each act.
func (k *Keeper) Deadline() time.Time {
	if k.fenced || k.leaveSent || k.version == platform.Absent {
		return time.Time{}
	}
	if ext := k.extension(); ext.After(k.rowDeadline) {
		return ext
	}
	return k.rowDeadline
}

// extension returns the time until which the grantors' promises extend the lease
// past the last renewal, or the zero time if they do not. Every version of this
// host's HostRow that the table may hold must name grantors, and all of these must
// have granted a promise: any peer may fence a host whose row names no grantors.
func (k *Keeper) extension() time.Time {
	if len(k.grantorSets) == 0 {
		return time.Time{}
	}
	earliest := k.renewedAt.Add(k.cfg.MaxExtension)
	for _, set := range k.grantorSets {
		if len(set.grantors) == 0 && k.omit != omitEmptyGrantors {
			return time.Time{}
		}
		for _, g := range set.grantors {
			if d := k.promises[g].deadline; d.Before(earliest) {
				earliest = d
			}
		}
	}
	return earliest
}

// MayStartUnjournaled reports whether this host may start unjournaled work now:
// every grantor knows that the host does so, and the grantors' promises extend the
// lease beyond latest, which is Clock.Latest. A successor learns of such work from
// a grantor and waits for it.
func (k *Keeper) MayStartUnjournaled(latest time.Time) bool {
	if !k.unjournaled || !latest.Before(k.extension()) {
		return false
	}
	for _, g := range k.allGrantors() {
		if !k.promises[g].unjournaled {
			return false
		}
	}
	return true
}

// allGrantors returns every grantor that this host's HostRow may name, sorted.
func (k *Keeper) allGrantors() []Incarnation {
	var out []Incarnation
	for _, set := range k.grantorSets {
		out = append(out, set.grantors...)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// SetUnjournaled sets whether the host wants to start unjournaled work. It may do
// so only when MayStartUnjournaled reports true.
func (k *Keeper) SetUnjournaled(on bool) {
	k.unjournaled = on
}

// Ownership returns the ownership of a unit that this host holds, even when the
// authority to act on it has lapsed. Unlike Held, it includes the units for which
// UnitStopped was called.
func (k *Keeper) Ownership(u Unit) (Gained, bool) {
	g, ok := k.held[u]
	return g, ok
}

// Fenced reports whether a peer has fenced this incarnation. The host must then
// restart as a new incarnation.
func (k *Keeper) Fenced() bool { return k.fenced }

// StoreReachedAt returns when the table service last answered, by Clock.Now.
func (k *Keeper) StoreReachedAt() time.Time { return k.reachedAt }

// Owner returns the live owner of a unit, as far as this host knows.
func (k *Keeper) Owner(u Unit) (Peer, bool) {
	v, ok := k.units[u]
	if !ok || v.row.Released {
		return Peer{}, false
	}
	if v.row.Owner == k.self.Incarnation {
		return k.self, !k.fenced
	}
	h, ok := k.hosts[v.row.Owner]
	if !ok || h.row.State != HostLive {
		return Peer{}, false
	}
	return peerOf(h.row), true
}

// Peers returns the live entry hosts of the data centre except this one.
func (k *Keeper) Peers() []Peer {
	var out []Peer
	for _, i := range k.livePeers() {
		out = append(out, peerOf(k.hosts[i].row))
	}
	return out
}

// Leave starts a graceful stop: the host stops acting on its units and releases
// them, and then its HostRow is marked as left.
func (k *Keeper) Leave() {
	if !k.leaving {
		k.leaving = true
		// Renew at once, so that the peers learn that this host takes over no more
		// units.
		k.nextPeriodAt = time.Time{}
	}
}

// Left reports whether the graceful stop is complete, or a peer has fenced this
// host.
func (k *Keeper) Left() bool {
	v, ok := k.hosts[k.self.Incarnation]
	return k.fenced || (ok && v.row.State == HostLeft)
}

// UnitStopped records that this host has stopped acting on a unit, after a Release
// action. The host must not act on the unit under that epoch again.
func (k *Keeper) UnitStopped(u Unit, epoch uint64) {
	if g, ok := k.held[u]; ok && g.Epoch == epoch {
		k.stopped[u] = epoch
	}
}

func (k *Keeper) nextID() string {
	k.seq++
	return fmt.Sprintf("%s/%d", k.self.Incarnation, k.seq)
}

// isOwnWrite reports whether this incarnation made a write.
func (k *Keeper) isOwnWrite(writeID string) bool {
	return strings.HasPrefix(writeID, string(k.self.Incarnation)+"/")
}

func peerOf(r HostRow) Peer {
	return Peer{Incarnation: r.Incarnation, Name: r.Name, Addr: r.Addr}
}

// SetUnits sets the units that the entry hosts of the data centre distribute among
// themselves.
func (k *Keeper) SetUnits(units []Unit) { k.sharedUnits = units }

// Held returns the units that the host holds, without those for which UnitStopped
// was called.
func (k *Keeper) Held() map[Unit]Gained {
	out := make(map[Unit]Gained, len(k.held))
	for u, g := range k.held {
		if _, stopped := k.stopped[u]; !stopped {
			out[u] = g
		}
	}
	return out
}

// Owners returns the live owner of each unit, as far as this host knows.
func (k *Keeper) Owners() map[Unit]Peer {
	out := make(map[Unit]Peer, len(k.units))
	for u := range k.units {
		if p, ok := k.Owner(u); ok {
			out[u] = p
		}
	}
	return out
}
