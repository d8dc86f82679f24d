package standin

import (
	"time"

	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/platform"
)

// SetLeaving makes the worker report that it is leaving.
func (w *Worker) SetLeaving(leaving bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = leaving
}

// SetFailStarts makes every attempt fail as soon as it is started.
func (w *Worker) SetFailStarts(fail bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failStarts = fail
}

// Restart simulates a reboot: the worker loses all attempts, also the ended ones
// that it kept, and gets a new boot ID.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.timers.Now()
	if w.isFrozen() {
		w.frozenAt = time.Time{}
	} else {
		w.advance(now)
		w.endRuns(now)
	}
	clear(w.tasks)
	w.boots++
}

// Freeze suspends the whole host: until Thaw its attempts make no progress and it
// does not respond.
func (w *Worker) Freeze() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isFrozen() {
		return
	}
	now := w.timers.Now()
	w.advance(now)
	w.endRuns(now)
	w.frozenAt = now
}

// endRuns ends the journal's runs of all attempts without ending the attempts.
func (w *Worker) endRuns(now time.Time) {
	for _, t := range w.tasks {
		if !t.state.Ended() {
			w.journal.endTask(t.runIndex, now, platform.TaskLapsed)
		}
	}
}

// Thaw resumes a frozen host. Attempts whose lease has expired meanwhile do not
// resume; the others continue with their remaining run time.
func (w *Worker) Thaw() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.isFrozen() {
		return
	}
	now := w.timers.Now()
	frozenFor := now.Sub(w.frozenAt)
	w.frozenAt = time.Time{}
	for _, t := range w.tasks {
		if t.state.Ended() {
			continue
		}
		if !t.start.Until.After(now.Add(w.config.ClockOffset)) {
			t.runIndex = -1
			w.finish(t, now, platform.TaskLapsed, "the lease ended while the host stood still")
			continue
		}
		if !t.endsAt.IsZero() {
			t.endsAt = t.endsAt.Add(frozenFor)
		}
		t.runIndex = w.beginRun(t, now, true)
	}
}

func scale(s job.Size, factor float64) job.Size {
	return job.Size{
		MilliCores:   int64(float64(s.MilliCores) * factor),
		MemoryMB:     int64(float64(s.MemoryMB) * factor),
		Accelerators: s.Accelerators,
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
