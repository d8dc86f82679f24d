package lease

import (
	"slices"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/platform"
)

// fenceLapsed ends the lease of one peer whose row has lapsed and which no
// promise can carry any more.
func (k *Keeper) fenceLapsed(now, latest time.Time) Action {
	for _, i := range k.sortedHosts() {
		v := k.hosts[i]
		if !k.lapsed(v, now) {
			continue
		}
		unjournaled, ok := k.mayFence(v, now)
		if !ok {
			continue
		}
		// From here on this host promises that owner nothing, whatever becomes
		// of the commit.
		k.refused[i] = v.version
		row := v.row
		row.State = HostFenced
		row.Unjournaled = row.Unjournaled || unjournaled
		key := HostKey(k.dataCentre, i)
		return k.submit(pendingCommit{purpose: purposeFence, key: key, host: i, sentAt: latest}, platform.Commit{
			Checks: []platform.Check{
				{Key: key, Version: v.version},
				{Key: HostKey(k.dataCentre, k.self.Incarnation), Version: k.version},
			},
			Writes: []platform.Write{{Key: key, Value: EncodeHost(row)}},
		})
	}
	return nil
}

// lapsed reports whether a peer's row stood unchanged for longer than its
// owner may act on it without promises.
func (k *Keeper) lapsed(v *hostView, now time.Time) bool {
	return v.row.State == HostLive && v.row.Incarnation != k.self.Incarnation &&
		(now.Sub(v.seenAt) >= k.cfg.HostTTL+k.cfg.Margin || k.omit == omitLapseWait)
}

// mayFence reports whether no promise can extend a lapsed lease any more, and
// whether its owner may have started unjournaled work.
func (k *Keeper) mayFence(v *hostView, now time.Time) (unjournaled, ok bool) {
	i := v.row.Incarnation
	given := k.granted[i]
	if now.Before(given.until) && k.omit != omitPromiseWait {
		return false, false
	}
	switch {
	case slices.Contains(v.row.Grantors, k.self.Incarnation):
		// The owner needs this host's promise, and has none.
		return given.unjournaled, true
	case len(v.row.Grantors) == 0:
		return false, true
	case k.knownExited(i, now):
		return true, true
	case now.Sub(v.seenAt) >= k.cfg.HostTTL+k.cfg.MaxExtension+k.cfg.Margin:
		return true, true
	}
	for _, h := range v.row.Grantors {
		if w, ok := k.consents[consentKey{h, i}]; ok && w.version == v.version {
			return w.unjournaled, true
		}
		if k.knownExited(h, now) {
			return true, true
		}
	}
	return false, false
}

// knownExited reports whether an incarnation is proven to have ended for so long
// that no promise of its is left.
func (k *Keeper) knownExited(i Incarnation, now time.Time) bool {
	at, ok := k.exited[i]
	return ok && now.Sub(at) >= k.cfg.PromiseFor+k.cfg.Margin
}

// investigateLapsed gathers what is needed to fence lapsed peers: the word of
// their heirs, and, some time before, who answers at their addresses.
func (k *Keeper) investigateLapsed(now time.Time) []Action {
	var out []Action
	for _, i := range k.sortedHosts() {
		v := k.hosts[i]
		if v.row.State != HostLive || i == k.self.Incarnation || now.Sub(v.seenAt) < k.cfg.RenewEvery*probeAfterPeriods {
			continue
		}
		if _, dead := k.exited[i]; !dead {
			out = append(out, Probe{Host: peerOf(v.row)})
		}
		if !k.lapsed(v, now) {
			continue
		}
		if slices.Contains(v.row.Grantors, k.self.Incarnation) {
			continue
		}
		for _, h := range v.row.Grantors {
			if hv, ok := k.hosts[h]; ok && h != i {
				out = append(out, RequestFenceConsent{To: peerOf(hv.row), Incarnation: i, Version: v.version})
			}
		}
	}
	return out
}

// PromiseRequested answers a peer that asks for a promise. It promises nothing to
// a peer whose lease this host is ending, or whose lease has lapsed while this
// host reaches the table service and could take over.
func (k *Keeper) PromiseRequested(from Incarnation, unjournaled bool, now time.Time) bool {
	v, known := k.hosts[from]
	if version, refusing := k.refused[from]; refusing && (!known || v.version <= version) &&
		k.omit != omitRefusal {
		return false
	}
	if k.fenced || k.leaving {
		return false
	}
	if known && v.row.State != HostLive {
		return false
	}
	if known && k.storeReachable(now) && now.Sub(v.seenAt) >= k.cfg.HostTTL+k.cfg.LapseGrace &&
		now.Sub(k.reachableSince) >= k.cfg.HostTTL+k.cfg.LapseGrace {
		return false
	}
	p := k.granted[from]
	k.granted[from] = grantedPromise{until: now.Add(k.cfg.PromiseFor), unjournaled: unjournaled || p.unjournaled}
	return true
}

// storeReachable reports whether the table service answers this host.
func (k *Keeper) storeReachable(now time.Time) bool {
	return now.Sub(k.reachedAt) < k.cfg.RenewEvery*unreachablePeriods
}

// recordStoreReached notes that the table service has answered.
func (k *Keeper) recordStoreReached(now time.Time) {
	if !k.storeReachable(now) {
		k.reachableSince = now
	}
	k.reachedAt = now
}

// PromiseAnswered takes a peer's answer to AskPromise. sentAt is when the question was
// sent, by Clock.Latest.
func (k *Keeper) PromiseAnswered(from Incarnation, yes, unjournaled bool, sentAt time.Time) {
	if !yes {
		// A promise once given stands until it lapses: whoever gave it waits for
		// that before it fences or gives its word.
		return
	}
	p := heldPromise{deadline: sentAt.Add(k.cfg.PromiseFor - k.cfg.Margin), unjournaled: unjournaled}
	if p.deadline.After(k.promises[from].deadline) {
		k.promises[from] = p
	}
}

// FenceConsentRequested answers a host that wants to fence a lapsed peer. The word is given
// only when no promise to that peer is left, and then none is made again until
// the peer's row has moved on.
func (k *Keeper) FenceConsentRequested(about Incarnation, version uint64, now time.Time) (yes, unjournaled bool) {
	if v, ok := k.hosts[about]; ok && v.version > version {
		return false, false
	}
	given := k.granted[about]
	if now.Before(given.until) {
		return false, false
	}
	k.refused[about] = max(k.refused[about], version)
	return true, given.unjournaled
}

// FenceConsentAnswered takes a heir's word about a lapsed peer's row of a version.
func (k *Keeper) FenceConsentAnswered(from, about Incarnation, version uint64, yes, unjournaled bool) {
	if !yes {
		return
	}
	k.consents[consentKey{from, about}] = fenceConsent{version: version, unjournaled: unjournaled}
}

// Probed takes the incarnation that answered at the address of a host. Two
// processes cannot listen on one address, so another incarnation there proves
// that the host's process has ended.
func (k *Keeper) Probed(host, answered Incarnation, now time.Time) {
	if answered == "" || answered == host {
		return
	}
	if _, ok := k.exited[host]; !ok {
		k.exited[host] = now
	}
}
