package lease

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/platform"
)

// oracle checks the invariants of a world by true time and by the rows written.
type oracle struct {
	violation string
	// epochs holds the last row written of each unit.
	epochs map[Unit]UnitRow
	// acting holds the highest epoch under which a host could act on each unit.
	acting map[Unit]uint64
	// ownedAt holds when each unit last had an owner that could act.
	ownedAt map[Unit]time.Duration
	// unjournaled holds, for each unit, the incarnations that may have started
	// unjournaled work.
	unjournaled map[Unit]map[Incarnation]bool
	acts        int
	takeovers   int
}

func newOracle() oracle {
	return oracle{
		epochs: make(map[Unit]UnitRow), acting: make(map[Unit]uint64), ownedAt: make(map[Unit]time.Duration),
		unjournaled: make(map[Unit]map[Incarnation]bool),
	}
}

func (o *oracle) fail(format string, args ...any) {
	if o.violation == "" {
		o.violation = fmt.Sprintf(format, args...)
	}
}

// checkOwners reports a violation when two processes may act on one unit.
func (w *world) checkOwners() {
	for _, u := range w.units {
		var owner *process
		for _, pl := range w.places {
			p := pl.p
			if p == nil {
				continue
			}
			g, ok := p.authority.Held[u]
			if !ok || p.authority.MayAct(u, g.Epoch, p.latest()) != nil {
				continue
			}
			if owner != nil {
				w.oracle.fail("at %v %s and %s may both act on %s", w.now, owner.id, p.id, u)
			}
			owner = p
			w.oracle.ownedAt[u] = w.now
			w.oracle.acting[u] = max(w.oracle.acting[u], g.Epoch)
		}
	}
	for _, pl := range w.places {
		if pl.p != nil {
			w.checkProcess(pl.p)
		}
	}
}

// checkProcess records unjournaled work, and reports a violation when a process
// considers itself fenced although its row is live.
func (w *world) checkProcess(p *process) {
	if p.unjournaled && !p.paused {
		for u := range p.authority.Held {
			if w.oracle.unjournaled[u] == nil {
				w.oracle.unjournaled[u] = make(map[Incarnation]bool)
			}
			w.oracle.unjournaled[u][p.id] = true
		}
	}
	if !p.k.Fenced() {
		return
	}
	if state, ok := w.table.hostState(p.id); ok && state == HostLive {
		w.oracle.fail("at %v %s considers itself fenced although its row is live", w.now, p.id)
	}
}

// clearUnjournaled records that all work of a process is in its journal.
func (o *oracle) clearUnjournaled(p *process) {
	for _, by := range o.unjournaled {
		delete(by, p.id)
	}
}

// checkAct checks an act that a process sends.
func (o *oracle) checkAct(p *process, a act) {
	o.acts++
	if a.epoch < o.acting[a.unit] {
		o.fail("at %v %s acts on %s under epoch %d after epoch %d", p.w.now, p.id, a.unit, a.epoch, o.acting[a.unit])
	}
	for _, pl := range p.w.places {
		q := pl.p
		if q == nil || q == p {
			continue
		}
		if g, ok := q.authority.Held[a.unit]; ok && q.authority.MayAct(a.unit, g.Epoch, q.latest()) == nil {
			o.fail("at %v %s acts on %s while %s may", p.w.now, p.id, a.unit, q.id)
		}
	}
	o.acting[a.unit] = max(o.acting[a.unit], a.epoch)
}

// checkGained checks that a new owner is told of the unjournaled work of earlier
// owners.
func (o *oracle) checkGained(p *process, g Gained) {
	row := o.epochs[g.Unit]
	if row.Epoch != g.Epoch || g.Unjournaled {
		return
	}
	for i := range o.unjournaled[g.Unit] {
		if i != p.id {
			o.fail("at %v %s gains %s and is not told of unjournaled work by %s", p.w.now, p.id, g.Unit, i)
		}
	}
}

// checkCommit checks the unit rows of a commit that took effect.
func (o *oracle) checkCommit(t *memoryTable, c platform.Commit, ok bool) {
	for _, write := range c.Writes {
		if !ok || !isUnitKey(write.Key) {
			continue
		}
		row, err := DecodeUnit(write.Key, write.Value)
		if err != nil {
			o.fail("version %d: %v", t.version, err)
			continue
		}
		last := o.epochs[row.Unit]
		o.epochs[row.Unit] = row
		if row.Owner == last.Owner && row.Epoch == last.Epoch && row.Released {
			delete(o.unjournaled, row.Unit)
			continue
		}
		o.takeovers++
		o.checkTakeover(t, last, row)
	}
}

// checkTakeover checks a change of owner: the new owner must be live, and the old
// one must not be, unless it released the unit.
func (o *oracle) checkTakeover(t *memoryTable, last, row UnitRow) {
	if row.Epoch != last.Epoch+1 {
		o.fail("unit %s went from epoch %d to %d", row.Unit, last.Epoch, row.Epoch)
	}
	if state, ok := t.hostState(row.Owner); !ok || state != HostLive {
		o.fail("unit %s was taken over by %s, whose row is %q", row.Unit, row.Owner, state)
	}
	if state, ok := t.hostState(last.Owner); ok && state == HostLive && !last.Released {
		o.fail("unit %s was taken over from %s, whose row is live", row.Unit, last.Owner)
	}
}

func sortRows(rows []platform.Row) {
	slices.SortFunc(rows, func(a, b platform.Row) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Key, b.Key))
	})
}
