package lease

import (
	"slices"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/platform"
)

// Tick returns the actions that are due. Once a period it renews the lease, lists
// the rows and requests promises. Between these it commits one step at a time: it
// releases units, leaves, fences a peer, takes over units, or deletes an old row.
// now is Clock.Now and latest is Clock.Latest.
func (k *Keeper) Tick(now, latest time.Time) []Action {
	if k.fenced {
		return k.loseAll()
	}
	var out []Action
	if !now.Before(k.nextPeriodAt) {
		k.nextPeriodAt = now.Add(k.cfg.RenewEvery)
		k.blocked, k.retried, k.relisted = false, false, false
		out = append(out, k.periodic(now, latest)...)
	}
	if k.pending == nil && !k.blocked {
		if c := k.nextStep(now, latest); c != nil {
			out = append(out, c)
		}
	}
	return append(out, k.requestReleases(now)...)
}

func (k *Keeper) periodic(now, latest time.Time) []Action {
	var out []Action
	if k.pending == nil && !k.Left() {
		out = append(out, k.renew(latest))
	}
	if k.readingBack && k.pending != nil {
		out = append(out, Read{Key: k.pending.key})
	}
	if k.periods%fullListEvery == 0 {
		k.listedVersion = 0
	}
	k.periods++
	out = append(out, List{Prefix: Prefix(k.dataCentre), After: k.listedVersion})
	for _, g := range k.allGrantors() {
		if v, ok := k.hosts[g]; ok {
			out = append(out, RequestPromise{To: peerOf(v.row), Unjournaled: k.unjournaled})
		}
	}
	return append(out, k.investigateLapsed(now)...)
}

// renew creates or renews this host's HostRow. It is called only while no other
// commit is in flight.
func (k *Keeper) renew(latest time.Time) Action {
	purpose := purposeRenew
	if k.version == platform.Absent {
		purpose = purposeRegister
	}
	grantors := k.chooseGrantors()
	row := HostRow{
		Incarnation: k.self.Incarnation, Name: k.self.Name, Addr: k.self.Addr,
		State: HostLive, Leaving: k.leaving, Grantors: grantors, Unjournaled: k.unjournaled,
	}
	return k.commitHost(purpose, row, latest)
}

func (k *Keeper) commitHost(p purpose, row HostRow, latest time.Time) Action {
	key := HostKey(k.dataCentre, k.self.Incarnation)
	a := k.submit(pendingCommit{purpose: p, key: key, host: k.self.Incarnation, sentAt: latest}, platform.Commit{
		Checks: []platform.Check{{Key: key, Version: k.version}},
		Writes: []platform.Write{{Key: key, Value: EncodeHost(row)}},
	})
	// Until the outcome is known, the row may name either set of grantors.
	k.grantorSets = append(k.grantorSets, grantorSet{id: k.pending.id, grantors: row.Grantors})
	return a
}

func (k *Keeper) submit(p pendingCommit, c platform.Commit) Action {
	p.id = k.nextID()
	c.ID = p.id
	k.pending = &p
	return Commit{Commit: c}
}

// nextStep returns the next commit that is not a renewal, if one is due.
func (k *Keeper) nextStep(now, latest time.Time) Action {
	if k.version == platform.Absent || k.Left() {
		return nil
	}
	if a := k.releaseStopped(latest); a != nil {
		return a
	}
	if k.leaving {
		return k.leave(latest)
	}
	if !latest.Before(k.rowDeadline) {
		return nil
	}
	if a := k.fenceLapsed(now, latest); a != nil {
		return a
	}
	if a := k.takeOverFree(now, latest); a != nil {
		return a
	}
	return k.deleteOld(now, latest)
}

func (k *Keeper) releaseStopped(latest time.Time) Action {
	for _, u := range sortedUnits(k.stopped) {
		v, ok := k.units[u]
		if !ok || v.row.Owner != k.self.Incarnation || v.row.Epoch != k.stopped[u] || v.row.Released {
			continue
		}
		return k.commitRelease(v.row, v.version, latest)
	}
	return nil
}

func (k *Keeper) leave(latest time.Time) Action {
	if len(k.held) > 0 {
		return nil
	}
	k.leaveSent = true
	row := HostRow{Incarnation: k.self.Incarnation, Name: k.self.Name, Addr: k.self.Addr, State: HostLeft}
	return k.commitHost(purposeLeave, row, latest)
}

// takeOverFree returns a commit that takes over the units that have no live owner
// and for which this host is preferred.
func (k *Keeper) takeOverFree(now, latest time.Time) Action {
	var c platform.Commit
	var first string
	owners := make(map[Incarnation]bool)
	others := k.livePeers()
	for _, u := range k.sharedUnits {
		if len(c.Writes) == maxTakeoversPerCommit {
			break
		}
		row, version, free := k.freeUnit(u)
		if !free || k.preferred(u, others, now) != k.self.Incarnation {
			continue
		}
		key := UnitKey(k.dataCentre, u)
		if first == "" {
			first = key
		}
		c.Checks = append(c.Checks, platform.Check{Key: key, Version: version})
		c.Writes = append(c.Writes, platform.Write{Key: key, Value: EncodeUnit(row)})
		if row.Predecessor != "" && !row.Clean && !owners[row.Predecessor] {
			owners[row.Predecessor] = true
			c.Checks = append(c.Checks, k.predecessorCheck(row.Predecessor))
		}
	}
	if first == "" {
		return nil
	}
	return k.submit(pendingCommit{purpose: purposeTakeOver, key: first, sentAt: latest}, k.withOwnRow(c))
}

// predecessorCheck makes a takeover fail unless the HostRow of the unit's
// predecessor still has the version in which this host saw it ended, in case this
// host has missed later changes.
func (k *Keeper) predecessorCheck(i Incarnation) platform.Check {
	c := platform.Check{Key: HostKey(k.dataCentre, i), Version: platform.Absent}
	if v, ok := k.hosts[i]; ok {
		c.Version = v.version
	}
	return c
}

// withOwnRow adds a check of this host's HostRow, so that a commit fails once the
// host's lease has ended or been renewed.
func (k *Keeper) withOwnRow(c platform.Commit) platform.Commit {
	if k.omit != omitOwnRow {
		c.Checks = append(c.Checks, platform.Check{
			Key: HostKey(k.dataCentre, k.self.Incarnation), Version: k.version,
		})
	}
	return c
}

// freeUnit returns the row with which this host would take over a unit, the version
// of the row that it replaces, and whether the unit may be taken over.
func (k *Keeper) freeUnit(u Unit) (row UnitRow, version uint64, free bool) {
	row = UnitRow{Unit: u, Owner: k.self.Incarnation, Epoch: 1, Clean: true}
	v, ok := k.units[u]
	if !ok {
		return row, platform.Absent, true
	}
	row.Epoch = v.row.Epoch + 1
	row.Predecessor = v.row.Owner
	row.Clean = v.row.Released
	if v.row.Released {
		return row, v.version, true
	}
	h, ok := k.hosts[v.row.Owner]
	if !ok {
		// The owner's HostRow is deleted only after it was fenced or left.
		row.Unjournaled = true
		return row, v.version, k.periods > fullListEvery
	}
	row.Unjournaled = h.row.Unjournaled || v.row.Unjournaled
	return row, v.version, h.row.State != HostLive
}

// commitRelease returns a commit that marks a held unit as released.
func (k *Keeper) commitRelease(row UnitRow, version uint64, latest time.Time) Action {
	key := UnitKey(k.dataCentre, row.Unit)
	row.Released = true
	return k.submit(pendingCommit{purpose: purposeRelease, key: key, unit: row.Unit, sentAt: latest},
		k.withOwnRow(platform.Commit{
			Checks: []platform.Check{{Key: key, Version: version}},
			Writes: []platform.Write{{Key: key, Value: EncodeUnit(row)}},
		}))
}

// requestReleases returns a Release action for each unit that should move: all of
// them while leaving, otherwise those for which another live host is preferred.
func (k *Keeper) requestReleases(now time.Time) []Action {
	var out []Action
	others := k.livePeers()
	for _, u := range sortedUnits(k.held) {
		g := k.held[u]
		if _, done := k.stopped[u]; done {
			continue
		}
		if k.leaving || k.preferred(u, others, now) != k.self.Incarnation {
			out = append(out, Release{Unit: u, Epoch: g.Epoch})
		}
	}
	return out
}

// loseAll drops every held unit and returns a Lost action for each.
func (k *Keeper) loseAll() []Action {
	var out []Action
	for _, u := range sortedUnits(k.held) {
		out = append(out, Lost{Unit: u, Epoch: k.held[u].Epoch})
		delete(k.held, u)
	}
	return out
}

// deleteOld returns a commit that deletes the row of a host that was fenced or left
// at least keepFor ago, when no unit row and no live host row refers to it.
func (k *Keeper) deleteOld(now, latest time.Time) Action {
	const keepFor = 10 * time.Minute
	for _, i := range k.sortedHosts() {
		v := k.hosts[i]
		if v.row.State == HostLive || now.Sub(v.seenAt) < keepFor || k.referenced(i) {
			continue
		}
		key := HostKey(k.dataCentre, i)
		return k.submit(pendingCommit{purpose: purposeDelete, key: key, host: i, sentAt: latest}, platform.Commit{
			Checks: []platform.Check{{Key: key, Version: v.version}},
			Writes: []platform.Write{{Key: key, Delete: true}},
		})
	}
	return nil
}

func (k *Keeper) referenced(i Incarnation) bool {
	for _, v := range k.units {
		if v.row.Owner == i {
			return true
		}
	}
	for _, v := range k.hosts {
		if v.row.State == HostLive && slices.Contains(v.row.Grantors, i) {
			return true
		}
	}
	return false
}
