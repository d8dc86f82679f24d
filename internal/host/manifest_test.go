package host

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/timer"
)

// sizedManifests decodes a row as a manifest whose version is the row's size.
type sizedManifests struct{ fakeManifests }

func (sizedManifests) Decode(value []byte) (*manifest.Manifest, error) {
	return &manifest.Manifest{Version: uint64(len(value))}, nil
}

// A new manifest must not go to all hosts that ping while they read it from the store, but
// to one that still does not have it afterwards.
func TestNewManifestIsPassedOnOnlyToHostsThatMissIt(t *testing.T) {
	timers := timer.NewManual(time.Unix(0, 0))
	h := &Host{
		platform: Platform{Manifests: sizedManifests{}}, log: zap.NewNop(), manifests: manifest.NewHolder(), timers: timers,
	}
	expect := func(when string, version uint64, want string) {
		t.Helper()
		if got := string(h.newerManifest(version)); got != want {
			t.Errorf("%s a host with version %d gets %q, want %q", when, version, got, want)
		}
	}
	expect("before any manifest", 0, "")
	h.adopt([]byte("a"), "store")
	expect("at once", 0, "")
	timers.Advance(manifestGrace)
	expect("after the grace", 0, "a")
	expect("after the grace", 1, "")
	h.adopt([]byte("ab"), "store")
	expect("with a newer manifest at once", 1, "")
	expect("with a newer manifest at once", 0, "")
	timers.Advance(manifestGrace)
	expect("with a newer manifest after the grace", 1, "ab")
	expect("with a newer manifest after the grace", 2, "")
	expect("right after another host", 0, "")
	timers.Advance(time.Second)
	expect("later", 0, "ab")
}
