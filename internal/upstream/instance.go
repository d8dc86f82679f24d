package upstream

import (
	"slices"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/platform"
)

// latencyWeight is the weight of the newest sample in a mean, as 1/n.
const latencyWeight = 8

// instance is what the owner knows of one upstream instance.
type instance struct {
	host platform.Host
	// running holds the requests whose outcome is still to come, with the
	// time at which they were sent.
	running map[string]time.Time
	// lost holds the slots of requests that may still run although nobody
	// waits for them: their outcome is unknown, or an earlier owner sent them.
	lost []lostSlot

	leaving   bool
	leavingAt time.Time
	unlisted  bool

	failures     int
	ejections    int
	ejectedUntil time.Time
	// ramp is the number of slots that a new or readmitted instance may use;
	// 0 stands for all.
	ramp int
	// latency is the mean time of the recent answers.
	latency time.Duration

	pausedUntil time.Time
	nextPause   time.Time
}

// lostSlot is a slot that may be occupied.
type lostSlot struct {
	// deliveredBy is the time from which the request is either in the instance or
	// will never reach it.
	deliveredBy time.Time
	// freeBy is the time from which the slot is surely free.
	freeBy time.Time
}

func newInstance() *instance { return &instance{running: make(map[string]time.Time)} }

func (i *instance) limit() int { return min(i.host.Slots, i.host.Connections) }

func (i *instance) used() int { return len(i.running) + len(i.lost) }

// usable reports whether the instance may get new requests, now or later.
func (i *instance) usable() bool { return !i.leaving && !i.unlisted && !i.host.Leaving }

// usableSlots returns the number of slots that new requests may use, taken ones
// included.
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

// availableAt returns the earliest time at which the instance may take a request
// that it cannot take now. It is now while an outcome may free a slot.
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

// cost weighs the instance against others: recent latency times load. The
// oldest request counts as latency too, so that an instance that stalls costs
// more before any of its requests has come back.
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

// markLost turns the slot of a request with an unknown outcome into a lost one.
func (i *instance) markLost(id string, cfg *Config, now time.Time) {
	if _, ok := i.running[id]; !ok {
		return
	}
	delete(i.running, id)
	i.lost = append(i.lost, newLostSlot(cfg, now))
}

func newLostSlot(cfg *Config, now time.Time) lostSlot {
	settled := now.Add(cfg.MaxSendTime + cfg.Margin)
	return lostSlot{deliveredBy: settled, freeBy: settled.Add(cfg.MaxRun)}
}

// reconcile takes the number of requests that the instance worked on at some time
// after the question was asked. Whatever lost request had surely arrived by
// then and still ran is among them.
func (i *instance) reconcile(running int, askedAt time.Time) {
	arrived := 0
	for _, l := range i.lost {
		if !l.deliveredBy.After(askedAt) {
			arrived++
		}
	}
	ended := max(arrived-running, 0)
	// Which of them ended is not known; those that end last are kept.
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

// reconcilable reports whether a status of the instance could free lost slots.
func (i *instance) reconcilable(now time.Time) bool {
	return slices.ContainsFunc(i.lost, func(l lostSlot) bool { return !l.deliveredBy.After(now) })
}

// expire frees the lost slots that must be free by now.
func (i *instance) expire(now time.Time) {
	i.lost = slices.DeleteFunc(i.lost, func(l lostSlot) bool { return now.After(l.freeBy) })
}

// recordAnswer takes the time that an answer took.
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

// mean returns a decaying mean with one more sample.
func mean(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + (sample-old)/latencyWeight
}
