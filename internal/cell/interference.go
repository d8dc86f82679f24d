package cell

import (
	"math"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/interference"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

const (
	// minObservationWindow is the least time over which a worker is observed. Latencies are
	// those of the last half second, and progress is reported in whole percent.
	minObservationWindow = 500 * time.Millisecond
	// maxObservationWindow is the time after which a window is not used: the worker was
	// silent or frozen.
	maxObservationWindow = 3 * time.Second
	// interferenceInterval is the time in which all classes of the model are refreshed, a
	// few with each tick: all at once take 3 ms of a core if the model is full.
	interferenceInterval = 1 * time.Second
	// maxInterferenceLines limits the log lines in an interferenceInterval.
	maxInterferenceLines = 10
	// maxPresences limits the classes that are considered on one worker.
	maxPresences = 64
	// maxPairsShown limits the pairs in the operator's view.
	maxPairsShown = 10
)

// interferenceState is what the owner learns about interference between tasks.
type interferenceState struct {
	// model is nil if the mode is Off.
	model       *interference.Model
	refreshedAt time.Time
	// loggedAt is when changes were last logged.
	loggedAt time.Time
	// lastWindow is the number of the last window of any worker.
	lastWindow uint64
	// nextCompared is where the next comparison of workers begins.
	nextCompared int
	// beside is a buffer of interferencePenalty.
	beside []interference.Presence
}

func newInterferenceState(mode interference.Mode) interferenceState {
	if mode == interference.ModeOff {
		return interferenceState{}
	}
	return interferenceState{model: interference.New()}
}

// observationWindow is the time over which a worker is observed, by its own clock.
type observationWindow struct {
	// number identifies the window; 0 if there is none.
	number      uint64
	incarnation Incarnation
	begin       time.Duration
	// presences holds the tasks of each class, times the seconds until at.
	presences []interference.Presence
	at        time.Duration
}

// windowStart is the progress of a run at the begin of a window.
type windowStart struct {
	number  uint64
	percent int
}

// observeInterference has the model learn from a report, after the runs were updated.
func (c *Cell) observeInterference(now time.Time, w *worker, report *Report) {
	o := &w.window
	if c.interference.model == nil {
		return
	}
	length := report.Clock - o.begin
	if o.number == 0 || o.incarnation != report.Incarnation || report.Clock < o.at || length > maxObservationWindow {
		c.beginWindow(w, report)
		return
	}
	o.add(w, report)
	if length < minObservationWindow {
		return
	}
	if !w.health.quarantined(now) && w.health.avoidedSlowness(now) == 0 {
		c.interference.model.Observe(now, o.observation(w, report, length))
	}
	c.beginWindow(w, report)
}

// beginWindow begins a window with the runs of a report.
func (c *Cell) beginWindow(w *worker, report *Report) {
	c.interference.lastWindow++
	w.window = observationWindow{
		number: c.interference.lastWindow, incarnation: report.Incarnation, begin: report.Clock, at: report.Clock,
		presences: w.window.presences[:0],
	}
	for i := range report.Running {
		if r := w.reportedRun(&report.Running[i]); r != nil {
			r.inWindow = windowStart{w.window.number, r.percent}
		}
	}
}

// reportedRun returns the known run that a report lists, or nil.
func (w *worker) reportedRun(e *Running) *run {
	r, known := w.runs.get(e.Task)
	if !known || r.number != e.Run || r.phase != runStarted {
		return nil
	}
	return r
}

// add adds the time since the last report to the presences.
func (o *observationWindow) add(w *worker, report *Report) {
	seconds := (report.Clock - o.at).Seconds()
	o.at = report.Clock
	for i := range report.Running {
		if r := w.reportedRun(&report.Running[i]); r != nil {
			o.presences = addPresence(o.presences, classOf(r.task.step.spec), seconds*r.activity())
		}
	}
}

// observation returns what was seen in a window.
func (o *observationWindow) observation(w *worker, report *Report, length time.Duration) interference.Observation {
	out := interference.Observation{Worker: string(w.id), Presences: o.presences}
	for i := range out.Presences {
		out.Presences[i].Tasks /= length.Seconds()
	}
	for i := range report.Running {
		r := w.reportedRun(&report.Running[i])
		if r == nil || r.inWindow.number != o.number {
			continue
		}
		spec := r.task.step.spec
		if value, ok := r.measuredValue(length); ok {
			out.Measured = append(out.Measured, interference.Measurement{
				Class: classOf(spec), Size: spec.Size, Own: r.activity(), Value: value,
			})
		}
	}
	return out
}

// classOf returns the class of the tasks of a step.
func classOf(spec *workload.Step) interference.Class {
	return interference.Class{Image: spec.Image, Serving: spec.LatencyTarget > 0}
}

// addPresence adds tasks of a class, unless there are maxPresences others.
func addPresence(to []interference.Presence, class interference.Class, tasks float64) []interference.Presence {
	if !class.Valid() {
		return to
	}
	for i := range to {
		if to[i].Class == class {
			to[i].Tasks += tasks
			return to
		}
	}
	if len(to) >= maxPresences {
		return to
	}
	return append(to, interference.Presence{Class: class, Tasks: tasks})
}

// activity returns how active a run is, from 0 to 1: its processor use over its size, and
// if that is not known, its pace. The load of a serving task is a latency, which does not
// tell how active it is.
func (r *run) activity() float64 {
	spec := r.task.step.spec
	switch {
	case spec.LatencyTarget > 0:
		return 1
	case r.load > 0 && spec.Size.MilliCores > 0:
		return min(r.load/float64(spec.Size.MilliCores), 1)
	case spec.BestEffort && r.pace != unknownPace:
		return float64(r.pace) / fullPace
	}
	return 1
}

// measuredValue returns the latency over target of a run, or its progress per second since
// the begin of a window, and false if it tells nothing about interference. Best-effort tasks
// get what others leave, members of a gang wait for each other, and the speed of tasks with
// data or other tasks in a rack depends on the place.
func (r *run) measuredValue(length time.Duration) (float64, bool) {
	spec := r.task.step.spec
	if r.stopping || spec.Gang || spec.BestEffort {
		return 0, false
	}
	if spec.LatencyTarget > 0 {
		startingUp := spec.LongRunning && r.percent < fullPercent
		return r.load / (spec.LatencyTarget.Seconds() * millisecondsPerSecond), r.load > 0 && !startingUp
	}
	if spec.LongRunning || spec.DataRack != "" || spec.SameRack || r.percent >= fullPercent || r.percent < r.inWindow.percent {
		return 0, false
	}
	return float64(r.percent-r.inWindow.percent) / length.Seconds(), true
}

const millisecondsPerSecond = 1000

// refreshInterference has the model forget what no longer holds, and logs the pairs that
// have become known or were forgotten.
func (c *Cell) refreshInterference(now time.Time) {
	m := c.interference.model
	if m == nil {
		return
	}
	due := now.Sub(c.interference.refreshedAt).Seconds() / interferenceInterval.Seconds() * float64(m.Classes())
	c.interference.refreshedAt = now
	m.Refresh(now, int(math.Ceil(min(due, float64(m.Classes())))))
	if now.Sub(c.interference.loggedAt) >= interferenceInterval {
		c.interference.loggedAt = now
		c.logInterference()
	}
}

func (c *Cell) logInterference() {
	changes, omitted := c.interference.model.TakeChanges()
	for i, change := range changes {
		if i == maxInterferenceLines {
			break
		}
		message := "tasks of two images interfere"
		if !change.Known {
			message = "tasks of two images are no longer known to interfere"
		}
		c.log.Info(message, zap.String("Image", change.Task.Image), zap.Bool("Serving", change.Task.Serving),
			zap.String("Beside", change.Beside.Image), zap.Bool("BesideServing", change.Beside.Serving),
			zap.Float64("Loss", change.Loss), zap.Duration("Seen", change.Age))
	}
	if omitted += max(len(changes)-maxInterferenceLines, 0); omitted > 0 {
		c.log.Info("further changes of interference are not logged", zap.Int("Suppressed", omitted))
	}
}

// InterferenceView is what is known about interference, as shown to an operator.
type InterferenceView struct {
	Mode interference.Mode
	// Classes counts the classes of tasks that are observed, and Pairs those that are known
	// to interfere.
	Classes int
	Pairs   int
	// Worst holds the known pairs with the largest loss.
	Worst []interference.Pair
}

func (c *Cell) interferenceView(now time.Time) InterferenceView {
	m := c.interference.model
	if m == nil {
		return InterferenceView{}
	}
	return InterferenceView{Mode: c.config.Interference, Classes: m.Classes(), Pairs: m.Pairs(), Worst: m.Worst(now, maxPairsShown)}
}

// interferingPairs returns the number of pairs that are known to interfere.
func (c *Cell) interferingPairs() int {
	if c.interference.model == nil {
		return 0
	}
	return c.interference.model.Pairs()
}
