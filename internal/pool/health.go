package pool

import (
	"slices"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/fault"
)

const (
	// minFailedJobs is the number of different jobs that have to fail on a
	// worker, with no success between them, before it is quarantined.
	minFailedJobs = 3
	// maxBlamedWorkers is the number of workers on which a job has to fail
	// before its failures no longer count against workers.
	maxBlamedWorkers = 3
	// failureWindow is how long a failure counts against a worker.
	failureWindow = 5 * time.Minute
	// avoidTimeout is how long a failed task waits for a worker other than the
	// one that it failed on.
	avoidTimeout = 5 * time.Second
	// maxProbeBackoff bounds the wait before a quarantined worker is probed.
	maxProbeBackoff = 10 * time.Minute
)

// health is the record of a worker's failures and of its quarantine.
type health struct {
	// failedJobs holds the jobs that have failed since the last success.
	failedJobs    []*openJob
	lastFailureAt time.Time
	// quarantined workers get no new work until probeAt.
	quarantined bool
	probeAt     time.Time
	// probing workers get one task at a time until one succeeds.
	probing      bool
	probeBackoff time.Duration
}

// updateHealth applies the ending of an attempt to the health of its worker and
// to the record of where its job has failed.
func (p *Pool) updateHealth(t *task, e Ending, now time.Time) {
	w := t.worker
	switch e {
	case EndingDone:
		w.health = health{}
	case EndingFailed:
		t.avoid = w
		p.recordFailure(w, t.job, now)
	case EndingStopped, EndingLost, EndingNotRun:
	}
}

func (p *Pool) recordFailure(w *worker, j *openJob, now time.Time) {
	if len(j.failedOn) < maxBlamedWorkers && !slices.Contains(j.failedOn, w) {
		j.failedOn = append(j.failedOn, w)
	}
	h := &w.health
	if now.Sub(h.lastFailureAt) > failureWindow {
		h.failedJobs = nil
	}
	h.lastFailureAt = now
	if !slices.Contains(h.failedJobs, j) {
		h.failedJobs = append(h.failedJobs, j)
	}
	// A job that has meanwhile failed on many workers is no evidence against
	// this one.
	h.failedJobs = slices.DeleteFunc(h.failedJobs, func(j *openJob) bool { return len(j.failedOn) >= maxBlamedWorkers })
	suspect := len(h.failedJobs) >= minFailedJobs || h.probing && len(h.failedJobs) > 0
	if suspect && !h.quarantined && p.mayQuarantine() {
		p.quarantine(w, now)
	}
}

// mayQuarantine reports whether one more worker may be quarantined, by
// MaxQuarantinedShare.
func (p *Pool) mayQuarantine() bool {
	limit := max(1, int(float64(len(p.sortedWorkers))*p.cfg.MaxQuarantinedShare))
	n := 0
	for _, w := range p.sortedWorkers {
		if w.health.quarantined {
			n++
		}
	}
	return p.cfg.ProbeAfter > 0 && n < limit
}

func (p *Pool) quarantine(w *worker, now time.Time) {
	h := &w.health
	h.quarantined, h.probing = true, false
	h.probeBackoff = min(max(2*h.probeBackoff, p.cfg.ProbeAfter), maxProbeBackoff)
	h.probeAt = now.Add(h.probeBackoff)
	h.failedJobs = nil
}

// Quarantine gives a worker no new work until a probe succeeds there, at an
// operator's request.
func (p *Pool) Quarantine(name string, now time.Time) error {
	w, ok := p.workers[name]
	if !ok {
		return fault.New("quarantine", KindMissing, "no worker is named %q", name)
	}
	p.quarantine(w, now)
	return nil
}

// startProbe lets one task run on a worker whose wait in quarantine is over.
func (p *Pool) startProbe(w *worker, now time.Time) {
	if h := &w.health; h.quarantined && !now.Before(h.probeAt) {
		h.quarantined, h.probing = false, true
	}
}

// probeRunning reports whether a worker that is being probed runs a task.
func (w *worker) probeRunning() bool { return w.health.probing && len(w.tasks) > 0 }

// relaxAvoid lets a task return to the worker that it failed on when there is
// no other worker, or when the task has waited longer than avoidTimeout.
func (p *Pool) relaxAvoid(t *task, now time.Time) {
	if t.avoid != nil && (len(p.schedulable) < 2 || now.Sub(t.waitingSince) > avoidTimeout) {
		t.avoid = nil
	}
}
