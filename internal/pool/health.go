package pool

import (
	"slices"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/fault"
)

const (
	// minFailedJobs is the number of different jobs that have to fail on a worker,
	// with none that ends well between them, before it is quarantined.
	minFailedJobs = 3
	// maxBlamedWorkers is the number of workers on which a job has to fail before
	// its failures say nothing about workers any more.
	maxBlamedWorkers = 3
	// failureWindow is how long a failure counts against a worker.
	failureWindow = 5 * time.Minute
	// avoidTimeout is how long a failed task waits for another worker than the one
	// that it failed on.
	avoidTimeout = 5 * time.Second
	// maxProbeBackoff bounds the wait before a quarantined worker is probed.
	maxProbeBackoff = 10 * time.Minute
)

// health is the evidence for and against a worker.
type health struct {
	// failedJobs holds the jobs that failedJobs since the last one that ended well.
	failedJobs    []*openJob
	lastFailureAt time.Time
	// quarantined workers get no new work until probeAt.
	quarantined bool
	probeAt     time.Time
	// probing workers get one task at a time until one ends well.
	probing      bool
	probeBackoff time.Duration
}

// updateHealth weighs the ending of an attempt for its worker and its job.
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
	// A job that has failed in many places since is no evidence.
	h.failedJobs = slices.DeleteFunc(h.failedJobs, func(j *openJob) bool { return len(j.failedOn) >= maxBlamedWorkers })
	suspect := len(h.failedJobs) >= minFailedJobs || h.probing && len(h.failedJobs) > 0
	if suspect && !h.quarantined && p.mayQuarantine() {
		p.quarantine(w, now)
	}
}

// mayQuarantine keeps the quarantined share of the workers bounded.
func (p *Pool) mayQuarantine() bool {
	most := max(1, int(float64(len(p.sortedWorkers))*p.cfg.MaxQuarantinedShare))
	n := 0
	for _, w := range p.sortedWorkers {
		if w.health.quarantined {
			n++
		}
	}
	return p.cfg.ProbeAfter > 0 && n < most
}

func (p *Pool) quarantine(w *worker, now time.Time) {
	h := &w.health
	h.quarantined, h.probing = true, false
	h.probeBackoff = min(max(2*h.probeBackoff, p.cfg.ProbeAfter), maxProbeBackoff)
	h.probeAt = now.Add(h.probeBackoff)
	h.failedJobs = nil
}

// Quarantine gives a worker no new work until a probe shows that it is well, on
// an operator's word.
func (p *Pool) Quarantine(name string, now time.Time) error {
	w, ok := p.workers[name]
	if !ok {
		return fault.New("quarantine", KindMissing, "no worker is named %q", name)
	}
	p.quarantine(w, now)
	return nil
}

// startProbe lets one task run on a worker whose quarantine is over for now.
func (p *Pool) startProbe(w *worker, now time.Time) {
	if h := &w.health; h.quarantined && !now.Before(h.probeAt) {
		h.quarantined, h.probing = false, true
	}
}

// probeRunning reports whether the worker runs a task that is to show whether it
// is well again.
func (w *worker) probeRunning() bool { return w.health.probing && len(w.tasks) > 0 }

// relaxAvoid forgets the worker that a task failed on when there is none else, or
// when none else had room for long.
func (p *Pool) relaxAvoid(t *task, now time.Time) {
	if t.avoid != nil && (len(p.schedulable) < 2 || now.Sub(t.waitingSince) > avoidTimeout) {
		t.avoid = nil
	}
}
