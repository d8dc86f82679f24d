package lease

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/fault"
)

// Authority is a snapshot of what a host may act on, taken after an event of its
// Keeper.
type Authority struct {
	// Deadline is when the authority ends, by Clock.Latest.
	Deadline time.Time
	// Held holds the units that the host owns and has not stopped acting on.
	Held map[Unit]Gained
}

// MayAct returns an error when the host may not act on a unit under an epoch.
// latest is Clock.Latest, read immediately before the act.
func (a Authority) MayAct(u Unit, epoch uint64, latest time.Time) error {
	g, ok := a.Held[u]
	switch {
	case !ok || g.Epoch != epoch:
		return fault.New("act", KindLapsed, "unit %s is not held under epoch %d", u, epoch)
	case !latest.Before(a.Deadline):
		return fault.New("act", KindLapsed, "the authority over unit %s has lapsed", u)
	}
	return nil
}

// Authority returns what the host may act on as of the last event.
func (k *Keeper) Authority() Authority {
	return Authority{Deadline: k.Deadline(), Held: k.Held()}
}
