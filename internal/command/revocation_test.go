package command

import (
	"testing"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/peer"
	"cicadabarrow.example/cicadabarrow/internal/settings"
)

// Without strict revocation, the time in the settings must not make a host refuse calls.
func TestRevokeWithinNeedsStrictRevocation(t *testing.T) {
	for _, c := range []struct {
		strict bool
		within time.Duration
		want   time.Duration
	}{
		{false, 0, 0},
		{false, 2 * time.Second, 0},
		{true, 2 * time.Second, 2 * time.Second},
	} {
		s := settings.Host{Bounds: settings.HostBounds{StrictRevocation: c.strict, RevokeWithin: c.within}}
		if got := hostConfig(s, peer.Host{}).RevokeWithin; got != c.want {
			t.Errorf("%+v: a host serves for %v", c, got)
		}
	}
}
