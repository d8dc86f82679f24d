package host

import (
	"net/netip"
	"testing"
	"time"
)

// A host must not ask across data centres while a host of its own has the manifest, and must
// not stay with one that does not send it.
func TestManifestIsFetchedFromTheOwnDataCentreFirst(t *testing.T) {
	near, far := netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1")
	var m manifestSources
	begin := time.Unix(0, 0)
	expect := func(when string, at time.Duration, inForce uint64, want netip.AddrPort, known bool) {
		t.Helper()
		if from, ok := m.next(begin.Add(at), inForce); ok != known || from != want {
			t.Errorf("%s: source %v, known %v; want %v, %v", when, from, ok, want, known)
		}
	}
	none := netip.AddrPort{}
	expect("at first", 0, 1, none, false)
	m.observe(begin, far, manifestSource{version: 2, pingTime: 1})
	expect("with a far one", 0, 1, none, true)
	expect("with a far one for long", farGrace, 1, far, true)
	m.observe(begin, near, manifestSource{version: 2, near: true, pingTime: 2})
	expect("with both", farGrace, 1, near, true)
	m.noteOutcome(near, fetchDeferred)
	m.observe(begin, near, manifestSource{version: 2, near: true, pingTime: 2})
	expect("while the near one defers", farGrace, 1, near, true)
	expect("while it defers for long", farGraceBesideNear, 1, far, true)
	for range maxSourceFailures {
		m.noteOutcome(near, fetchFailed)
	}
	expect("when the near one is silent", farGrace, 1, far, true)
	expect("soon after, when the near one is silent", farGrace-1, 1, none, true)
	m.noteOutcome(far, fetchUnusable)
	expect("when the far one has sent rubbish", farGrace, 1, near, true)
	m.observe(begin, far, manifestSource{version: 3, pingTime: 1})
	expect("when the far one has another version", farGrace, 1, far, true)
	expect("when the pongs are old", sourceLife+1, 1, none, false)
	m.observe(begin, far, manifestSource{version: 2})
	expect("once the version is in force", farGrace, 2, none, false)
}

// A source with an older version, a longer way or more requests must not hide a better one.
func TestBestSourceOfAManifestIsAsked(t *testing.T) {
	a, b := netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1")
	for _, c := range []struct {
		name          string
		better, worse manifestSource
	}{
		{"version", manifestSource{version: 3, pingTime: 2, asked: 9}, manifestSource{version: 2, pingTime: 1}},
		{"requests", manifestSource{version: 2, pingTime: 2}, manifestSource{version: 2, pingTime: 1, asked: 1}},
		{"way", manifestSource{version: 2, pingTime: 1}, manifestSource{version: 2, pingTime: 2}},
	} {
		for _, better := range []netip.AddrPort{a, b} {
			worse := a
			if better == a {
				worse = b
			}
			for _, order := range [][]netip.AddrPort{{better, worse}, {worse, better}} {
				var m manifestSources
				for _, addr := range order {
					s := c.worse
					if addr == better {
						s = c.better
					}
					m.observe(time.Unix(0, 0), addr, s)
				}
				if from, _ := m.next(time.Unix(0, 0).Add(farGrace), 1); from != better {
					t.Errorf("%s: %v is asked, want %v", c.name, from, better)
				}
			}
		}
	}
}
