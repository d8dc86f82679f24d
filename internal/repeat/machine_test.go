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

// TestMain fixes the seed and the length of the stateful tests unless they
// are given.
func TestMain(m *testing.M) {
	rapidtest.Main(m, map[string]string{"seed": "12", "steps": "200", "checks": "1500"})
}

// keyAt returns the key that a caller issues when its clock shows a time.
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

// run is a request that an owner has let run.
type run struct {
	key   string
	table *repeat.Table
}

// world is the truth about every key, across all owners.
type world struct {
	t     *rapid.T
	cfg   repeat.Config
	now   time.Time
	skew  time.Duration
	table *repeat.Table
	keys  []string
	// ran counts the runs of a key; one that surely did not run is not one.
	ran     map[string]int
	answers map[string]string
	runs    []run
}

// clock is the wall clock of the present owner.
func (w *world) clock() time.Time { return w.now.Add(w.skew) }

func (w *world) takeOver(first bool) {
	w.skew = time.Duration(rapid.Int64Range(-int64(w.cfg.HostSkew), int64(w.cfg.HostSkew)).Draw(w.t, "host's clock"))
	w.table = repeat.New(w.cfg, first, w.clock())
}

func (w *world) send(key string) {
	answered := func(a message.Answer) { w.check(key, a) }
	verdict, known, err := w.table.Begin(key, 1, w.clock(), answered)
	switch {
	case err != nil:
	case verdict == repeat.DecisionRun:
		w.ran[key]++
		if w.ran[key] > 1 {
			w.t.Fatalf("key %s runs %d times", key, w.ran[key])
		}
		w.runs = append(w.runs, run{key, w.table})
	case verdict == repeat.DecisionKnown:
		w.check(key, known)
	}
	if got := w.table.Bytes(); got > w.cfg.MaxBytes {
		w.t.Fatalf("the table holds %d bytes", got)
	}
}

// maxBody bounds an answer's body in the model.
const maxBody = 300

// check demands that a repeat is told what its key's run was told.
func (w *world) check(key string, a message.Answer) {
	switch a.Outcome {
	case message.OutcomeAnswered:
		if w.ran[key] != 1 || w.answers[key] != string(a.Body) {
			w.t.Fatalf("key %s got %q; it ran %d times with %q", key, a.Body, w.ran[key], w.answers[key])
		}
	case message.OutcomeNotRun:
		if w.ran[key] != 0 {
			w.t.Fatalf("key %s was refused and ran", key)
		}
	case message.OutcomeUnknown:
	}
}

func (w *world) end(outcome message.Outcome) {
	if len(w.runs) == 0 {
		return
	}
	n := rapid.IntRange(0, len(w.runs)-1).Draw(w.t, "run")
	r := w.runs[n]
	w.runs = append(w.runs[:n:n], w.runs[n+1:]...)
	a := message.Answer{Outcome: outcome}
	switch outcome {
	case message.OutcomeNotRun:
		w.ran[r.key]--
	case message.OutcomeAnswered:
		a.Body = fmt.Appendf(nil, "%0*d", rapid.IntRange(1, maxBody).Draw(w.t, "bytes"), n)
		w.answers[r.key] = string(a.Body)
	case message.OutcomeUnknown:
	}
	r.table.End(r.key, a)
}

func TestNoKeyRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := repeat.DefaultConfig()
		cfg.MaxBytes, cfg.KeepFor, cfg.MaxWaiters = 4<<10, 20*time.Second, 2
		w := &world{t: t, cfg: cfg, now: time.Unix(1_800_000_000, 0), ran: map[string]int{}, answers: map[string]string{}}
		w.takeOver(true)
		t.Repeat(map[string]func(*rapid.T){
			"new": func(t *rapid.T) {
				// Callers' clocks are wrong by up to ten seconds.
				off := time.Duration(rapid.IntRange(-10_000, 10_000).Draw(t, "caller's clock ms")) * time.Millisecond
				if rapid.Bool().Draw(t, "right") {
					off = 0
				}
				key := keyAt(t, w.now.Add(off))
				w.keys = append(w.keys, key)
				w.send(key)
			},
			"repeat": func(t *rapid.T) {
				if len(w.keys) > 0 {
					w.send(rapid.SampledFrom(w.keys).Draw(t, "key"))
				}
			},
			"repeat a late one": func(t *rapid.T) {
				if n := len(w.keys); n > 0 {
					w.send(w.keys[n-1-rapid.IntRange(0, min(n, 4)-1).Draw(t, "back")])
				}
			},
			"answered": func(*rapid.T) { w.end(message.OutcomeAnswered) },
			"not run":  func(*rapid.T) { w.end(message.OutcomeNotRun) },
			"unknown":  func(*rapid.T) { w.end(message.OutcomeUnknown) },
			"pass": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.SampledFrom([]int{1, 500, 3000, 30000}).Draw(t, "ms")) * time.Millisecond)
			},
			"hand over": func(t *rapid.T) {
				if rapid.IntRange(0, 4).Draw(t, "chance") == 0 {
					closed := time.UnixMilli(w.table.HandoffTime().UnixMilli())
					w.takeOver(false)
					w.table = repeat.NewFromHandoff(w.cfg, closed)
				}
			},
			"take over": func(t *rapid.T) {
				if rapid.IntRange(0, 4).Draw(t, "chance") == 0 {
					w.takeOver(false)
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
			t.Errorf("%q was taken as a key", bad)
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
		t.Fatal("another request took part in the key's answer")
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
			t.Fatalf("key %d: %v; room is for 4", n, err)
		}
	}
}
