package cell_test

import (
	"fmt"
	"testing"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/interference"
)

// BenchmarkInterference has 350 workers run tasks of twelve images, half of which interfere,
// and gives the time that the cell needs for reports, ticks and placements in a second.
func BenchmarkInterference(b *testing.B) {
	var images []image
	hidden := make(harm)
	for i := range 4 {
		shop, scan, crunch := fmt.Sprintf("shop%d", i), fmt.Sprintf("scan%d", i), fmt.Sprintf("crunch%d", i)
		images = append(images, serving(shop, time.Second, 45*time.Second), bestEffort(crunch, 200*time.Millisecond),
			batch(scan, 12*time.Millisecond, 5*time.Second))
		hidden[[2]string{shop, "crunch0"}] = 0.6
		hidden[[2]string{shop, "scan1"}] = 0.1
		hidden[[2]string{"scan2", scan}] = 0.05
	}
	for _, mode := range []interference.Mode{interference.ModeOff, interference.ModeObserve, interference.ModeAvoid} {
		b.Run("mode="+string(mode), func(b *testing.B) {
			m := newMix(b, mode, 1, 350, hidden, images...)
			m.run(10 * time.Second)
			var began time.Time
			var spent time.Duration
			m.timer = func(begin bool) {
				if begin {
					began = time.Now()
				} else {
					spent += time.Since(began)
				}
			}
			starts, count := len(m.starts), 0
			for b.Loop() {
				m.run(time.Second)
				count++
			}
			b.ReportMetric(spent.Seconds()*1000/float64(count), "cell-ms/s")
			b.ReportMetric(float64(len(m.starts)-starts)/float64(count), "starts/s")
			b.ReportMetric(float64(m.cell.Overview(m.now).Interference.Pairs), "pairs")
		})
	}
}
