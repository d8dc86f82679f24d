package upstream

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/platform"
)

// Group is the state that the owner of a group of instances keeps. It is not
// safe for concurrent use; the event loop of its owner calls it.
type Group struct {
	cfg       Config
	instances map[string]*instance
	order     []*instance
	// queues holds the queue of the urgent requests and that of the others.
	queues [2]*queue
	// serviceTime is the decaying mean of the response times of all instances.
	serviceTime time.Duration
	rotation    int
}

// New returns the group of an owner that took over at the given time. If clean is
// false, requests of a predecessor may still be running, so that every slot
// begins as a lost slot.
func New(cfg Config, hosts []platform.Host, clean bool, now time.Time) *Group {
	g := &Group{cfg: cfg, instances: make(map[string]*instance), queues: [2]*queue{newQueue(), newQueue()}}
	g.SetInstances(hosts, now)
	for _, i := range g.order {
		i.ramp = 0
		if clean {
			continue
		}
		for range i.limit() {
			i.lost = append(i.lost, newLostSlot(&cfg, now))
		}
	}
	return g
}

// SetInstances replaces the list of instances. An instance that is no longer
// listed gets no new requests, and is removed once nothing can run on it. An
// instance that is new in the list begins with one slot.
func (g *Group) SetInstances(hosts []platform.Host, now time.Time) []Decision {
	listed := make(map[string]bool, len(hosts))
	changed := false
	for _, h := range hosts {
		listed[h.Name] = true
		i, ok := g.instances[h.Name]
		if !ok {
			i = newInstance()
			i.ramp = 1
			g.instances[h.Name] = i
			changed = true
		}
		i.host, i.unlisted = h, false
	}
	for name, i := range g.instances {
		i.unlisted = !listed[name]
		if i.unlisted && i.used() == 0 {
			delete(g.instances, name)
			changed = true
		}
	}
	if changed {
		g.order = slices.SortedFunc(maps.Values(g.instances), func(a, b *instance) int {
			return cmp.Compare(a.host.Name, b.host.Name)
		})
	}
	return g.dispatch(now)
}

// NeedStatus returns the instances whose status is needed: those with lost
// requests that a status may reconcile, and those that reported that they are
// leaving.
func (g *Group) NeedStatus(now time.Time) []platform.Host {
	var out []platform.Host
	for _, i := range g.order {
		if !i.unlisted && (i.leaving || i.reconcilable(now)) {
			out = append(out, i.host)
		}
	}
	return out
}

// Idle reports whether no instance can be running a request.
func (g *Group) Idle() bool {
	return !slices.ContainsFunc(g.order, func(i *instance) bool { return i.used() > 0 })
}

// StatusReported applies the status of an instance. askedAt is the time at which
// the status was requested.
func (g *Group) StatusReported(name string, s platform.UpstreamStatus, askedAt, now time.Time) []Decision {
	i, ok := g.instances[name]
	if !ok {
		return nil
	}
	switch {
	case s.Leaving:
		i.leaving, i.leavingAt = true, now
	case askedAt.After(i.leavingAt):
		i.leaving = false
	}
	i.reconcile(s.Running, askedAt)
	return g.dispatch(now)
}

// Arrive takes a new request. If none of the decisions is about this request, it
// has been queued.
func (g *Group) Arrive(r Request, now time.Time) []Decision {
	if !now.Before(r.Deadline) {
		return []Decision{g.refuse(r, ReasonDeadline)}
	}
	if !slices.ContainsFunc(g.order, func(i *instance) bool { return i.usable() && i.host.Name != r.Avoid }) {
		return []Decision{g.refuse(r, ReasonNoInstance)}
	}
	if g.Waiting() == 0 {
		if i := g.choose(r, now); i != nil {
			return []Decision{g.send(i, r, now)}
		}
	}
	if !g.admissible(r, now) {
		return []Decision{g.refuse(r, ReasonDeadline)}
	}
	out, ok := g.makeSpace(r)
	if !ok {
		return out
	}
	allWaitingAvoid := g.avoiding() == g.Waiting()
	g.queueOf(r).push(r)
	if allWaitingAvoid {
		// There may be free slots that the requests queued before cannot use,
		// since each of them avoids an instance. This request may use them.
		out = append(out, g.dispatch(now)...)
	}
	return out
}

func (g *Group) queueOf(r Request) *queue {
	if r.Urgent {
		return g.queues[0]
	}
	return g.queues[1]
}

// admissible estimates whether a request that has to wait can be answered before
// its deadline, from the requests ahead of it and the recent service time.
func (g *Group) admissible(r Request, now time.Time) bool {
	ahead := g.queues[0].countUpTo(r.Deadline)
	if !r.Urgent {
		ahead = len(g.queues[0].items) + g.queues[1].countUpTo(r.Deadline)
	}
	return g.canMeetDeadline(r, ahead, g.slotsWithoutLost(now), now)
}

func (g *Group) canMeetDeadline(r Request, ahead, slots int, now time.Time) bool {
	instanceAvailable := slices.ContainsFunc(g.order, func(i *instance) bool {
		return i.usable() && i.host.Name != r.Avoid && i.availableAt(now).Before(r.Deadline)
	})
	if slots == 0 || !instanceAvailable {
		return instanceAvailable
	}
	wait := g.serviceTime * time.Duration(ahead) / time.Duration(slots)
	return now.Add(wait + g.serviceTime).Before(r.Deadline)
}

// slotsWithoutLost returns the number of slots that requests may use, including
// those in use. Lost slots don't count.
func (g *Group) slotsWithoutLost(now time.Time) int {
	n := 0
	for _, i := range g.order {
		n += max(i.usableSlots(now)-len(i.lost), 0)
	}
	return n
}

func (g *Group) refuse(r Request, reason string) Decision {
	return Decision{Request: r, Action: ActionRefuse, Reason: reason, RetryAfter: g.retryAfter()}
}

// retryAfter estimates the time until the queues are empty, within the
// configured bounds. It divides by the slots of all instances, also of those
// that are ejected, paused or leaving.
func (g *Group) retryAfter() time.Duration {
	total := 0
	for _, i := range g.order {
		total += i.limit()
	}
	wait := g.serviceTime * time.Duration(g.Waiting()) / time.Duration(max(total, 1))
	return min(max(wait, g.cfg.RetryAfter), g.cfg.MaxRetryAfter)
}

func (g *Group) send(i *instance, r Request, now time.Time) Decision {
	i.running[r.ID] = now
	return Decision{Request: r, Action: ActionSend, Instance: i.host}
}

// maxCandidates limits the number of instances with a free slot that are
// compared for one request. Comparing more hardly finds a better one.
const maxCandidates = 16

// choose returns the instance with the least cost among up to maxCandidates with
// a free slot, or nil if none has one. The first candidate rotates.
func (g *Group) choose(r Request, now time.Time) *instance {
	var best *instance
	var least time.Duration
	seen := 0
	g.rotation++
	for n := range g.order {
		i := g.order[(g.rotation+n)%len(g.order)]
		if !i.hasFreeSlot(now) || i.host.Name == r.Avoid {
			continue
		}
		if cost := i.cost(g.serviceTime, now); best == nil || cost < least {
			best, least = i, cost
		}
		if seen++; seen == maxCandidates {
			break
		}
	}
	return best
}

// Finished takes the result of a request that was sent to an instance, and
// whether the response said that the instance is leaving. It returns the
// decisions on requests that waited for the slot.
func (g *Group) Finished(name, id string, result Result, leaving bool, now time.Time) []Decision {
	i, ok := g.instances[name]
	if !ok {
		return nil
	}
	if leaving {
		i.leaving, i.leavingAt = true, now
	}
	sent, known := i.running[id]
	if result == ResultUnknown {
		i.markLost(id, &g.cfg, now)
	} else {
		delete(i.running, id)
	}
	switch {
	case !known, result == ResultNotSent:
	case result == ResultAnswered:
		g.serviceTime = mean(g.serviceTime, now.Sub(sent))
		i.recordAnswer(now.Sub(sent))
	default:
		g.recordFailure(i, now)
	}
	return g.dispatchTo(i, now)
}

// recordFailure counts a failure and ejects the instance after EjectAfter
// consecutive ones, if enough other instances stay in service.
func (g *Group) recordFailure(i *instance, now time.Time) {
	i.failures++
	if i.failures < g.cfg.EjectAfter || now.Before(i.ejectedUntil) {
		return
	}
	usable, left := 0, 0
	for _, o := range g.order {
		if !o.usable() {
			continue
		}
		usable++
		if o != i && !now.Before(o.ejectedUntil) {
			left++
		}
	}
	if left == 0 || float64(left) < g.cfg.EjectFloor*float64(usable) {
		return
	}
	i.failures, i.ramp = 0, 1
	i.ejectedUntil = now.Add(min(g.cfg.EjectFor<<min(i.ejections, 10), g.cfg.MaxEjectFor))
	i.ejections++
}

// Tick frees the lost slots whose requests must have ended, sends waiting
// requests to free slots, and refuses those that can no longer meet their
// deadline.
func (g *Group) Tick(now time.Time) []Decision {
	paused := false
	for _, i := range g.order {
		i.expire(now)
		paused = paused || now.Before(i.pausedUntil)
	}
	if !paused {
		g.pauseForStatus(now)
	}
	out := g.dispatch(now)
	return append(out, g.refuseExpiring(now)...)
}

// pauseForStatus stops new requests to one instance that has lost requests and
// also runs requests that are not lost. The status of an instance gives only the
// total of both, so the number of lost ones that still run is known only once
// the other requests have ended.
func (g *Group) pauseForStatus(now time.Time) {
	for _, i := range g.order {
		if len(i.running) > 0 && i.reconcilable(now) && !now.Before(i.nextPause) {
			i.pausedUntil = now.Add(g.cfg.ReconcilePause)
			i.nextPause = now.Add(g.cfg.ReconcilePause + g.cfg.ReconcileInterval)
			return
		}
	}
}

func (g *Group) refuseExpiring(now time.Time) []Decision {
	var out []Decision
	slots, ahead := g.slotsWithoutLost(now), 0
	for _, q := range g.queues {
		for at := 0; at < len(q.items); {
			r := q.items[at].request
			if g.canMeetDeadline(r, ahead, slots, now) {
				at++
				ahead++
				continue
			}
			out = append(out, g.refuse(q.remove(at), ReasonDeadline))
		}
	}
	return out
}

// Waiting returns the number of requests that are waiting for a slot.
func (g *Group) Waiting() int { return len(g.queues[0].items) + len(g.queues[1].items) }

// Load holds the slots of a group and its running and waiting requests.
type Load struct {
	// Slots is the number of slots that may be used now, including those in
	// use.
	Slots   int
	Running int
	Waiting int
}

// Load returns the current load of the group.
func (g *Group) Load(now time.Time) Load {
	l := Load{Waiting: g.Waiting(), Slots: g.slotsWithoutLost(now)}
	for _, i := range g.order {
		l.Running += len(i.running)
	}
	return l
}
