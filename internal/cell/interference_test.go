package cell_test

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/interference"
)

// mixedImages is a load in which serving tasks of one image suffer beside best-effort tasks
// of another one, and those of a second image beside a batch image.
func mixedImages() []image {
	return []image{
		serving("shop", 4*time.Second, 40*time.Second),
		serving("mail", 4*time.Second, 40*time.Second),
		bestEffort("crunch", 1500*time.Millisecond),
		bestEffort("index", 1500*time.Millisecond),
		batch("scan", 500*time.Millisecond, 5*time.Second),
		batch("sort", 500*time.Millisecond, 5*time.Second),
	}
}

func mixedHarm() harm {
	return harm{{"shop", "crunch"}: 0.8, {"mail", "scan"}: 0.35, {"shop", "mail"}: 0.02, {"sort", "scan"}: 0.05}
}

// swappedHarm is the hidden model in which other images do the same harm.
func swappedHarm() harm {
	return harm{{"shop", "index"}: 0.8, {"mail", "sort"}: 0.35, {"shop", "mail"}: 0.02, {"scan", "sort"}: 0.05}
}

// Guards against a penalty that does not reach the choice of a worker, or that is learned
// the wrong way round: less of the time of serving tasks has to be over the target, also when
// the effects change. In the last case they change faster than they are forgotten.
func TestAvoidLowersTheTimeOverTarget(t *testing.T) {
	for _, c := range []struct {
		name    string
		changes time.Duration
	}{{"constant", 4 * time.Minute}, {"changing each minute", time.Minute}, {"changing each 20 s", 20 * time.Second}} {
		t.Run(c.name, func(t *testing.T) {
			for _, seed := range []uint64{1, 2, 3} {
				shares := make(map[interference.Mode]float64)
				for _, mode := range []interference.Mode{interference.ModeOff, interference.ModeAvoid} {
					m := newMix(t, mode, seed, 16, mixedHarm(), mixedImages()...)
					models := []harm{mixedHarm(), swappedHarm()}
					for i := range int(4 * time.Minute / c.changes) {
						m.harm = models[i%len(models)]
						m.run(c.changes)
					}
					shares[mode] = m.overShare()
					t.Logf("seed %d, mode %q: %.4f over target, %d starts, %d done, %d avoided, pairs %v",
						seed, mode, m.overShare(), len(m.starts), m.done, m.counts[cell.CountAvoided], m.pairs())
				}
				if shares[interference.ModeAvoid] >= shares[interference.ModeOff] {
					t.Errorf("seed %d: %v", seed, shares)
				}
			}
		})
	}
}

// Guards against an observation that changes a placement although the mode is Observe.
func TestObserveLearnsAndChangesNothing(t *testing.T) {
	off := newMix(t, interference.ModeOff, 1, 8, mixedHarm(), mixedImages()...)
	observe := newMix(t, interference.ModeObserve, 1, 8, mixedHarm(), mixedImages()...)
	off.run(2 * time.Minute)
	observe.run(2 * time.Minute)
	if !slices.Equal(off.starts, observe.starts) {
		t.Error("the starts differ from those with Off")
	}
	if !slices.Contains(observe.pairs(), "shop beside crunch") || observe.counts[cell.CountAvoidable] == 0 || observe.counts[cell.CountAvoided] != 0 {
		t.Errorf("pairs %v, counts %v", observe.pairs(), observe.counts)
	}
	if v := off.cell.Overview(off.now).Interference; v.Mode != interference.ModeOff || v.Classes != 0 || len(off.counts) != 0 {
		t.Errorf("with Off: %+v, counts %v", v, off.counts)
	}
}

// Guards against a penalty that keeps a task waiting. Some tasks may run on one worker only,
// which is often full, while their images are known to interfere from the other workers. There
// is no better worker for them, so that their starts have to be those with Off.
func TestOneWorkerDelaysNothing(t *testing.T) {
	play := func(mode interference.Mode) (m *mix, starts []string) {
		images := []image{
			serving("shop", 8*time.Second, 40*time.Second),
			bestEffort("crunch", 4*time.Second),
			batch("scan", 500*time.Millisecond, 8*time.Second),
		}
		images = append(images, images...)
		for i := range images {
			images[i].step.Label = "r1"
			if i < len(images)/2 {
				images[i].step.Label = "r0"
			}
		}
		m = newMix(t, mode, 1, 6, harm{{"shop", "crunch"}: 0.8, {"shop", "scan"}: 0.1, {"scan", "scan"}: 0.05}, images...)
		for _, w := range m.workers[1:] {
			w.rack = "r1"
		}
		m.restart()
		m.run(3 * time.Minute)
		for _, s := range m.starts {
			if strings.HasSuffix(s, "at w00") {
				starts = append(starts, s)
			}
		}
		return m, starts
	}
	off, want := play(interference.ModeOff)
	avoid, got := play(interference.ModeAvoid)
	if len(want) == 0 || off.waits == 0 || avoid.counts[cell.CountAvoided] == 0 {
		t.Fatalf("%d starts, waits of %v, %d avoided: nothing is shown", len(want), off.waits, avoid.counts[cell.CountAvoided])
	}
	if !slices.Equal(got, want) {
		t.Errorf("%d starts on the only worker, with Off %d, at other times", len(got), len(want))
	}
}

// Guards against a pair that is avoided for ever after its effect has changed.
func TestPairThatStopsInterferingIsForgotten(t *testing.T) {
	m := newMix(t, interference.ModeAvoid, 1, 16, mixedHarm(), mixedImages()...)
	m.run(time.Minute)
	if !slices.Contains(m.pairs(), "shop beside crunch") {
		t.Fatalf("pairs %v", m.pairs())
	}
	clear(m.harm)
	m.harm[[2]string{"mail", "index"}] = 0.5
	const known = "tasks of two images interfere"
	const forgotten = "tasks of two images are no longer known to interfere"
	m.run(2 * time.Minute)
	if slices.Contains(m.pairs(), "shop beside crunch") || slices.Contains(m.pairs(), "mail beside scan") {
		t.Errorf("pairs %v two minutes after they have changed", m.pairs())
	}
	if !slices.Contains(m.pairs(), "mail beside index") {
		t.Errorf("pairs %v, without the new one", m.pairs())
	}
	if m.logged(known) < 2 || m.logged(forgotten) < 2 {
		t.Errorf("%d lines on new pairs and %d on forgotten ones", m.logged(known), m.logged(forgotten))
	}
}

// Guards against a new owner that needs more than reports to learn again.
func TestPairsAreLearnedAgainAfterATakeover(t *testing.T) {
	m := newMix(t, interference.ModeObserve, 1, 16, mixedHarm(), mixedImages()...)
	m.run(time.Minute)
	if !slices.Contains(m.pairs(), "shop beside crunch") {
		t.Fatalf("pairs %v", m.pairs())
	}
	m.takeover()
	if pairs := m.pairs(); len(pairs) != 0 {
		t.Errorf("the new owner begins with %v", pairs)
	}
	m.run(30 * time.Second)
	if !slices.Contains(m.pairs(), "shop beside crunch") {
		t.Errorf("pairs %v half a minute after the takeover", m.pairs())
	}
}

// Guards against log lines and views that grow with what clients name their images.
func TestManyImagesAreBounded(t *testing.T) {
	var images []image
	hidden := make(harm)
	for i := range 5 {
		name := fmt.Sprintf("shop%d", i)
		large := batch(fmt.Sprintf("scan%d", i), 400*time.Millisecond, 5*time.Second)
		large.step.Size.MilliCores = 4000
		images = append(images, serving(name, 4*time.Second, 20*time.Second), large)
		for k := range 5 {
			hidden[[2]string{name, fmt.Sprintf("scan%d", k)}] = 0.4
		}
	}
	m := newMix(t, interference.ModeObserve, 1, 24, hidden, images...)
	const seconds = 60
	m.run(seconds * time.Second)
	view := m.cell.Overview(m.now).Interference
	if len(view.Worst) != 10 || view.Pairs <= len(view.Worst) {
		t.Errorf("%d of %d pairs are shown", len(view.Worst), view.Pairs)
	}
	if lines := m.logged("tasks of two images"); lines > 10*seconds {
		t.Errorf("%d lines in %d s", lines, seconds)
	}
}

// Guards against a learned penalty that takes precedence over what counts more. Workers
// report nonsense, so that what is learned is wrong. For steps of all kinds, the worker has
// to be as near, as healthy and as free as the one that is chosen without the model.
func TestWrongDataChangesNoOrderThatHasPrecedence(t *testing.T) {
	checked, changed := 0, 0
	for seed := range uint64(4) {
		hidden := harm{{"sort", "index"}: 0.6, {"scan", "index"}: 0.6, {"sort", "crunch"}: 0.6}
		m := newMix(t, interference.ModeAvoid, seed, 18, hidden, precedenceImages()...)
		m.distort = m.distortReport
		for range 300 {
			m.run(mixStep * 2)
			for _, c := range m.cell.CompareChoices(m.now) {
				checked++
				if c.Changed {
					changed++
				}
				if c.Fault != "" {
					t.Fatalf("seed %d, %v, step %s: %s", seed, m.now.Sub(m.begin), c.Step, c.Fault)
				}
			}
		}
	}
	t.Logf("%d choices, %d of them changed", checked, changed)
	if changed == 0 {
		t.Error("the nonsense changed no choice, so that nothing was checked")
	}
}

// precedenceImages is a load with steps that ask for data, racks and limits.
func precedenceImages() []image {
	images := append(mixedImages(), batch("near", time.Second, 4*time.Second),
		batch("rack", time.Second, 4*time.Second), batch("apart", time.Second, 4*time.Second), batch("gang", 2*time.Second, 4*time.Second))
	for i := range images {
		step := &images[i].step
		switch images[i].name {
		case "near":
			step.DataRack, step.Tasks = "r1", 3
		case "rack":
			step.SameRack, step.Tasks = true, 4
		case "apart":
			step.MaxPerWorker, step.Tasks = 1, 5
		case "gang":
			step.Gang, step.Tasks = true, 3
		}
	}
	return images
}

// distortReport has serving tasks report latencies that depend on neighbours chosen at random,
// others every 20 s, so that pairs become known that do not exist. Some figures are
// impossible ones.
func (m *mix) distortReport(w *mixWorker, r *cell.Report) {
	blamed := int(m.now.Sub(m.begin) / (20 * time.Second))
	for i := range r.Running {
		e := &r.Running[i]
		step := &m.jobs[e.Task.Job].image.step
		switch w.random.IntN(20) {
		case 0:
			e.Load = math.Inf(1)
		case 1:
			e.Load = -1
		case 2:
			e.Percent = w.random.IntN(200) - 50
		default:
			if step.LatencyTarget == 0 {
				continue
			}
			e.Load = 30
			for _, o := range w.runs {
				if name := o.job.image.name; int(name[0]+name[len(name)-1])%3 == blamed%3 {
					e.Load += 50
				}
			}
		}
	}
}

// Guards against an image that a client names with many bytes or not at all.
func TestImagesWithoutAUsableNameAreNotObserved(t *testing.T) {
	long := strings.Repeat("x", 5000)
	m := newMix(t, interference.ModeAvoid, 1, 4, harm{{"", long}: 0.8},
		serving("", 4*time.Second, 40*time.Second), bestEffort(long, 2*time.Second))
	m.run(30 * time.Second)
	if v := m.cell.Overview(m.now).Interference; v.Classes != 0 || len(m.starts) == 0 {
		t.Errorf("%d classes, %d starts", v.Classes, len(m.starts))
	}
}

// Guards against a serving step whose target is too short for a latency in milliseconds, and
// against tasks whose reports lack the load.
func TestMissingFiguresAreNotObserved(t *testing.T) {
	images := mixedImages()
	images[0].step.LatencyTarget = time.Microsecond
	m := newMix(t, interference.ModeAvoid, 1, 8, mixedHarm(), images...)
	m.distort = func(_ *mixWorker, r *cell.Report) {
		for i := range r.Running {
			r.Running[i].Load = 0
		}
	}
	m.run(time.Minute)
	if slices.ContainsFunc(m.pairs(), func(p string) bool { return strings.HasPrefix(p, "shop") || strings.HasPrefix(p, "mail") }) {
		t.Errorf("pairs %v without any latency", m.pairs())
	}
}

// Guards against a cost of a report that grows with the square of the images on a worker.
func TestClassesOfAWorkerAreBounded(t *testing.T) {
	var images []image
	for i := range 300 {
		im := batch(fmt.Sprintf("image%d", i), time.Hour, time.Minute)
		im.step.Size.MilliCores, im.step.Size.MemoryMB = 1, 1
		images = append(images, im)
	}
	m := newMix(t, interference.ModeObserve, 1, 1, harm{}, images...)
	m.run(5 * time.Second)
	if v := m.cell.Overview(m.now).Interference; v.Classes != 64 || len(m.starts) != len(images) {
		t.Errorf("%d classes, %d starts", v.Classes, len(m.starts))
	}
}
