package lease

import (
	"slices"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/platform"
)

// fenceLapsed returns a commit that fences one peer whose row has lapsed and whose
// lease no promise can extend any more.
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
		// From here on this host refuses promises to that peer, whatever the
		// outcome of the commit: the fence may take effect at any time.
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

// lapsed reports whether a peer's row has been unchanged for longer than the peer
// may act on it without promises.
func (k *Keeper) lapsed(v *hostView, now time.Time) bool {
	return v.row.State == HostLive && v.row.Incarnation != k.self.Incarnation &&
		(now.Sub(v.seenAt) >= k.cfg.HostTTL+k.cfg.Margin || k.omit == omitLapseWait)
}

// mayFence reports whether no promise can extend a lapsed lease any more, and
// whether its owner may have started unjournaled work.
func (k *Keeper) mayFence(v *hostView, now time.Time) (unjournaled, ok bool) {
	i := v.row.Incarnation
	promise := k.granted[i]
	if now.Before(promise.until) && k.omit != omitPromiseWait {
		return false, false
	}
	switch {
	case slices.Contains(v.row.Grantors, k.self.Incarnation):
		// The peer needs this host's promise to extend its lease, and has none.
		return promise.unjournaled, true
	case len(v.row.Grantors) == 0:
		return false, true
	case k.knownExited(i, now):
		return true, true
	case now.Sub(v.seenAt) >= k.cfg.HostTTL+k.cfg.MaxExtension+k.cfg.Margin:
		return true, true
	}
	for _, g := range v.row.Grantors {
		if w, ok := k.consents[consentKey{g, i}]; ok && w.version == v.version {
			return w.unjournaled, true
		}
		if k.knownExited(g, now) {
			return true, true
		}
	}
	return false, false
}

// knownExited reports whether an incarnation is known to have exited so long ago
// that every promise that it granted has expired.
func (k *Keeper) knownExited(i Incarnation, now time.Time) bool {
	at, ok := k.exited[i]
	return ok && now.Sub(at) >= k.cfg.PromiseFor+k.cfg.Margin
}

// investigateLapsed requests what is needed to fence lapsed peers: the consent of
// their grantors, and, already from probeAfterPeriods on, the incarnations that
// listen at their addresses.
func (k *Keeper) investigateLapsed(now time.Time) []Action {
	var out []Action
	for _, i := range k.sortedHosts() {
		v := k.hosts[i]
		if v.row.State != HostLive || i == k.self.Incarnation || now.Sub(v.seenAt) < k.cfg.RenewEvery*probeAfterPeriods {
			continue
		}
		if _, exited := k.exited[i]; !exited {
			out = append(out, Probe{Host: peerOf(v.row)})
		}
		if !k.lapsed(v, now) {
			continue
		}
		if slices.Contains(v.row.Grantors, k.self.Incarnation) {
			continue
		}
		for _, g := range v.row.Grantors {
			if hv, ok := k.hosts[g]; ok && g != i {
				out = append(out, RequestFenceConsent{To: peerOf(hv.row), Incarnation: i, Version: v.version})
			}
		}
	}
	return out
}

// PromiseRequested decides whether to grant a promise to a peer. It refuses a peer
// that this host is fencing or has consented to fence, and a peer whose row lapsed
// at least LapseGrace ago while this host reaches the table service and could take
// over.
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

// storeReachable reports whether the table service has answered this host in the
// last few periods.
func (k *Keeper) storeReachable(now time.Time) bool {
	return now.Sub(k.reachedAt) < k.cfg.RenewEvery*unreachablePeriods
}

// recordStoreReached records that the table service has answered.
func (k *Keeper) recordStoreReached(now time.Time) {
	if !k.storeReachable(now) {
		k.reachableSince = now
	}
	k.reachedAt = now
}

// PromiseAnswered takes a peer's reply to RequestPromise. sentAt is when the
// request was sent, by Clock.Latest.
func (k *Keeper) PromiseAnswered(from Incarnation, granted, unjournaled bool, sentAt time.Time) {
	if !granted {
		// A refusal does not revoke an earlier promise: the grantor waits until
		// that has expired before it fences or consents to a fence.
		return
	}
	p := heldPromise{deadline: sentAt.Add(k.cfg.PromiseFor - k.cfg.Margin), unjournaled: unjournaled}
	if p.deadline.After(k.promises[from].deadline) {
		k.promises[from] = p
	}
}

// FenceConsentRequested decides whether to consent to the fencing of a lapsed
// peer. It consents only when this host's last promise to the peer has expired, and
// then grants the peer no promise until the peer's row has a later version.
// unjournaled tells whether the peer may have started unjournaled work.
func (k *Keeper) FenceConsentRequested(lapsed Incarnation, version uint64, now time.Time) (granted, unjournaled bool) {
	if v, ok := k.hosts[lapsed]; ok && v.version > version {
		return false, false
	}
	promise := k.granted[lapsed]
	if now.Before(promise.until) {
		return false, false
	}
	k.refused[lapsed] = max(k.refused[lapsed], version)
	return true, promise.unjournaled
}

// FenceConsentAnswered takes a grantor's reply to RequestFenceConsent. A consent
// is valid for that version of the lapsed peer's row.
func (k *Keeper) FenceConsentAnswered(from, lapsed Incarnation, version uint64, granted, unjournaled bool) {
	if !granted {
		return
	}
	k.consents[consentKey{from, lapsed}] = fenceConsent{version: version, unjournaled: unjournaled}
}

// Probed takes the incarnation that answered at the address of a host. Two
// processes cannot listen on one address, so a different incarnation proves that
// the host's process has exited.
func (k *Keeper) Probed(host, answered Incarnation, now time.Time) {
	if answered == "" || answered == host {
		return
	}
	if _, ok := k.exited[host]; !ok {
		k.exited[host] = now
	}
}
