package host

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"cicadabarrow.example/cicadabarrow/internal/fault"
)

// TestNoSequenceOfFaultsRevivesAKey changes the keys of the manifest while hosts are
// stopped, started and cut off from the store and from each other, and calls for changes
// get no answer. It checks each answer to a call with a key:
//   - a host accepts a key only by a manifest that is at least as new as any that it has had
//     in force, also before a restart, so that a withdrawn key never works again;
//   - with strict revocation, a host accepts a key only if it was valid in the store within
//     that time;
//   - a host answers 401 to a key only if it was not valid in the store shortly before.
//
// Once all faults are healed, the keys of the last manifest work on all hosts, and no others.
func TestNoSequenceOfFaultsRevivesAKey(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		violation := ""
		synctest.Test(t, func(*testing.T) { violation = runKeys(rt) })
		if violation != "" {
			rt.Fatal(violation)
		}
	})
}

const modelKeys = 4

// storedKeys is a usable manifest in the store.
type storedKeys struct {
	version uint64
	keys    []string
	// until is when the next one replaced it; zero if it is the last one.
	until time.Time
}

func (s *storedKeys) has(key string) bool { return slices.Contains(s.keys, key) }

// keyModel holds the manifests in the store and what the hosts have had in force.
type keyModel struct {
	cluster *fakeCluster
	stored  []storedKeys
	// newest has the newest version that each host has had in force.
	newest    map[*fakeHost]uint64
	violation string
}

// put writes a manifest with the keys in a bit set.
func (m *keyModel) put(step uint64, set int) {
	s := storedKeys{version: step}
	if last := len(m.stored) - 1; last >= 0 {
		s.version += m.stored[last].version
		m.stored[last].until = time.Now()
	}
	for i := range modelKeys {
		if set&(1<<i) != 0 {
			s.keys = append(s.keys, modelKey(i))
		}
	}
	m.stored = append(m.stored, s)
	m.cluster.putManifest(s.version, map[string][]string{"a": s.keys})
}

func modelKey(i int) string { return fmt.Sprint("key-", i) }

// inForce returns the manifest in force on a host, and records its version.
func (m *keyModel) inForce(h *fakeHost) *storedKeys {
	current := h.host.Manifest()
	if current == nil {
		return nil
	}
	m.newest[h] = max(m.newest[h], current.Version)
	for i := range m.stored {
		if m.stored[i].version == current.Version {
			return &m.stored[i]
		}
	}
	return nil
}

// storedWithin reports whether a manifest that was the newest one in the store at some time
// of the last period has a key, or has it not.
func (m *keyModel) storedWithin(period time.Duration, key string, has bool) bool {
	for i := range m.stored {
		s := &m.stored[i]
		if s.has(key) == has && (s.until.IsZero() || time.Since(s.until) <= period) {
			return true
		}
	}
	return false
}

// call makes a call with a key and checks the answer.
func (m *keyModel) call(h *fakeHost, key string) {
	if h.host == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	m.inForce(h)
	_, err := h.host.Authorize(ctx, keyedQueue, key)
	newest, now := m.newest[h], m.inForce(h)
	strict := m.cluster.revokeWithin
	switch {
	case err == nil && (now == nil || !now.has(key) || now.version < newest):
		m.fail("%s accepts %s by %+v after version %d", h.name, key, now, newest)
	case err == nil && strict > 0 && !m.storedWithin(strict, key, true):
		m.fail("%s accepts %s, which has not been valid for %v", h.name, key, strict)
	case fault.Is(err, KindUnauthorized) && !m.storedWithin(recentWithin, key, false):
		m.fail("%s refuses %s, which has been valid for %v", h.name, key, recentWithin)
	}
}

// callAll makes a call with each key.
func (m *keyModel) callAll(h *fakeHost) {
	for i := range modelKeys {
		m.call(h, modelKey(i))
	}
}

func (m *keyModel) fail(format string, args ...any) {
	if m.violation == "" {
		m.violation = fmt.Sprintf(format, args...) + "\n" + strings.Join(m.cluster.events, "\n")
	}
}

func runKeys(t *rapid.T) string {
	w := newFakeCluster(4, 1)
	defer w.stopAll()
	w.manifests = accountManifests{}
	w.revokeWithin = rapid.SampledFrom([]time.Duration{0, 2500 * time.Millisecond}).Draw(t, "strict")
	m := &keyModel{cluster: w, newest: make(map[*fakeHost]uint64)}
	m.put(1, 3)
	for _, h := range w.order {
		w.seeds = append(w.seeds, h.addr)
	}
	for _, h := range w.order {
		w.start(h)
	}
	anyHost := func() *fakeHost { return w.order[rapid.IntRange(0, len(w.order)-1).Draw(t, "host")] }
	drawCut := rapid.Bool()
	t.Repeat(map[string]func(*rapid.T){
		"wait": func(t *rapid.T) { time.Sleep(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond) },
		"put": func(t *rapid.T) {
			m.put(uint64(rapid.IntRange(1, 5).Draw(t, "step")), rapid.IntRange(0, 1<<modelKeys-1).Draw(t, "keys"))
		},
		"odd":  func(*rapid.T) { w.putManifestRow([]byte("odd")) },
		"call": func(*rapid.T) { m.callAll(anyHost()) },
		"cut off": func(*rapid.T) {
			w.cutOff(anyHost())
			m.put(1, rapid.IntRange(0, 1<<modelKeys-1).Draw(t, "keys"))
			time.Sleep(time.Second)
		},
		"store": func(t *rapid.T) { w.setCut(anyHost(), drawCut.Draw(t, "cut"), storeName) },
		"peers": func(t *rapid.T) {
			h := anyHost()
			w.setCut(h, drawCut.Draw(t, "cut"), w.otherHosts(h)...)
		},
		"restart": func(t *rapid.T) {
			h := anyHost()
			if h.host != nil {
				m.inForce(h)
				w.stop(h)
			}
			if rapid.Bool().Draw(t, "cut off with another") {
				w.cutOff(h, anyHost())
			}
			w.start(h)
			time.Sleep(time.Duration(rapid.IntRange(500, 3000).Draw(t, "ms")) * time.Millisecond)
			m.callAll(h)
		},
		"feeds": func(t *rapid.T) { w.stallFeeds(drawCut.Draw(t, "stalled")) },
		"late": func(t *rapid.T) {
			w.setBusy(anyHost(), busyness{response: time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond})
		},
		"heal": func(*rapid.T) { w.healAll() },
		"": func(*rapid.T) {
			for _, h := range w.order {
				m.inForce(h)
			}
		},
	})
	w.healAll()
	w.stallFeeds(false)
	m.put(1, 5)
	time.Sleep(4 * time.Second)
	for _, h := range w.order {
		for i := range modelKeys {
			_, err := h.host.Authorize(context.Background(), keyedQueue, modelKey(i))
			if valid := i == 0 || i == 2; valid && err != nil || !valid && !fault.Is(err, KindUnauthorized) {
				m.fail("after all faults were healed, %s answers a call with %s: %v", h.name, modelKey(i), err)
			}
		}
	}
	return m.violation
}
