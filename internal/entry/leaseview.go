package entry

import (
	"maps"
	"slices"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/lease"
)

// MayAct returns an error if this host may not act on a unit under an epoch at
// this moment.
func (l *Leases) MayAct(u lease.Unit, epoch uint64) error {
	if err := l.state.Load().MayAct(u, epoch, l.timers.Latest()); err != nil {
		return fault.New("act", KindNotOwner, "%w", err)
	}
	return nil
}

// MayRenew returns an error if the authority over a unit ended longer than the
// grace period ago, or if the unit is no longer held under the epoch.
func (l *Leases) MayRenew(u lease.Unit, epoch uint64, grace time.Duration) error {
	a := l.state.Load()
	g, ok := a.Held[u]
	switch {
	case !ok || g.Epoch != epoch:
		return fault.New("renew", KindNotOwner, "unit %s is not held under epoch %d", u, epoch)
	case !l.timers.Latest().Before(a.latestDeadline.Add(grace)):
		return fault.New("renew", KindNotOwner, "the authority over unit %s ended more than %v ago", u, grace)
	}
	return nil
}

// MayStartUnjournaled reports whether this host may start tasks unjournaled: it has
// set that it wants to, and every possible successor has confirmed that it knows of
// this.
func (l *Leases) MayStartUnjournaled() bool { return l.state.Load().unjournaled }

// SetUnjournaled sets whether this host wants to start tasks unjournaled, and
// announces it to every possible successor.
func (l *Leases) SetUnjournaled(on bool) {
	l.post(func(time.Time) []lease.Action {
		l.keeper.SetUnjournaled(on)
		return nil
	})
}

// SetUnits sets the units that are divided among the entry hosts of the data
// centre.
func (l *Leases) SetUnits(units []lease.Unit) {
	l.post(func(time.Time) []lease.Action {
		l.keeper.SetUnits(units)
		return nil
	})
}

// Owner returns the owner of a unit of this data centre, if this host knows it.
func (l *Leases) Owner(u lease.Unit) (lease.Peer, bool) {
	p, ok := l.state.Load().owners[u]
	return p, ok
}

// Peers returns the other live entry hosts of the data centre.
func (l *Leases) Peers() []lease.Peer { return l.state.Load().peers }

// Units returns the names of the units that this host holds.
func (l *Leases) Units() []string {
	var out []string
	for _, u := range slices.Sorted(maps.Keys(l.state.Load().Held)) {
		out = append(out, string(u))
	}
	return out
}

// StoreReachedAt returns the time of the last response of the table service.
func (l *Leases) StoreReachedAt() time.Time { return l.state.Load().reachedAt }
