package lease

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cicadabarrow.example/cicadabarrow/internal/platform"
)

// Committed takes the outcome of a commit. With OutcomeDone, version is the version
// of the rows that it wrote.
func (k *Keeper) Committed(id string, outcome Outcome, version uint64, now time.Time) []Action {
	p := k.pending
	if p == nil || p.id != id {
		return nil
	}
	switch outcome {
	case OutcomeDone:
		k.recordStoreReached(now)
		return k.commitDone(version, now)
	case OutcomeUnknown:
		k.readingBack = true
		if k.omit == omitUnsettledGrantors {
			k.discardGrantors(p.id)
		}
		return []Action{Read{Key: p.key}}
	case OutcomeConflict, OutcomeNotRun:
		if outcome == OutcomeConflict {
			k.recordStoreReached(now)
		}
		k.discardGrantors(p.id)
		k.clearPending()
		// The same step would fail again until the view, or the state of the
		// table service, has changed.
		k.blocked = true
	}
	if outcome == OutcomeConflict && !k.retried {
		k.retried = true
		return []Action{List{Prefix: Prefix(k.dataCentre), After: k.listedVersion}}
	}
	return nil
}

// RowRead takes the row that a Read action asked for; found is false when there is
// no such row. A write that the row does not show may still take effect later, but
// only until another write of the row succeeds.
func (k *Keeper) RowRead(row platform.Row, found bool, now time.Time) []Action {
	k.recordStoreReached(now)
	if k.pending == nil || !k.readingBack {
		return nil
	}
	if found && (row.WriteID == k.pending.id || k.omit == omitWriteID) {
		return k.commitDone(row.Version, now)
	}
	k.clearPending()
	if !found {
		return nil
	}
	// Reading one row does not advance listedVersion, since rows of lower versions
	// may not have been listed yet. A malformed row is reported by the next list.
	_ = k.observe(row, now)
	return k.ownershipChanges()
}

// Listed takes the rows that a List action asked for. It returns the units gained
// and lost, and an error for each malformed row, which changes nothing.
func (k *Keeper) Listed(after uint64, rows []platform.Row, now time.Time) ([]Action, []error) {
	k.recordStoreReached(now)
	var errs []error
	var last uint64
	for _, r := range rows {
		last = max(last, r.Version)
		if err := k.observe(r, now); err != nil {
			errs = append(errs, err)
		}
	}
	if after == 0 {
		k.removeDeleted(rows, last)
	}
	k.listedVersion = max(k.listedVersion, last)
	if k.retried && !k.relisted {
		k.relisted, k.blocked = true, false
	}
	return k.ownershipChanges(), errs
}

// commitDone applies a commit that took effect.
func (k *Keeper) commitDone(version uint64, now time.Time) []Action {
	p := *k.pending
	k.clearPending()
	switch p.purpose {
	case purposeRegister, purposeRenew, purposeLeave:
		k.version = version
		k.rowDeadline = p.sentAt.Add(k.cfg.HostTTL)
		k.renewedAt = p.sentAt
		k.confirmGrantors(p.id)
		k.recordOwnRow(p, version, now)
	case purposeTakeOver, purposeRelease, purposeFence, purposeDelete:
		// The next list brings these rows into the view, since it starts below
		// this version.
	}
	if p.purpose == purposeRelease {
		delete(k.stopped, p.unit)
		g := k.held[p.unit]
		delete(k.held, p.unit)
		if v, ok := k.units[p.unit]; ok {
			v.row.Released = true
			v.version = version
		}
		return []Action{Lost{Unit: p.unit, Epoch: g.Epoch}}
	}
	if p.purpose == purposeDelete {
		delete(k.hosts, p.host)
		return nil
	}
	return []Action{List{Prefix: Prefix(k.dataCentre), After: k.listedVersion}}
}

func (k *Keeper) recordOwnRow(p pendingCommit, version uint64, now time.Time) {
	v, ok := k.hosts[k.self.Incarnation]
	if !ok {
		v = &hostView{liveSince: now}
		k.hosts[k.self.Incarnation] = v
	}
	v.version, v.seenAt = version, now
	v.row = HostRow{Incarnation: k.self.Incarnation, Name: k.self.Name, Addr: k.self.Addr, State: HostLive}
	if p.purpose == purposeLeave {
		v.row.State = HostLeft
	}
}

func (k *Keeper) clearPending() {
	k.pending = nil
	k.readingBack = false
}

func (k *Keeper) discardGrantors(id string) {
	k.grantorSets = slices.DeleteFunc(k.grantorSets, func(p grantorSet) bool { return p.id == id })
}

// confirmGrantors keeps only the grantors of the renewal that is known to have
// taken effect. Earlier renewals with an unknown outcome check an older version of
// the row, so they can no longer take effect.
func (k *Keeper) confirmGrantors(id string) {
	k.grantorSets = slices.DeleteFunc(k.grantorSets, func(p grantorSet) bool { return p.id != id })
}

func (k *Keeper) observe(r platform.Row, now time.Time) error {
	switch {
	case isHostKey(r.Key):
		row, err := DecodeHost(r.Key, r.Value)
		if err != nil {
			return err
		}
		k.observeHost(row, r, now)
	case isUnitKey(r.Key):
		row, err := DecodeUnit(r.Key, r.Value)
		if err != nil {
			return err
		}
		if v, ok := k.units[row.Unit]; !ok || r.Version > v.version {
			k.units[row.Unit] = &unitView{row: row, version: r.Version}
		}
	}
	return nil
}

func (k *Keeper) observeHost(row HostRow, r platform.Row, now time.Time) {
	if row.Incarnation == k.self.Incarnation {
		k.observeSelf(row, r)
	}
	v, ok := k.hosts[row.Incarnation]
	if !ok {
		v = &hostView{liveSince: now}
		k.hosts[row.Incarnation] = v
	}
	if row.Incarnation != k.self.Incarnation && row.Addr == k.self.Addr {
		// This host listens at that address itself.
		k.Probed(row.Incarnation, k.self.Incarnation, now)
	}
	if r.Version > v.version {
		v.row, v.version, v.seenAt = row, r.Version, now
	}
}

// observeSelf takes this host's HostRow as it was read: it adopts the version of a
// write of this host whose response was lost, and notes when a peer has fenced the
// host.
func (k *Keeper) observeSelf(row HostRow, r platform.Row) {
	if row.State == HostFenced {
		k.fenced = true
		return
	}
	if r.Version <= k.version || !k.isOwnWrite(r.WriteID) {
		return
	}
	if k.pending != nil && k.pending.id == r.WriteID {
		return
	}
	k.version = r.Version
	k.confirmGrantors(r.WriteID)
}

// removeDeleted removes from the view the rows that a full list no longer
// contains.
func (k *Keeper) removeDeleted(rows []platform.Row, last uint64) {
	listed := make(map[string]bool, len(rows))
	for _, r := range rows {
		listed[r.Key] = true
	}
	for i, v := range k.hosts {
		if v.version < last && !listed[HostKey(k.dataCentre, i)] {
			delete(k.hosts, i)
			k.fenced = k.fenced || i == k.self.Incarnation
		}
	}
	for u, v := range k.units {
		if v.version < last && !listed[UnitKey(k.dataCentre, u)] {
			delete(k.units, u)
		}
	}
}

// ownershipChanges updates the held units to the ownership in the unit rows, and
// returns the units gained and lost.
func (k *Keeper) ownershipChanges() []Action {
	if k.fenced {
		return k.loseAll()
	}
	var out []Action
	for _, u := range sortedUnits(k.held) {
		v, ok := k.units[u]
		if ok && v.row.Owner == k.self.Incarnation && v.row.Epoch == k.held[u].Epoch && !v.row.Released {
			continue
		}
		out = append(out, Lost{Unit: u, Epoch: k.held[u].Epoch})
		delete(k.held, u)
		delete(k.stopped, u)
	}
	for _, u := range sortedUnits(k.units) {
		v := k.units[u]
		if _, held := k.held[u]; held || k.leaveSent || v.row.Owner != k.self.Incarnation || v.row.Released {
			continue
		}
		g := Gained{
			Unit: u, Epoch: v.row.Epoch, Version: v.version, First: v.row.Predecessor == "",
			Clean: v.row.Clean, Unjournaled: v.row.Unjournaled,
		}
		k.held[u] = g
		out = append(out, g)
	}
	return out
}

// livePeers returns the live incarnations of the data centre except this one.
func (k *Keeper) livePeers() []Incarnation {
	var out []Incarnation
	for _, i := range k.sortedHosts() {
		if i != k.self.Incarnation && k.hosts[i].row.State == HostLive {
			out = append(out, i)
		}
	}
	return out
}

// chooseGrantors returns the grantors that the next renewal names. They are chosen
// by rendezvous hashing, so that they change only when hosts come or go.
func (k *Keeper) chooseGrantors() []Incarnation {
	out := slices.DeleteFunc(k.livePeers(), func(i Incarnation) bool { return k.hosts[i].row.Leaving })
	slices.SortStableFunc(out, func(a, b Incarnation) int {
		return cmp.Compare(score(Unit(k.self.Name), k.hosts[b].row.Name), score(Unit(k.self.Name), k.hosts[a].row.Name))
	})
	return out[:min(len(out), maxGrantors)]
}

// preferred returns the incarnation that should own a unit, by rendezvous hashing
// over the names of the live hosts. A peer counts only when its row is fresh and
// it is not leaving. For a unit that this host holds, a peer counts only after it
// has been live for RebalanceDelay.
func (k *Keeper) preferred(u Unit, others []Incarnation, now time.Time) Incarnation {
	_, held := k.held[u]
	best, bestScore := k.self.Incarnation, score(u, k.self.Name)
	for _, i := range others {
		v := k.hosts[i]
		if v.row.Leaving || now.Sub(v.seenAt) >= k.cfg.HostTTL || (held && now.Sub(v.liveSince) < k.cfg.RebalanceDelay) {
			continue
		}
		if s := score(u, v.row.Name); s > bestScore {
			best, bestScore = i, s
		}
	}
	return best
}

func score(u Unit, name string) uint64 {
	return xxhash.Sum64String(string(u) + "\x00" + name)
}

func (k *Keeper) sortedHosts() []Incarnation {
	return slices.Sorted(maps.Keys(k.hosts))
}

func sortedUnits[V any](m map[Unit]V) []Unit {
	return slices.SortedFunc(maps.Keys(m), cmp.Compare)
}
