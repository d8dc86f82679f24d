package upstream

import (
	"slices"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/platform"
)

// latencyWeight sets the weight of the newest sample in a mean to
// 1/latencyWeight.
const latencyWeight = 8

// instance is what the owner knows of one upstream instance.
type instance struct {
	host platform.Host
	// running holds the time at which each request without an outcome was
	// sent, by request ID.
	running map[string]time.Time
	// lost holds the slots of requests that may still run although no sender
	// waits for them: their outcome is unknown, or a predecessor sent them.
	lost []lostSlot

	leaving   bool
	leavingAt time.Time
	unlisted  bool

	failures     int
	ejections    int
	ejectedUntil time.Time
	// ramp is the number of slots that a new or readmitted instance may use;
	// 0 means all of them.
	ramp int
	// latency is the decaying mean of the response times.
	latency time.Duration

	pausedUntil time.Time
	nextPause   time.Time
}

// lostSlot is a slot that a lost request may occupy.
type lostSlot struct {
	// deliveredBy is the time from which the request has either reached the
	// instance or will never reach it.
	deliveredBy time.Time
	// freeBy is the time after which the slot is free in any case.
	freeBy time.Time
}

func newInstance() *instance { return &instance{running: make(map[string]time.Time)} }

func (i *instance) limit() int { return min(i.host.Slots, i.host.Connections) }

func (i *instance) used() int { return len(i.running) + len(i.lost) }

// usable reports whether the instance may get new requests, now or later.
func (i *instance) usable() bool { return !i.leaving && !i.unlisted && !i.host.Leaving }

// usableSlots returns the number of slots that requests may use, including
// those in use.
func (i *instance) usableSlots(now time.Time) int {
	if !i.usable() || now.Before(i.ejectedUntil) || now.Before(i.pausedUntil) {
		return 0
	}
	if i.ramp > 0 {
		return min(i.limit(), i.ramp)
	}
	return i.limit()
}

func (i *instance) hasFreeSlot(now time.Time) bool { return i.used() < i.usableSlots(now) }

// availableAt returns the earliest time at which the instance may accept another
// request. That is now, or the end of an ejection, as long as a slot is not lost
// or a running request may free one. If all slots are lost, it is not before
// the first of their requests has been delivered or dropped.
func (i *instance) availableAt(now time.Time) time.Time {
	at := now
	if i.ejectedUntil.After(at) {
		at = i.ejectedUntil
	}
	if len(i.running) > 0 || len(i.lost) < i.limit() {
		return at
	}
	first := i.lost[0].deliveredBy
	for _, l := range i.lost {
		if l.deliveredBy.Before(first) {
			first = l.deliveredBy
		}
	}
	if first.After(at) {
		return first
	}
	return at
}

// cost returns a value to compare instances by: recent latency times load. The
// age of the oldest running request counts as latency too, so that the cost of
// a stalled instance rises before any of its requests has an outcome.
func (i *instance) cost(typical time.Duration, now time.Time) time.Duration {
	latency := i.latency
	if latency == 0 {
		latency = typical
	}
	for _, sent := range i.running {
		latency = max(latency, now.Sub(sent))
	}
	return max(latency, time.Microsecond) * time.Duration(i.used()+1)
}

// markLost turns the slot of a request with an unknown outcome into a lost slot.
func (i *instance) markLost(id string, cfg *Config, now time.Time) {
	if _, ok := i.running[id]; !ok {
		return
	}
	delete(i.running, id)
	i.lost = append(i.lost, newLostSlot(cfg, now))
}

func newLostSlot(cfg *Config, now time.Time) lostSlot {
	deliveredBy := now.Add(cfg.MaxSendTime + cfg.Margin)
	return lostSlot{deliveredBy: deliveredBy, freeBy: deliveredBy.Add(cfg.MaxRun)}
}

// reconcile frees lost slots by the number of requests that the instance ran at
// some time after askedAt. That number includes each lost request that had been
// delivered by askedAt and was still running.
func (i *instance) reconcile(running int, askedAt time.Time) {
	arrived := 0
	for _, l := range i.lost {
		if !l.deliveredBy.After(askedAt) {
			arrived++
		}
	}
	ended := max(arrived-running, 0)
	// Which of them ended is unknown; the slots with the latest freeBy are kept.
	slices.SortFunc(i.lost, func(a, b lostSlot) int { return a.freeBy.Compare(b.freeBy) })
	i.lost = slices.DeleteFunc(i.lost, func(l lostSlot) bool {
		if ended == 0 || l.deliveredBy.After(askedAt) {
			return false
		}
		ended--
		return true
	})
	if len(i.running) == 0 {
		i.pausedUntil = time.Time{}
	}
}

// reconcilable reports whether a status of the instance may free lost slots.
func (i *instance) reconcilable(now time.Time) bool {
	return slices.ContainsFunc(i.lost, func(l lostSlot) bool { return !l.deliveredBy.After(now) })
}

// expire frees the lost slots whose freeBy has passed.
func (i *instance) expire(now time.Time) {
	i.lost = slices.DeleteFunc(i.lost, func(l lostSlot) bool { return now.After(l.freeBy) })
}

// recordAnswer records a response and the time that it took. It resets the
// failures and lets a ramping instance use one more slot.
func (i *instance) recordAnswer(took time.Duration) {
	i.latency = mean(i.latency, took)
	i.failures, i.ejections = 0, 0
	if i.ramp > 0 {
		i.ramp++
		if i.ramp >= i.limit() {
			i.ramp = 0
		}
	}
}

// mean updates a decaying mean with a sample. A mean of 0 has no sample yet.
func mean(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + (sample-old)/latencyWeight
}
