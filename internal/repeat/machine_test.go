package repeat_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"

	"cicadabarrow.example/cicadabarrow/internal/message"
	"cicadabarrow.example/cicadabarrow/internal/rapidtest"
	"cicadabarrow.example/cicadabarrow/internal/repeat"
)

// TestMain sets the seed and the length of the stateful tests unless flags set
// them.
func TestMain(m *testing.M) {
	rapidtest.Main(m, map[string]string{"seed": "12", "steps": "200", "checks": "1500"})
}

// keyAt returns a random key that a client issues when its clock shows at.
func keyAt(t *rapid.T, at time.Time) string {
	id := uuid.UUID(rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, "key"))
	ms := at.UnixMilli()
	for n := range 6 {
		id[n] = byte(ms >> (8 * (5 - n)))
	}
	id[6] = id[6]&0x0f | 0x70
	id[8] = id[8]&0x3f | 0x80
	return id.String()
}

// run is a request in progress, with the table that decided to run it.
type run struct {
	key   string
	table *repeat.Table
}

// model records what has happened to every key, across all owners.
type model struct {
	t     *rapid.T
	cfg   repeat.Config
	now   time.Time
	skew  time.Duration
	table *repeat.Table
	keys  []string
	// runCounts is the number of runs by key, without those that ended as not
	// run.
	runCounts map[string]int
	answers   map[string]string
	runs      []run
}

// clock returns the time by the wall clock of the current owner.
func (m *model) clock() time.Time { return m.now.Add(m.skew) }

func (m *model) takeOver(first bool) {
	m.skew = time.Duration(rapid.Int64Range(-int64(m.cfg.HostSkew), int64(m.cfg.HostSkew)).Draw(m.t, "host's clock"))
	m.table = repeat.New(m.cfg, first, m.clock())
}

func (m *model) send(key string) {
	answered := func(a message.Answer) { m.check(key, a) }
	decision, known, err := m.table.Begin(key, 1, m.clock(), answered)
	switch {
	case err != nil:
	case decision == repeat.DecisionRun:
		m.runCounts[key]++
		if m.runCounts[key] > 1 {
			m.t.Fatalf("key %s runs %d times", key, m.runCounts[key])
		}
		m.runs = append(m.runs, run{key, m.table})
	case decision == repeat.DecisionKnown:
		m.check(key, known)
	}
	if got := m.table.Bytes(); got > m.cfg.MaxBytes {
		m.t.Fatalf("the table accounts for %d bytes, more than MaxBytes", got)
	}
}

// maxBody bounds an answer's body in the model.
const maxBody = 300

// check fails the test unless the answer to a repeat agrees with the run of its
// key.
func (m *model) check(key string, a message.Answer) {
	switch a.Outcome {
	case message.OutcomeAnswered:
		if m.runCounts[key] != 1 || m.answers[key] != string(a.Body) {
			m.t.Fatalf("key %s: answer %q; the key ran %d times and was answered %q",
				key, a.Body, m.runCounts[key], m.answers[key])
		}
	case message.OutcomeNotRun:
		if m.runCounts[key] != 0 {
			m.t.Fatalf("key %s: answered as not run, but it ran", key)
		}
	case message.OutcomeUnknown:
	}
}

func (m *model) end(outcome message.Outcome) {
	if len(m.runs) == 0 {
		return
	}
	n := rapid.IntRange(0, len(m.runs)-1).Draw(m.t, "run")
	r := m.runs[n]
	m.runs = append(m.runs[:n:n], m.runs[n+1:]...)
	a := message.Answer{Outcome: outcome}
	switch outcome {
	case message.OutcomeNotRun:
		m.runCounts[r.key]--
	case message.OutcomeAnswered:
		a.Body = fmt.Appendf(nil, "%0*d", rapid.IntRange(1, maxBody).Draw(m.t, "bytes"), n)
		m.answers[r.key] = string(a.Body)
	case message.OutcomeUnknown:
	}
	r.table.End(r.key, a)
}

func TestNoKeyRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := repeat.DefaultConfig()
		cfg.MaxBytes, cfg.KeepFor, cfg.MaxWaiters = 4<<10, 20*time.Second, 2
		m := &model{t: t, cfg: cfg, now: time.Unix(1_800_000_000, 0), runCounts: map[string]int{}, answers: map[string]string{}}
		m.takeOver(true)
		t.Repeat(map[string]func(*rapid.T){
			"new": func(t *rapid.T) {
				// Clients' clocks are off by up to ten seconds.
				off := time.Duration(rapid.IntRange(-10_000, 10_000).Draw(t, "caller's clock ms")) * time.Millisecond
				if rapid.Bool().Draw(t, "right") {
					off = 0
				}
				key := keyAt(t, m.now.Add(off))
				m.keys = append(m.keys, key)
				m.send(key)
			},
			"repeat": func(t *rapid.T) {
				if len(m.keys) > 0 {
					m.send(rapid.SampledFrom(m.keys).Draw(t, "key"))
				}
			},
			"repeat a recent one": func(t *rapid.T) {
				if n := len(m.keys); n > 0 {
					m.send(m.keys[n-1-rapid.IntRange(0, min(n, 4)-1).Draw(t, "back")])
				}
			},
			"answered": func(*rapid.T) { m.end(message.OutcomeAnswered) },
			"not run":  func(*rapid.T) { m.end(message.OutcomeNotRun) },
			"unknown":  func(*rapid.T) { m.end(message.OutcomeUnknown) },
			"pass": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.SampledFrom([]int{1, 500, 3000, 30000}).Draw(t, "ms")) * time.Millisecond)
			},
			"hand over": func(t *rapid.T) {
				if rapid.IntRange(0, 4).Draw(t, "chance") == 0 {
					closed := time.UnixMilli(m.table.UnseenFrom().UnixMilli())
					m.takeOver(false)
					m.table = repeat.NewFromHandoff(m.cfg, closed)
				}
			},
			"take over": func(t *rapid.T) {
				if rapid.IntRange(0, 4).Draw(t, "chance") == 0 {
					m.takeOver(false)
				}
			},
		})
	})
}

func TestSpellingsOfOneKey(t *testing.T) {
	const text = "018f3c1e-7b2a-7c3d-8e4f-0123456789ab"
	for _, spelling := range []string{
		"018F3C1E-7B2A-7C3D-8E4F-0123456789AB", "{" + text + "}", "urn:uuid:" + text, "018f3c1e7b2a7c3d8e4f0123456789ab",
	} {
		if k, err := repeat.ParseKey(spelling); err != nil || k.Text != text {
			t.Errorf("%s: %q, %v", spelling, k.Text, err)
		}
	}
	for _, bad := range []string{"", "check-1", "018f3c1e-7b2a-4c3d-8e4f-0123456789ab", "018f3c1e-7b2a-7c3d-ce4f-0123456789ab"} {
		if _, err := repeat.ParseKey(bad); err == nil {
			t.Errorf("%q was accepted as a key", bad)
		}
	}
}

func TestKeyOfAnotherRequest(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	table := repeat.New(repeat.DefaultConfig(), true, now)
	const key = "01a3185c-5000-7c3d-8e4f-0123456789ab"
	if v, _, err := table.Begin(key, 1, now, nil); err != nil || v != repeat.DecisionRun {
		t.Fatal(v, err)
	}
	if _, _, err := table.Begin(key, 2, now, nil); err == nil {
		t.Fatal("a request with another digest was accepted under the same key")
	}
}

func TestKeysInProgressAreBounded(t *testing.T) {
	cfg := repeat.DefaultConfig()
	cfg.MaxBytes = 1 << 10
	now := time.Unix(1_800_000_000, 0)
	table := repeat.New(cfg, true, now)
	for n := range 100 {
		_, _, err := table.Begin(fmt.Sprintf("01a3185c-5000-7c3d-8e4f-%012x", n), 1, now, nil)
		if refused := err != nil; refused != (n >= 4) {
			t.Fatalf("key %d: %v; the table fits 4 keys", n, err)
		}
	}
}
