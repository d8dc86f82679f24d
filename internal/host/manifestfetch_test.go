package host

import (
	"context"
	"encoding/json"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/lateanswer"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/message"
	"cicadabarrow.example/cicadabarrow/internal/peer"
	"cicadabarrow.example/cicadabarrow/internal/timer"
)

// manifestPeers answers each request for a manifest with the same content after a time, as
// the transport does also when the call has given up.
type manifestPeers struct {
	content accountManifest
	after   time.Duration

	mu    sync.Mutex
	asked int
}

func (p *manifestPeers) Ask(ctx context.Context, _ netip.AddrPort, m peer.Message) (peer.Host, peer.Message, error) {
	if m.Kind != message.KindManifestRequest {
		<-ctx.Done()
		return peer.Host{}, peer.Message{}, ctx.Err()
	}
	p.mu.Lock()
	p.asked++
	p.mu.Unlock()
	content, err := json.Marshal(p.content)
	if err != nil {
		return peer.Host{}, peer.Message{}, err
	}
	reply := message.EncodeManifestContent(message.ManifestContent{Content: content})
	answered := time.Now().Add(p.after)
	select {
	case <-time.After(p.after):
		return peer.Host{Name: "p"}, reply, nil
	case <-ctx.Done():
		if take := lateanswer.From[peer.Message](ctx); take != nil {
			time.AfterFunc(time.Until(answered), func() { take(reply) })
		}
		return peer.Host{}, peer.Message{}, ctx.Err()
	}
}

// requests returns how many requests there were.
func (p *manifestPeers) requests() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.asked
}

// withFetchingHost runs a test on the part of a host that fetches manifests. The host has
// version 1, and each call of tell tells it that a host has version 2.
func withFetchingHost(t *testing.T, peers *manifestPeers, test func(h *Host, tell func())) {
	synctest.Test(t, func(t *testing.T) {
		h := &Host{
			platform: Platform{Manifests: accountManifests{}}, log: zap.NewNop(), manifests: manifest.NewHolder(),
			timers: timer.NewSystem(), newerKnown: make(chan struct{}, 1), peers: peers,
		}
		h.ctx, h.cancel = context.WithCancel(t.Context())
		h.adopt([]byte(`{"Version":1}`), "store")
		h.background.Go(h.fetchManifests)
		test(h, func() { h.noteManifest(2, netip.MustParseAddrPort("10.0.0.1:1"), "", time.Millisecond) })
		h.cancel()
		h.background.Wait()
	})
}

// A manifest that takes long over a full link must not be sent in vain again and again.
func TestManifestThatArrivesLateIsUsed(t *testing.T) {
	peers := &manifestPeers{content: accountManifest{Version: 2}, after: fetchTimeout + 600*time.Millisecond}
	withFetchingHost(t, peers, func(h *Host, tell func()) {
		for range 20 {
			tell()
			time.Sleep(250 * time.Millisecond)
		}
		if copies := peers.requests(); h.manifestVersion() != 2 || copies > 2 {
			t.Errorf("after 5 s and %d copies version %d is in force", copies, h.manifestVersion())
		}
	})
}

// Neither a host that sends an old manifest nor one that sends rubbish may be asked in a loop
// without a pause.
func TestUselessManifestsAreNotFetchedAllTheTime(t *testing.T) {
	for name, c := range map[string]struct {
		version uint64
		most    int
	}{
		"old":      {1, 11},
		"unusable": {0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			peers := &manifestPeers{content: accountManifest{Version: c.version}, after: time.Millisecond}
			withFetchingHost(t, peers, func(_ *Host, tell func()) {
				for range 10 {
					tell()
					time.Sleep(100 * time.Millisecond)
				}
				if asked := peers.requests(); asked > c.most {
					t.Errorf("%d requests in 1 s, want at most %d", asked, c.most)
				}
			})
		})
	}
}

// News of a manifest that arrives while the one before is put in force must not be missed.
func TestNewsOfAManifestWakesTheFetch(t *testing.T) {
	h := &Host{
		platform: Platform{Manifests: sizedManifests{}}, log: zap.NewNop(), manifests: manifest.NewHolder(),
		timers: timer.NewManual(time.Unix(0, 0)), newerKnown: make(chan struct{}, 1),
	}
	from := netip.MustParseAddrPort("10.0.0.1:1")
	h.adopt([]byte("1"), "store")
	for _, version := range []uint64{2, 3, 3} {
		h.noteManifest(version, from, "", 0)
		if len(h.newerKnown) == 0 {
			t.Errorf("news of version %d does not wake the fetch", version)
		}
		<-h.newerKnown
	}
	h.adopt([]byte("123"), "store")
	h.noteManifest(3, from, "", 0)
	if _, ok := h.sources.next(h.timers.Now(), h.manifestVersion()); ok || len(h.newerKnown) != 0 {
		t.Error("the version in force is fetched")
	}
}

// Requests keep the grace and the limit of pongs to earlier releases.
func TestRequestedManifestIsPassedOnWithinLimits(t *testing.T) {
	timers := timer.NewManual(time.Unix(0, 0))
	h := &Host{
		platform: Platform{Manifests: sizedManifests{}}, log: zap.NewNop(), manifests: manifest.NewHolder(), timers: timers,
	}
	h.handlers = h.callHandlers()
	expect := func(when string, version uint64, want string) {
		t.Helper()
		reply, err := h.Handle(t.Context(), peer.Host{}, message.EncodeManifestRequest(message.ManifestRequest{Version: version}))
		if err != nil {
			t.Fatal(err)
		}
		if m, err := message.DecodeManifestContent(reply); err != nil || string(m.Content) != want {
			t.Errorf("%s a host with version %d gets %q, %v, want %q", when, version, m.Content, err, want)
		}
	}
	expect("before any manifest", 0, "")
	h.adopt([]byte("a"), "store")
	expect("at once", 0, "")
	timers.Advance(manifestGrace)
	expect("after the grace", 1, "")
	expect("after the grace", 0, "a")
	expect("right after another host", 0, "")
	timers.Advance(time.Second)
	expect("later", 0, "a")
}
