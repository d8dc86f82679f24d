package admission

import (
	"slices"
	"time"
)

const (
	// minSampleTime and minSampleStarts are the least time and number of starts that a
	// rate is computed from. After maxSampleTime, one start is enough.
	minSampleTime   = 500 * time.Millisecond
	minSampleStarts = 5
	maxSampleTime   = 2 * time.Second
	// keptSamples is the number of the last rates of which the median counts, so that
	// neither a pause of the owner nor a short peak changes it.
	keptSamples = 5
	// maxSampleAge is how long a rate counts.
	maxSampleAge = 15 * time.Second
	// stalledAfter is how long nothing is started, although work waits, before the rate
	// of before no longer counts.
	stalledAfter = 5 * time.Second
	// maxWait bounds the wait that is computed.
	maxWait = 1 * time.Hour
)

// progress is what has been started so far.
type progress struct {
	starts uint64
	// amount is what the rate is measured in.
	amount float64
}

// throughput measures how fast the work that waits for something is started. Only the
// time while work waits counts: otherwise the demand limits the rate.
type throughput struct {
	// waiting is set while work waits, and begin and atBegin the time and the progress
	// from which the next rate is computed.
	waiting bool
	begin   time.Time
	atBegin progress
	// last is the progress as of the last call, and changedAt when it last changed while
	// work waited, or when work began to wait.
	last      progress
	changedAt time.Time
	samples   []rateSample
	// expected is the rate that counts while none has been seen; 0 if it is unknown too.
	expected float64
}

type rateSample struct {
	at        time.Time
	perSecond float64
}

// observe takes the progress so far, and whether work waits now.
func (t *throughput) observe(now time.Time, p progress, waiting bool) {
	began := waiting && !t.waiting
	if began || p.starts != t.last.starts {
		t.changedAt = now
	}
	t.last, t.waiting = p, waiting
	if began {
		t.begin, t.atBegin = now, p
	}
	if began || !waiting {
		return
	}
	passed, starts := now.Sub(t.begin), p.starts-t.atBegin.starts
	// The first rate need not be exact: without one, nothing is refused.
	enough := starts >= minSampleStarts && (passed >= minSampleTime || t.rate(now) == 0)
	if !enough && (starts == 0 || passed < maxSampleTime) {
		return
	}
	t.samples = append(t.samples, rateSample{now, (p.amount - t.atBegin.amount) / passed.Seconds()})
	t.samples = t.samples[max(len(t.samples)-keptSamples, 0):]
	t.begin, t.atBegin = now, p
}

// rate returns the amount that is started in a second while work waits; 0 if that is
// unknown.
func (t *throughput) rate(now time.Time) float64 {
	rates := make([]float64, 0, keptSamples)
	for _, s := range t.samples {
		if now.Sub(s.at) <= maxSampleAge {
			rates = append(rates, s.perSecond)
		}
	}
	if len(rates) == 0 {
		return 0
	}
	slices.Sort(rates)
	return rates[len(rates)/2]
}

// wait returns how long it takes until an amount is started; 0 if that is unknown.
func (t *throughput) wait(now time.Time, amount float64) time.Duration {
	stalled := t.waiting && now.Sub(t.changedAt) > stalledAfter
	rate := t.rate(now)
	if rate == 0 || stalled {
		rate = t.expected
	}
	switch {
	case rate > 0:
		return time.Duration(min(amount/rate*float64(time.Second), float64(maxWait)))
	case stalled:
		return maxRetryAfter
	}
	return 0
}
