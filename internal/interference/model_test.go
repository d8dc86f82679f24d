package interference_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/interference"
)

const window = 500 * time.Millisecond

// web is a class that suffers beside noisy in the tests below.
var (
	web   = interference.Class{Image: "web", Serving: true}
	noisy = interference.Class{Image: "noisy"}
)

func observe(m *interference.Model, now time.Time, worker string, latency float64, beside ...interference.Presence) {
	m.Observe(now, interference.Observation{
		Worker: worker, Presences: append([]interference.Presence{{Class: web, Tasks: 1}}, beside...),
		Measured: []interference.Measurement{{Class: web, Own: 1, Value: latency}},
	})
}

// learned returns a model that knows that web suffers beside noisy.
func learned(now time.Time) *interference.Model {
	m := interference.New()
	for i := range 60 {
		worker := fmt.Sprintf("w%d", i%3)
		if i%2 == 0 {
			observe(m, now, worker, 0.9, interference.Presence{Class: noisy, Tasks: 1})
		} else {
			observe(m, now, worker, 0.4)
		}
	}
	m.Refresh(now, m.Classes())
	return m
}

// A single report could reorder the workers if its weight was not limited.
func TestSingleObservationChangesLittle(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	m := learned(now)
	beside := []interference.Presence{{Class: noisy, Tasks: 1}}
	before := m.Penalty(now, web, beside)
	if before < 0.3 {
		t.Fatalf("penalty %v of a pair with a loss of 0.5", before)
	}
	for _, latency := range []float64{0, 0.4, 3, 1e9} {
		changed := learned(now)
		observe(changed, now, "w1", latency, beside...)
		changed.Refresh(now, changed.Classes())
		if after := changed.Penalty(now, web, beside); math.Abs(after-before) > 0.1 {
			t.Errorf("latency %v: penalty %v, before %v", latency, after, before)
		}
	}
	fresh := interference.New()
	observe(fresh, now, "w1", 0.4)
	observe(fresh, now, "w2", 3, beside...)
	fresh.Refresh(now, fresh.Classes())
	if p := fresh.Penalty(now, web, beside); p != 0 {
		t.Errorf("penalty %v after one observation", p)
	}
}

// Values that are not finite would make all coefficients of a class invalid for as long as
// the sums hold them.
func TestValuesOutOfRangeAreIgnored(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	m := learned(now)
	beside := []interference.Presence{{Class: noisy, Tasks: 1}}
	before := m.Penalty(now, web, beside)
	for _, bad := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1} {
		observe(m, now, "w1", bad, beside...)
	}
	for _, bad := range []float64{math.NaN(), math.Inf(-1), -1, 0} {
		observe(m, now, "w1", 0.4, interference.Presence{Class: noisy, Tasks: bad})
	}
	m.Refresh(now, m.Classes())
	after := m.Penalty(now, web, beside)
	if math.IsNaN(after) || math.Abs(after-before) > 0.1 {
		t.Errorf("penalty %v, before %v", after, before)
	}
	observe(m, now, "w1", 0.4, interference.Presence{Class: noisy, Tasks: math.Inf(1)})
	m.Refresh(now, m.Classes())
	if p := m.Penalty(now, web, beside); math.IsNaN(p) || math.IsInf(p, 0) {
		t.Errorf("penalty %v after an infinite presence", p)
	}
}

// Clients name the images, so the number of classes and pairs must not grow with theirs.
func TestClassesAndPairsAreBounded(t *testing.T) {
	const (
		images     = 1000
		maxClasses = 128
	)
	now := time.Unix(1_700_000_000, 0)
	m := interference.New()
	random := rand.New(rand.NewPCG(1, 1))
	image := func() interference.Class {
		return interference.Class{Image: strconv.Itoa(random.IntN(images)), Serving: random.IntN(2) == 0}
	}
	for i := range 5_000 {
		now = now.Add(10 * time.Millisecond)
		o := interference.Observation{Worker: strconv.Itoa(i % 10)}
		for range 60 {
			c := image()
			o.Presences = append(o.Presences, interference.Presence{Class: c, Tasks: 1})
			o.Measured = append(o.Measured, interference.Measurement{Class: c, Own: 1, Value: random.Float64()})
		}
		m.Observe(now, o)
		if i%100 == 0 {
			m.Refresh(now, m.Classes())
		}
		if m.Classes() > maxClasses {
			t.Fatalf("%d classes", m.Classes())
		}
	}
	if changes, _ := m.TakeChanges(); len(changes) > 32 {
		t.Errorf("%d changes are kept", len(changes))
	}
	long := interference.Class{Image: strings.Repeat("x", 201)}
	m = interference.New()
	m.Observe(now, interference.Observation{Presences: []interference.Presence{{Class: long, Tasks: 1}, {Class: interference.Class{}, Tasks: 1}}})
	if m.Classes() != 0 {
		t.Error("an image with a long or an empty name is kept")
	}
}

// Classes that are in use must not be replaced by new ones, which a client can name faster
// than pairs are learned.
func TestNewClassesReplaceUnusedOnesOnly(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	m := learned(now)
	beside := []interference.Presence{{Class: noisy, Tasks: 1}}
	for i := range 2000 {
		now = now.Add(10 * time.Millisecond)
		observe(m, now, "w1", 0.9, beside...)
		m.Observe(now, interference.Observation{Presences: []interference.Presence{{Class: interference.Class{Image: strconv.Itoa(i)}, Tasks: 1}}})
	}
	m.Refresh(now, m.Classes())
	if p := m.Penalty(now, web, beside); p < 0.2 {
		t.Errorf("penalty %v", p)
	}
	now = now.Add(25 * time.Second)
	newcomer := interference.Class{Image: "newcomer"}
	m.Observe(now, interference.Observation{Presences: []interference.Presence{{Class: newcomer, Tasks: 1}}})
	m.Refresh(now, m.Classes())
	if m.Classes() != 128 {
		t.Errorf("%d classes", m.Classes())
	}
}

// The weights of observations grow with the time, and would overflow on an owner that
// lasts for hours.
func TestModelWorksForDays(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	m := learned(now)
	for range 48 {
		now = now.Add(time.Hour)
		m.Refresh(now, m.Classes())
	}
	if m.Pairs() != 0 || m.Classes() != 0 {
		t.Errorf("%d pairs and %d classes after two days", m.Pairs(), m.Classes())
	}
	m = learned(now)
	for i := range 4 * 3600 * 2 {
		now = now.Add(window)
		if i%2 == 0 {
			observe(m, now, fmt.Sprintf("w%d", i%3), 0.9, interference.Presence{Class: noisy, Tasks: 1})
		} else {
			observe(m, now, "w1", 0.4)
		}
		if i%2 == 1 {
			m.Refresh(now, m.Classes())
		}
	}
	worst := m.Worst(now, 5)
	if len(worst) != 1 || math.Abs(worst[0].Loss-0.5) > 0.15 {
		t.Errorf("after four hours: %+v", worst)
	}
}

// Two models that get the same observations must agree, so that simulations can be
// repeated.
func TestModelIsDeterministic(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	play := func() []interference.Pair {
		m := interference.New()
		random := rand.New(rand.NewPCG(3, 3))
		neighbours := []neighbour{{image: "a", chance: 0.5, tasks: 1, harm: 0.5}, {image: "b", chance: 0.3, tasks: 2, harm: 0.2}}
		for i := range 200 {
			m.Observe(now.Add(time.Duration(i)*window/4), observation(random, strconv.Itoa(i%4), "web", true, 0.4, 0.1, neighbours))
		}
		m.Refresh(now.Add(50*window), m.Classes())
		return m.Worst(now.Add(50*window), 10)
	}
	if first, second := play(), play(); len(first) == 0 || !slices.Equal(first, second) {
		t.Errorf("%+v and %+v", first, second)
	}
}
