package lease

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/platform"
)

// fullListEvery is the number of periods after which the rows are read from
// the beginning, so that deleted rows leave the view.
const fullListEvery = 30

// unreachablePeriods is the number of periods after which a table service that
// does not answer counts as out of reach.
const unreachablePeriods = 3

// probeAfterPeriods is the number of periods after which a row that stands still
// makes its host's address be probed. Proof of death takes as long to count as
// a promise lasts, so it is sought before the row lapses.
const probeAfterPeriods = 2

// maxTakes bounds the units that one commit takes.
const maxTakes = 64

// maxGrantors bounds the peers whose promises extend a lease. More would make
// rows, reads and questions grow with the square of the hosts.
const maxGrantors = 4

// Keeper is the lease state machine of one entry host. It is not safe for
// concurrent use; one duty drives it.
type Keeper struct {
	cfg         Config
	dataCentre  string
	self        Peer
	sharedUnits []Unit

	// version is that of the own HostRow, platform.Absent before it exists.
	version uint64
	// storeDeadline is when the own HostRow lapses, by Clock.Latest.
	storeDeadline time.Time
	// renewedAt is when the last confirmed renewal was sent, by Clock.Latest.
	renewedAt time.Time
	// reachedAt is when the table service last answered, by Clock.Now.
	reachedAt time.Time
	// reachableSince is since when it has answered in every few periods.
	reachableSince time.Time
	fenced         bool
	leaving        bool
	// leaveSent is set once the HostRow may have been marked as left. A take that
	// lands late gives nothing to a host that has leaveSent.
	leaveSent bool

	// grantorSets holds the heirs that the own HostRow may name: those of the
	// last confirmed renewal and of each later one with an unknown outcome.
	grantorSets []grantorSet
	// unjournaled asks the heirs to note that work may start unjournaled.
	unjournaled bool

	hosts         map[Incarnation]*hostView
	units         map[Unit]*unitView
	held          map[Unit]Gained
	stopped       map[Unit]uint64
	listedVersion uint64

	granted  map[Incarnation]grantedPromise
	refused  map[Incarnation]uint64
	promises map[Incarnation]heldPromise
	consents map[consentKey]fenceConsent
	exited   map[Incarnation]time.Time

	pending     *pendingCommit
	readingBack bool
	// blocked holds back the next step until the next period, or once a period
	// until the rows were read again after a conflict.
	blocked      bool
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
	purposeTake
	purposeFence
	purposeRelease
	purposeLeave
	purposeDelete
)

// New returns the keeper of an entry host that owns nothing yet. The units are
// those that the hosts of the data centre share among themselves.
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
// units that it holds. Whoever acts must compare it at the last moment before
// the act.
func (k *Keeper) Deadline() time.Time {
	if k.fenced || k.leaveSent || k.version == platform.Absent {
		return time.Time{}
	}
	if ext := k.extension(); ext.After(k.storeDeadline) {
		return ext
	}
	return k.storeDeadline
}

// extension returns how far the heirs' promises carry the lease past the last
// renewal. Every HostRow that the table may hold has to name heirs, and all of
// them must have promised: a row without heirs may be fenced by anyone.
func (k *Keeper) extension() time.Time {
	if len(k.grantorSets) == 0 {
		return time.Time{}
	}
	earliest := k.renewedAt.Add(k.cfg.MaxExtension)
	for _, p := range k.grantorSets {
		if len(p.grantors) == 0 && k.omit != omitEmptyGrantors {
			return time.Time{}
		}
		for _, h := range p.grantors {
			if d := k.promises[h].deadline; d.Before(earliest) {
				earliest = d
			}
		}
	}
	return earliest
}

// MayStartUnjournaled reports whether every heir knows that this host may start
// work that no journal names, so that its successor will wait for it.
func (k *Keeper) MayStartUnjournaled(latest time.Time) bool {
	if !k.unjournaled || !latest.Before(k.extension()) {
		return false
	}
	for _, h := range k.allGrantors() {
		if !k.promises[h].unjournaled {
			return false
		}
	}
	return true
}

// allGrantors returns every heir that the own HostRow may name, in order.
func (k *Keeper) allGrantors() []Incarnation {
	var out []Incarnation
	for _, p := range k.grantorSets {
		out = append(out, p.grantors...)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// SetUnjournaled sets whether the host wants to start work that no journal
// names. It takes effect when MayStartUnjournaled says so.
func (k *Keeper) SetUnjournaled(on bool) {
	k.unjournaled = on
}

// Holds returns the ownership of a unit, whether or not the authority to act on
// it has lapsed.
func (k *Keeper) Holds(u Unit) (Gained, bool) {
	g, ok := k.held[u]
	return g, ok
}

// Fenced reports whether a peer has ended this incarnation's lease. The host
// must then start again as a new incarnation.
func (k *Keeper) Fenced() bool { return k.fenced }

// StoreReachedAt returns when the table service last answered, by Clock.Now.
func (k *Keeper) StoreReachedAt() time.Time { return k.reachedAt }

// Owner returns the live owner of a unit as far as this host knows.
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

// Peers returns the live entry hosts of the data centre other than this one.
func (k *Keeper) Peers() []Peer {
	var out []Peer
	for _, i := range k.livePeers() {
		out = append(out, peerOf(k.hosts[i].row))
	}
	return out
}

// Leave starts a graceful stop: every held unit is asked to stop, released, and
// the HostRow is marked as left.
func (k *Keeper) Leave() {
	if !k.leaving {
		k.leaving = true
		// The peers learn at once that this host takes nothing any more.
		k.nextPeriodAt = time.Time{}
	}
}

// Left reports whether the graceful stop has come to its end.
func (k *Keeper) Left() bool {
	v, ok := k.hosts[k.self.Incarnation]
	return k.fenced || (ok && v.row.State == HostLeft)
}

// Stopped tells the keeper that the owner has stopped acting on a unit that it
// was asked to release. The owner must not act under that epoch again.
func (k *Keeper) Stopped(u Unit, epoch uint64) {
	if g, ok := k.held[u]; ok && g.Epoch == epoch {
		k.stopped[u] = epoch
	}
}

func (k *Keeper) nextID() string {
	k.seq++
	return fmt.Sprintf("%s/%d", k.self.Incarnation, k.seq)
}

// isOwnWrite reports whether a write was made by this incarnation.
func (k *Keeper) isOwnWrite(writeID string) bool {
	return strings.HasPrefix(writeID, string(k.self.Incarnation)+"/")
}

func peerOf(r HostRow) Peer {
	return Peer{Incarnation: r.Incarnation, Name: r.Name, Addr: r.Addr}
}

// SetUnits sets the units that the hosts of the data centre share.
func (k *Keeper) SetUnits(units []Unit) { k.sharedUnits = units }

// Held returns the units that the host holds and was not asked to release.
func (k *Keeper) Held() map[Unit]Gained {
	out := make(map[Unit]Gained, len(k.held))
	for u, g := range k.held {
		if _, stopped := k.stopped[u]; !stopped {
			out[u] = g
		}
	}
	return out
}

// Owners returns the live owner of each unit as far as this host knows.
func (k *Keeper) Owners() map[Unit]Peer {
	out := make(map[Unit]Peer, len(k.units))
	for u := range k.units {
		if p, ok := k.Owner(u); ok {
			out[u] = p
		}
	}
	return out
}
