package pool

import (
	"slices"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/fault"
)

const (
	// suspectJobs is the number of different jobs that have to fail on a worker,
	// with none that ends well between them, before it is quarantined.
	suspectJobs = 3
	// badJobWorkers is the number of workers on which a job has to fail before
	// its failures say nothing about workers any more.
	badJobWorkers = 3
	// suspectWindow is how long a failure counts against a worker.
	suspectWindow = 5 * time.Minute
	// avoidFor is how long a failed task waits for another worker than the one
	// that it failed on.
	avoidFor = 5 * time.Second
	// longestProbeWait bounds the wait before a quarantined worker is probed.
	longestProbeWait = 10 * time.Minute
)

// health is the evidence for and against a worker.
type health struct {
	// failed holds the jobs that failed since the last one that ended well.
	failed   []*openJob
	failedAt time.Time
	// quarantined workers get no new work until probeAt.
	quarantined bool
	probeAt     time.Time
	// probing workers get one task at a time until one ends well.
	probing bool
	wait    time.Duration
}

// noteEnd weighs the ending of an attempt for its worker and its job.
func (p *Pool) noteEnd(t *task, e Ending, now time.Time) {
	w := t.worker
	switch e {
	case EndingDone:
		w.health = health{}
	case EndingFailed:
		t.avoid = w
		p.noteFailure(w, t.job, now)
	case EndingStopped, EndingLost, EndingNotRun:
	}
}

func (p *Pool) noteFailure(w *worker, j *openJob, now time.Time) {
	if len(j.failedOn) < badJobWorkers && !slices.Contains(j.failedOn, w) {
		j.failedOn = append(j.failedOn, w)
	}
	h := &w.health
	if now.Sub(h.failedAt) > suspectWindow {
		h.failed = nil
	}
	h.failedAt = now
	if !slices.Contains(h.failed, j) {
		h.failed = append(h.failed, j)
	}
	// A job that has failed in many places since is no evidence.
	h.failed = slices.DeleteFunc(h.failed, func(j *openJob) bool { return len(j.failedOn) >= badJobWorkers })
	suspect := len(h.failed) >= suspectJobs || h.probing && len(h.failed) > 0
	if suspect && !h.quarantined && p.mayQuarantine() {
		p.quarantine(w, now)
	}
}

// mayQuarantine keeps the quarantined share of the workers bounded.
func (p *Pool) mayQuarantine() bool {
	most := max(1, int(float64(len(p.order))*p.cfg.MaxQuarantinedShare))
	n := 0
	for _, w := range p.order {
		if w.health.quarantined {
			n++
		}
	}
	return p.cfg.ProbeAfter > 0 && n < most
}

func (p *Pool) quarantine(w *worker, now time.Time) {
	h := &w.health
	h.quarantined, h.probing = true, false
	h.wait = min(max(2*h.wait, p.cfg.ProbeAfter), longestProbeWait)
	h.probeAt = now.Add(h.wait)
	h.failed = nil
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

// probe lets one task run on a worker whose quarantine is over for now.
func (p *Pool) probe(w *worker, now time.Time) {
	if h := &w.health; h.quarantined && !now.Before(h.probeAt) {
		h.quarantined, h.probing = false, true
	}
}

// busyProbing reports whether the worker runs a task that is to show whether it
// is well again.
func (w *worker) busyProbing() bool { return w.health.probing && len(w.tasks) > 0 }

// mayAvoid forgets the worker that a task failed on when there is none else, or
// when none else had room for long.
func (p *Pool) mayAvoid(t *task, now time.Time) {
	if t.avoid != nil && (len(p.opens) < 2 || now.Sub(t.waitAt) > avoidFor) {
		t.avoid = nil
	}
}
