package host

import (
	"cmp"
	"net/netip"
	"sync"
	"time"
)

const (
	// sourceLife is how long after its last pong a host counts as a source.
	sourceLife = 10 * time.Second
	// maxSourceFailures is the number of calls without an answer after which a host of
	// this data centre has no precedence over hosts elsewhere.
	maxSourceFailures = 3
	// farGrace is how long a newer manifest is known before a host of another data centre
	// is asked for it, since the copy may have to cross a narrow link. If a host of this
	// data centre has it, farGraceBesideNear holds.
	farGrace           = 1500 * time.Millisecond
	farGraceBesideNear = 3 * time.Second
)

// manifestSource is a host that has a newer manifest than the one in force.
type manifestSource struct {
	version uint64
	// near is set if the host is in the data centre of this one.
	near bool
	// pingTime is how long its last pong took, and seen is when that was.
	pingTime time.Duration
	seen     time.Time
	// asked counts the calls for the manifest, and failures those without an answer.
	asked, failures int
	// unusable is set if its manifest cannot be decoded.
	unusable bool
}

// preferred reports whether the host is asked before those of other data centres.
func (s *manifestSource) preferred() bool { return s.near && s.failures < maxSourceFailures }

// before reports whether the host is asked before another one. anywhere gives those of this
// data centre no precedence.
func (s *manifestSource) before(o *manifestSource, anywhere bool) bool {
	if !anywhere && s.preferred() != o.preferred() {
		return s.preferred()
	}
	return cmp.Or(cmp.Compare(o.version, s.version), cmp.Compare(s.asked, o.asked), cmp.Compare(s.pingTime, o.pingTime)) < 0
}

// manifestSources tracks the hosts that have a newer manifest than the one in force. The
// zero value has none.
type manifestSources struct {
	mu    sync.Mutex
	known map[netip.AddrPort]manifestSource
	// since is when the first of them was observed.
	since time.Time
}

// observe records what a pong of a host tells.
func (m *manifestSources) observe(now time.Time, from netip.AddrPort, s manifestSource) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.known) == 0 {
		m.known, m.since = make(map[netip.AddrPort]manifestSource), now
	}
	if before := m.known[from]; before.version == s.version {
		s.asked, s.failures, s.unusable = before.asked, before.failures, before.unusable
	}
	s.seen = now
	m.known[from] = s
}

// noteOutcome records what came of a call to a host.
func (m *manifestSources) noteOutcome(from netip.AddrPort, outcome fetchOutcome) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s, ok := m.known[from]
	if !ok {
		return
	}
	s.asked++
	switch outcome {
	case fetchFailed:
		s.failures++
	case fetchUnusable:
		s.unusable = true
	case fetchDeferred, fetchUsed:
	}
	m.known[from] = s
}

// next returns the host to ask for a newer manifest than the one in force. The address is
// invalid if none may be asked now. ok is false if none has a newer one.
func (m *manifestSources) next(now time.Time, inForce uint64) (from netip.AddrPort, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := now.Sub(m.since)
	anywhere := known >= farGraceBesideNear
	var best manifestSource
	for addr, s := range m.known {
		switch {
		case s.version <= inForce || now.Sub(s.seen) > sourceLife:
			delete(m.known, addr)
		case !s.unusable && (!ok || s.before(&best, anywhere)):
			from, best, ok = addr, s, true
		}
	}
	if ok && !best.preferred() && known < farGrace {
		return netip.AddrPort{}, true
	}
	return from, ok
}
