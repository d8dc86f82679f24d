package host

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
)

// keyRefusal is why a call that needs a key is refused.
type keyRefusal string

const (
	// keyAccepted is no refusal.
	keyAccepted keyRefusal = ""
	// keyMissing and keyUnknown are answered 401: the call has no key, or one that is not
	// in the manifest in force.
	keyMissing keyRefusal = "missing"
	keyUnknown keyRefusal = "unknown"
	// manifestUnconfirmed and manifestExpired are answered 503: the keys may have changed
	// since the manifest in force, or, with strict revocation, it was not confirmed in time.
	manifestUnconfirmed keyRefusal = "unconfirmed"
	manifestExpired     keyRefusal = "expired"
)

// temporary reports whether a read of the manifest may lift the refusal.
func (r keyRefusal) temporary() bool { return r == manifestUnconfirmed || r == manifestExpired }

// keyMetrics counts refusals for a key, and the reads of the manifest for unknown keys.
type keyMetrics struct {
	refusals map[keyRefusal]tally.Counter
	reads    tally.Counter
}

func newKeyMetrics(scope tally.Scope) keyMetrics {
	scope = scope.SubScope("host")
	m := keyMetrics{refusals: make(map[keyRefusal]tally.Counter), reads: scope.Counter("manifest_confirmations")}
	for _, reason := range []keyRefusal{keyMissing, keyUnknown, manifestUnconfirmed, manifestExpired} {
		m.refusals[reason] = scope.Tagged(map[string]string{"reason": string(reason)}).Counter("key_refusals")
	}
	return m
}

// Authorize returns on whose behalf a call to a queue with a key is made; the key is empty
// if the call has none. It gives KindUnauthorized if the key is not in the manifest in
// force, and KindNotDone if that manifest may not be recent enough to tell.
func (h *Host) Authorize(ctx context.Context, queue *manifest.Queue, key string) (manifest.Client, error) {
	hash := manifest.HashKey(key)
	client, refusal := h.checkKey(queue, key != "", hash)
	if refusal.temporary() {
		h.confirmManifest(ctx)
		client, refusal = h.checkKey(queue, key != "", hash)
	}
	if refusal == keyAccepted {
		return client, nil
	}
	h.logKeyRefusal(queue, refusal)
	if refusal.temporary() {
		return manifest.Client{}, fault.New("authorize", KindNotDone, "the manifest in force cannot be confirmed: %s", refusal)
	}
	return manifest.Client{}, fault.New("authorize", KindUnauthorized, "queue %s: %s key", queue.Name, refusal)
}

// checkKey checks a key against the manifest in force.
func (h *Host) checkKey(queue *manifest.Queue, hasKey bool, hash manifest.KeyHash) (manifest.Client, keyRefusal) {
	recency := h.manifestRecency() // before the manifest, see there
	account, m := h.manifests.Account(hash)
	strict := h.config.RevokeWithin
	switch {
	case m == nil:
		return manifest.Client{}, manifestUnconfirmed
	case !m.HasAccounts:
		return manifest.Client{}, keyAccepted
	case queue.Public:
		return manifest.Client{HasAccounts: true}, keyAccepted
	case strict > 0 && !recency.within(strict):
		return manifest.Client{}, manifestExpired
	case !hasKey:
		return manifest.Client{}, keyMissing
	case !recency.sinceBegin:
		return manifest.Client{}, manifestUnconfirmed
	case account != nil:
		return manifest.Client{Account: account.Terms, HasAccounts: true}, keyAccepted
	case !recency.within(recentWithin):
		return manifest.Client{}, manifestUnconfirmed
	}
	return manifest.Client{}, keyUnknown
}

// keyLogInterval is the least time between two log lines on refusals for a key, so that a
// flood of them does not displace other lines.
const keyLogInterval = 200 * time.Millisecond

// keyLog limits the log lines on refusals for a key. The zero value is ready to use.
type keyLog struct {
	mu         sync.Mutex
	last       map[keyRefusal]time.Time
	suppressed map[keyRefusal]int
}

// next reports whether a refusal is logged, and how many of its kind were not logged since
// the last one that was.
func (l *keyLog) next(now time.Time, refusal keyRefusal) (suppressed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.last == nil {
		l.last, l.suppressed = make(map[keyRefusal]time.Time), make(map[keyRefusal]int)
	}
	if last, known := l.last[refusal]; known && now.Sub(last) < keyLogInterval {
		l.suppressed[refusal]++
		return 0, false
	}
	suppressed = l.suppressed[refusal]
	l.last[refusal], l.suppressed[refusal] = now, 0
	return suppressed, true
}

// logKeyRefusal records a refusal. The line must not contain the key.
func (h *Host) logKeyRefusal(queue *manifest.Queue, refusal keyRefusal) {
	h.keyMetrics.refusals[refusal].Inc(1)
	suppressed, ok := h.keyLog.next(h.timers.Now(), refusal)
	if !ok {
		return
	}
	recency := h.manifestRecency()
	age := zap.Duration("ManifestAge", recency.age)
	if !recency.known {
		age = zap.String("ManifestAge", "unknown")
	}
	h.log.Info("call refused for its key", zap.String("Host", h.config.Self.Name), zap.String("Queue", queue.Name),
		zap.String("Reason", string(refusal)), zap.Uint64("Manifest", h.manifestVersion()), age,
		zap.Bool("ConfirmedSinceStart", recency.sinceBegin), zap.Int("Suppressed", suppressed))
}
