package lease

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// takeoverUnits returns the units of a data centre with 24 instances of one
// service.
func takeoverUnits() []Unit {
	units := []Unit{"pool"}
	for n := range 8 {
		units = append(units, Unit(fmt.Sprintf("keys-%d", n)))
	}
	for n := range 3 {
		units = append(units, Unit(fmt.Sprintf("upstreams-escrow-desk-%d", n)))
	}
	return units
}

// takeoverWorld returns a world with the default durations in which every unit has
// found its owner.
func takeoverWorld(hosts int, seed uint64) *world {
	w := newWorldOf(DefaultConfig(), takeoverUnits(), hosts, seed, omitNothing)
	w.run(40*time.Second + w.randomUpTo(time.Second))
	return w
}

// busiest returns the place that holds the most units, and these units.
func (w *world) busiest() (int, []Unit) {
	place, units := 0, []Unit(nil)
	for i, pl := range w.places {
		if pl.p == nil {
			continue
		}
		if held := sortedUnits(pl.p.authority.Held); len(held) > len(units) {
			place, units = i, held
		}
	}
	return place, units
}

// untilOwned runs the world until new owners may act on the units, for a minute at
// most, and returns how long each unit took.
func (w *world) untilOwned(units []Unit) []time.Duration {
	start := w.now
	epochs := make(map[Unit]uint64)
	for _, u := range units {
		epochs[u] = w.oracle.acting[u]
	}
	var took []time.Duration
	for len(took) < len(units) && w.now-start < time.Minute {
		w.run(10 * time.Millisecond)
		for u, e := range epochs {
			if w.oracle.acting[u] > e {
				took = append(took, w.now-start)
				delete(epochs, u)
			}
		}
	}
	slices.Sort(took)
	return took
}

// BenchmarkTakeover reports the virtual time from the crash of the busiest owner
// until others may act on its units.
func BenchmarkTakeover(b *testing.B) {
	benchmarkHandOver(b, func(w *world, place int) { w.kill(place) })
}

// BenchmarkLeave reports the same for a graceful stop of a host that stops acting
// within two seconds.
func BenchmarkLeave(b *testing.B) {
	benchmarkHandOver(b, func(w *world, place int) { w.places[place].p.k.Leave() })
}

func benchmarkHandOver(b *testing.B, stop func(w *world, place int)) {
	for _, hosts := range []int{3, 8, 16, 32} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			var took []time.Duration
			units, runs := 0, 320/hosts
			for b.Loop() {
				took, units = nil, 0
				for seed := range uint64(runs) {
					w := takeoverWorld(hosts, seed+1)
					place, held := w.busiest()
					stop(w, place)
					took = append(took, w.untilOwned(held)...)
					units += len(held)
				}
			}
			if len(took) != units {
				b.Fatalf("%d of %d units found an owner", len(took), units)
			}
			slices.Sort(took)
			b.ReportMetric(took[len(took)/2].Seconds(), "p50-s")
			b.ReportMetric(took[len(took)*99/100].Seconds(), "p99-s")
			b.ReportMetric(float64(units)/float64(runs), "units-of-busiest")
		})
	}
}

// BenchmarkAtRest reports the cost of the leases of a data centre in which no host
// fails, joins or leaves.
func BenchmarkAtRest(b *testing.B) {
	for _, hosts := range []int{8, 16, 32} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			var w *world
			var commits, listed, bytes, requests int
			const span = 60 * time.Second
			for b.Loop() {
				w = takeoverWorld(hosts, 1)
				commits, listed, bytes, requests = w.table.commits, w.table.listed, w.table.bytes, w.requests
				w.run(span)
			}
			perHost := span.Seconds() * float64(hosts)
			b.ReportMetric(float64(w.table.commits-commits)/span.Seconds(), "writes/s")
			b.ReportMetric(float64(w.table.listed-listed)/perHost, "rows-read/host/s")
			b.ReportMetric(float64(w.table.bytes-bytes)/perHost, "store-B/host/s")
			b.ReportMetric(float64(w.requests-requests)/perHost, "questions/host/s")
		})
	}
}
