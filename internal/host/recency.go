package host

import (
	"bytes"
	"context"
	"sync"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/message"
	"cicadabarrow.example/cicadabarrow/internal/rowstore"
	"cicadabarrow.example/cicadabarrow/internal/transfer"
)

const (
	// recentWithin is the age up to which an unknown key is refused without a read of the
	// manifest. It is longer than two calls for changes, since the begin of the last one
	// that was answered counts, so that a flood of unknown keys causes no reads while the
	// store answers. It is 1 s shorter than the 2.5 s in which a new key has to work on
	// small deployments.
	recentWithin = 1500 * time.Millisecond
	// accountsWait is how long a call for changes waits if the deployment has accounts.
	accountsWait = 500 * time.Millisecond
	// confirmInterval is the least time from the begin of one read for unknown keys to
	// that of the next: a host makes at most four a second.
	confirmInterval = 250 * time.Millisecond
	// confirmTimeout bounds such a read, for which calls wait. The begin of a read counts,
	// so that the result of a slower one would be recent for only a short time.
	confirmTimeout = 1 * time.Second
	// strictPolls is how many calls for changes a host with strict revocation begins at
	// least in the time for which a manifest counts as confirmed, so that one lost answer
	// does not make it refuse calls. minManifestWait bounds their frequency.
	strictPolls     = 3
	minManifestWait = 200 * time.Millisecond
)

// moment is the time by both clocks of a timer.Clock. The monotonic clock, which may miss
// suspensions, never overestimates how long ago something was; latest never
// underestimates it.
type moment struct {
	monotonic time.Time
	latest    time.Time
}

func (h *Host) moment() moment {
	return moment{monotonic: h.timers.Now(), latest: h.timers.Latest()}
}

// before returns a moment that is earlier by a duration.
func (m moment) before(d time.Duration) moment {
	return moment{monotonic: m.monotonic.Add(-d), latest: m.latest.Add(-d)}
}

// recency tracks how recent the manifest in force certainly is. The zero value is that of
// a manifest of unknown age.
type recency struct {
	mu sync.Mutex
	// begin is when this process began.
	begin time.Time
	// asOf is a time such that the manifest in force includes all that the store had
	// then, and known is set if there is one.
	asOf  time.Time
	known bool
	// sinceBegin is set once the manifest in force certainly includes all that the store
	// had when this process began, and so all that an earlier process of this host had in
	// force.
	sinceBegin bool

	// announced is what pongs have told of the newest version.
	announced struct {
		version uint64
		at      moment
	}

	// reading is closed at the end of the current read for unknown keys; it is nil if there
	// is none. lastRead is when the last one began.
	reading  chan struct{}
	lastRead time.Time
}

// confirmed records that a version was the newest usable one in the store at a time,
// which the manifest in force then includes if it is at least as new.
func (h *Host) confirmed(version uint64, at moment) {
	if h.manifestVersion() < version {
		return
	}
	r := &h.recency
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.known || at.latest.After(r.asOf) {
		r.asOf, r.known = at.latest, true
	}
	if !at.monotonic.Before(r.begin) {
		r.sinceBegin = true
	}
}

// manifestRecency is how recent the manifest in force certainly is.
type manifestRecency struct {
	// age is for how long changes of the store may be missing; known is set if that is
	// known.
	age   time.Duration
	known bool
	// sinceBegin is as in recency.
	sinceBegin bool
}

// within reports whether the age is known and not more than a limit.
func (r manifestRecency) within(limit time.Duration) bool { return r.known && r.age <= limit }

// manifestRecency returns how recent the manifest in force is. A caller that reads the
// manifest afterwards gets that one or a newer one, for which the result holds too.
func (h *Host) manifestRecency() manifestRecency {
	now := h.timers.Latest()
	r := &h.recency
	r.mu.Lock()
	defer r.mu.Unlock()
	return manifestRecency{age: now.Sub(r.asOf), known: r.known, sinceBegin: r.sinceBegin}
}

// storedManifest is what the calls that follow the operator's rows have told of the row
// of the manifest. Only the goroutine of followManifest uses it.
type storedManifest struct {
	// rowVersion is the version of the row, and version that of the newest usable
	// manifest in it. known is set if no usable one can be missing in between.
	rowVersion uint64
	version    uint64
	known      bool
}

// observe records the row of the manifest. decoded is nil if the row cannot be used. A
// change feed tells every change, so that the last usable manifest stays the newest one
// if the new one cannot be used. A read may have missed a usable one before that.
func (s *storedManifest) observe(row rowstore.Row, decoded *manifest.Manifest, feed bool) {
	switch {
	case row.Version < s.rowVersion:
		s.known = false // the answer is older than an earlier one
	case decoded != nil:
		s.version, s.known = decoded.Version, true
	case row.Deleted, !feed && row.Version != s.rowVersion:
		s.known = false
	}
	s.rowVersion = max(s.rowVersion, row.Version)
}

// confirmStored records that a call which began at a time has found the manifest that
// s tells.
func (h *Host) confirmStored(s *storedManifest, began moment) {
	if s.known {
		h.confirmed(s.version, began)
	}
}

// confirmPong records what a pong to a ping sent at a time says of the manifest. The pong
// was made after that time, so that its age counts from there at the earliest.
func (h *Host) confirmPong(pong message.OwnerPong, sent moment) {
	if pong.ManifestAge <= 0 {
		return
	}
	at := sent.before(pong.ManifestAge)
	if h.manifestVersion() < pong.Manifest {
		h.recency.announce(pong.Manifest, at)
	}
	h.confirmed(pong.Manifest, at)
}

// announce records that a version, which this host does not have yet, was the newest
// usable one in the store at a time. What is known of an older version is dropped.
func (r *recency) announce(version uint64, at moment) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := &r.announced
	if version > a.version || version == a.version && at.latest.After(a.at.latest) {
		a.version, a.at = version, at
	}
}

// confirmAnnounced applies what was announced, once that version is in force.
func (h *Host) confirmAnnounced() {
	r := &h.recency
	r.mu.Lock()
	a := r.announced
	r.mu.Unlock()
	if a.version > 0 {
		h.confirmed(a.version, a.at)
	}
}

// pongManifest sets what a pong says of the manifest in force. Deployments without
// accounts do not need its age.
func (h *Host) pongManifest(pong *message.OwnerPong) {
	recency := h.manifestRecency() // before the version, see there
	m := h.manifests.Current()
	if m == nil {
		return
	}
	pong.Manifest = m.Version
	if m.HasAccounts && recency.known {
		pong.ManifestAge = max(recency.age, 1)
	}
}

// confirmManifest reads the manifest from the store, or waits for such a read that is in
// progress. It returns at once if the last one has only just been made.
func (h *Host) confirmManifest(ctx context.Context) {
	done := h.startConfirmation()
	if done == nil {
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// startConfirmation returns a channel that is closed at the end of the read, or nil if
// none may be made now.
func (h *Host) startConfirmation() <-chan struct{} {
	r := &h.recency
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reading != nil {
		return r.reading
	}
	now := h.timers.Now()
	if h.ctx.Err() != nil || now.Sub(r.lastRead) < confirmInterval {
		return nil
	}
	done := make(chan struct{})
	r.reading, r.lastRead = done, now
	h.keyMetrics.reads.Inc(1)
	h.background.Go(func() {
		h.readForConfirmation()
		r.mu.Lock()
		defer r.mu.Unlock()
		r.reading = nil
		close(done)
	})
	return done
}

// readForConfirmation reads the row of the manifest alone. The calls of followManifest
// go on meanwhile.
func (h *Host) readForConfirmation() {
	ctx, cancel := transfer.WithTimeout(h.ctx, confirmTimeout)
	defer cancel()
	key := rowstore.Range{Table: h.platform.Manifests.Table(), From: h.platform.Manifests.Name(), Limit: 1}
	began := h.moment()
	snapshot, err := h.platform.Store.Read(ctx, key)
	if err != nil {
		return
	}
	for _, row := range snapshot.Rows {
		if row.Name != h.platform.Manifests.Name() {
			continue
		}
		// A large manifest takes long to decode, and most reads find the one in force.
		if raw := h.rawManifest.Load(); raw != nil && bytes.Equal(raw.content, row.Value) {
			h.confirmed(raw.version, began)
		} else if m := h.adopt(row.Value, "store"); m != nil {
			h.confirmed(m.Version, began)
		}
	}
}

// manifestWait returns how long a call for changes of the operator's rows waits.
func (h *Host) manifestWait() time.Duration {
	m := h.manifests.Current()
	switch {
	case m == nil || !m.HasAccounts:
		return manifestWait
	case h.config.RevokeWithin == 0:
		return accountsWait
	}
	return min(accountsWait, max(h.config.RevokeWithin/strictPolls, minManifestWait))
}
