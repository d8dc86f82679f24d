package standin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/platform"
	"cicadabarrow.example/cicadabarrow/internal/timer"
)

const (
	// endedRetention is how long a worker keeps an ended attempt.
	endedRetention = 10 * time.Minute
	// usageSamplePeriod is the time between two samples of an attempt's usage.
	usageSamplePeriod = 30 * time.Second
)

// WorkerConfig configures a worker.
type WorkerConfig struct {
	Host platform.Host
	// ClockOffset is how far the worker's clock is ahead of the true time.
	ClockOffset time.Duration
	Seed        uint64
	// RunTimeFactorMin and RunTimeFactorMax bound the real run time of an attempt
	// as a factor of the declared one. Both are 1 if RunTimeFactorMax is 0.
	RunTimeFactorMin, RunTimeFactorMax float64
}

// Worker stands in for one worker. It gives the weakest guarantees that a worker
// of the platform may give: it runs every start under a lease, even beyond its
// capacity, and checks no epoch. It does not run a start whose lease has expired,
// runs an attempt that is started twice only once, and stops an attempt when its
// lease expires. It has no timers: each call first computes its state from the
// clock.
type Worker struct {
	Faults
	config  WorkerConfig
	journal *Journal

	mu         sync.Mutex
	random     *rand.Rand
	boots      int
	leaving    bool
	failStarts bool
	frozenAt   time.Time
	tasks      map[platform.Attempt]*workerTask
}

type workerTask struct {
	start platform.Start
	// usage is the share of the declared size that the attempt uses.
	usage float64
	// startedAt, endsAt, changedAt and endedAt are by the true clock, not by the
	// worker's. endsAt is zero for an attempt that runs until it is stopped.
	startedAt, endsAt, changedAt, endedAt time.Time
	state                                 platform.TaskState
	message                               string
	runIndex                              int
}

// NewWorker returns a worker that runs nothing.
func NewWorker(config WorkerConfig, timers timer.Service, journal *Journal) *Worker {
	if config.RunTimeFactorMax == 0 {
		config.RunTimeFactorMin, config.RunTimeFactorMax = 1, 1
	}
	return &Worker{
		Faults:  Faults{timers: timers},
		config:  config,
		journal: journal,
		random:  rand.New(rand.NewPCG(config.Seed, 0)),
		boots:   1,
		tasks:   make(map[platform.Attempt]*workerTask),
	}
}

// Host returns the worker's entry in the host list.
func (w *Worker) Host() platform.Host { return w.config.Host }

// Now returns the time by the worker's own clock.
func (w *Worker) Now() time.Time { return w.timers.Now().Add(w.config.ClockOffset) }

// Start runs attempts and returns one error for each start, nil if it was accepted.
func (w *Worker) Start(ctx context.Context, starts []platform.Start) ([]error, error) {
	return withFaults(ctx, &w.Faults, "start", func() ([]error, error) {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.isFrozen() {
			return nil, unknown("start", "worker %q is frozen", w.config.Host.Name)
		}
		now := w.timers.Now()
		w.advance(now)
		refused := make([]error, len(starts))
		for i, s := range starts {
			refused[i] = w.accept(now, s)
		}
		return refused, nil
	})
}

func (w *Worker) accept(now time.Time, s platform.Start) error {
	if s.Attempt.Task.Job == "" || s.Attempt.Number < 1 || s.RunTime < 0 {
		return invalid("start", "attempt %+v with run time %v is malformed", s.Attempt, s.RunTime)
	}
	if _, known := w.tasks[s.Attempt]; known {
		return nil
	}
	t := &workerTask{start: s, startedAt: now, changedAt: now, endedAt: now, runIndex: -1}
	w.tasks[s.Attempt] = t
	if !s.Until.After(now.Add(w.config.ClockOffset)) {
		t.state, t.message = platform.TaskLapsed, "the lease had ended before the start arrived"
		return notRun("start", "the lease of attempt %+v ended at %v", s.Attempt, s.Until)
	}
	if s.RunTime > 0 {
		factor := w.config.RunTimeFactorMin + w.random.Float64()*(w.config.RunTimeFactorMax-w.config.RunTimeFactorMin)
		t.endsAt = now.Add(time.Duration(float64(s.RunTime) * factor))
	}
	t.usage = 0.5 + w.random.Float64()/2
	t.state = platform.TaskRunning
	t.runIndex = w.beginRun(t, now, false)
	if w.failStarts {
		w.finish(t, now, platform.TaskFailed, "the worker fails every start")
	}
	return nil
}

func (w *Worker) beginRun(t *workerTask, at time.Time, resumed bool) int {
	return w.journal.beginTask(TaskRun{
		Worker: w.config.Host.Name, Attempt: t.start.Attempt, Epoch: t.start.Epoch,
		Size: t.start.Size, Start: at, Resumed: resumed,
	})
}

func (w *Worker) finish(t *workerTask, at time.Time, state platform.TaskState, message string) {
	t.state, t.message, t.endedAt, t.changedAt = state, message, at, w.timers.Now()
	if t.runIndex >= 0 {
		w.journal.endTask(t.runIndex, at, state)
	}
}

// Report renews leases and returns the attempts that have changed.
func (w *Worker) Report(ctx context.Context, r platform.ReportRequest) (platform.Report, error) {
	return withFaults(ctx, &w.Faults, "report", func() (platform.Report, error) {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.isFrozen() {
			return platform.Report{}, unknown("report", "worker %q is frozen", w.config.Host.Name)
		}
		now := w.timers.Now()
		w.advance(now)
		requested := make(map[platform.Attempt]bool, len(r.Renewals))
		for _, renewal := range r.Renewals {
			w.renew(renewal)
			requested[renewal.Attempt] = true
		}
		return w.report(now, r.Since, requested), nil
	})
}

func (w *Worker) renew(r platform.Renewal) {
	t, ok := w.tasks[r.Attempt]
	if ok && !t.state.Ended() && r.Until.After(t.start.Until) {
		t.start.Until = r.Until
	}
}

// report lists the attempts that have changed or were sampled since a time, and
// the ended ones whose renewal was requested.
func (w *Worker) report(now, since time.Time, requested map[platform.Attempt]bool) platform.Report {
	report := platform.Report{Now: now.Add(w.config.ClockOffset), BootID: w.bootID(), Leaving: w.leaving}
	for attempt, t := range w.tasks {
		sample := now.Sub(t.startedAt).Truncate(usageSamplePeriod)
		sampled := sample > 0 && !t.state.Ended()
		changed := t.changedAt
		if sampled {
			changed = later(changed, t.startedAt.Add(sample))
		}
		old := !since.IsZero() && changed.Add(w.config.ClockOffset).Before(since)
		if old && (!requested[attempt] || !t.state.Ended()) {
			continue
		}
		taskReport := platform.TaskReport{Attempt: attempt, State: t.state, Size: t.start.Size, Until: t.start.Until, Message: t.message}
		if sampled {
			taskReport.Usage = scale(t.start.Size, t.usage)
		}
		report.Tasks = append(report.Tasks, taskReport)
	}
	return report
}

// Stop ends attempts. It ignores those that the worker does not run.
func (w *Worker) Stop(ctx context.Context, stops []platform.Stop) error {
	_, err := withFaults(ctx, &w.Faults, "stop", func() (struct{}, error) {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.isFrozen() {
			return struct{}{}, unknown("stop", "worker %q is frozen", w.config.Host.Name)
		}
		now := w.timers.Now()
		w.advance(now)
		for _, s := range stops {
			if t, ok := w.tasks[s.Attempt]; ok && !t.state.Ended() {
				w.finish(t, now, platform.TaskStopped, "")
			}
		}
		return struct{}{}, nil
	})
	return err
}

// AdvanceTo ends the attempts that are due to end at or before a time of the true
// clock, unless the worker is frozen.
func (w *Worker) AdvanceTo(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.isFrozen() {
		w.advance(now)
	}
}

func (w *Worker) advance(now time.Time) {
	for attempt, t := range w.tasks {
		if t.state.Ended() {
			if now.Sub(t.endedAt) > endedRetention {
				delete(w.tasks, attempt)
			}
			continue
		}
		expiry := t.start.Until.Add(-w.config.ClockOffset)
		if !t.endsAt.IsZero() && !t.endsAt.After(expiry) {
			if !t.endsAt.After(now) {
				w.finish(t, t.endsAt, platform.TaskDone, "")
			}
			continue
		}
		if !expiry.After(now) {
			w.finish(t, expiry, platform.TaskLapsed, "the lease ended")
		}
	}
}

func (w *Worker) isFrozen() bool { return !w.frozenAt.IsZero() }

func (w *Worker) bootID() string { return fmt.Sprintf("%s-%d", w.config.Host.Name, w.boots) }
