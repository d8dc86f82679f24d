package upstream

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/platform"
)

// Group is the state of the owner of a group of instances. It is not safe for
// concurrent use; one duty drives it.
type Group struct {
	cfg       Config
	instances map[string]*instance
	order     []*instance
	// queues holds the urgent requests, then the others.
	queues [2]*queue
	// serviceTime is the mean time of the recent answers of all instances.
	serviceTime time.Duration
	rotation    int
}

// New returns the group of an owner that took over at the given time. clean
// says that no request of an earlier owner can still run.
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

// SetInstances adopts the list of instances. One that is no longer listed gets
// nothing new, and is forgotten once nothing can run on it. One that is new in
// the list begins with one slot.
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

// NeedStatus returns the instances whose status would tell something: those
// with lost requests, and those that said that they leave.
func (g *Group) NeedStatus(now time.Time) []platform.Host {
	var out []platform.Host
	for _, i := range g.order {
		if !i.unlisted && (i.leaving || i.reconcilable(now)) {
			out = append(out, i.host)
		}
	}
	return out
}

// Idle reports whether no request can run on any instance.
func (g *Group) Idle() bool {
	return !slices.ContainsFunc(g.order, func(i *instance) bool { return i.used() > 0 })
}

// StatusReported takes what an instance said of itself in answer to a question that
// was asked at the given time.
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

// Arrive takes a new request. Without a decision on it, it waits.
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
	out, shed := g.makeSpace(r)
	if !shed {
		return out
	}
	stuck := g.avoiding() == g.Waiting()
	g.queueOf(r).push(r)
	if stuck {
		// What waited could not use the free slots; this request may.
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

// admissible estimates whether a request that waits can be answered before its
// deadline, from the requests ahead of it and the recent service time.
func (g *Group) admissible(r Request, now time.Time) bool {
	ahead := g.queues[0].countUpTo(r.Deadline)
	if !r.Urgent {
		ahead = len(g.queues[0].items) + g.queues[1].countUpTo(r.Deadline)
	}
	return g.canMeetDeadline(r, ahead, g.slots(now), now)
}

func (g *Group) canMeetDeadline(r Request, ahead, slots int, now time.Time) bool {
	opens := slices.ContainsFunc(g.order, func(i *instance) bool {
		return i.usable() && i.host.Name != r.Avoid && i.availableAt(now).Before(r.Deadline)
	})
	if slots == 0 || !opens {
		return opens
	}
	wait := g.serviceTime * time.Duration(ahead) / time.Duration(slots)
	return now.Add(wait + g.serviceTime).Before(r.Deadline)
}

// slots returns the number of slots that requests may use, taken ones included.
func (g *Group) slots(now time.Time) int {
	n := 0
	for _, i := range g.order {
		n += max(i.usableSlots(now)-len(i.lost), 0)
	}
	return n
}

func (g *Group) refuse(r Request, reason string) Decision {
	return Decision{Request: r, Action: ActionRefuse, Reason: reason, RetryAfter: g.retryAfter()}
}

// retryAfter returns the time that the queue needs to empty, within bounds.
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

// maxCandidates bounds how many instances with a free slot are compared for one
// request. More of them hardly find a better one.
const maxCandidates = 16

// choose returns the instance with the least cost among some with a free slot,
// or nil if none has one.
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

// Finished tells how a request has come back from an instance, and whether the
// answer said that the instance is leaving. It returns the decisions on
// requests that waited for the slot.
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

// recordFailure ejects an instance that only fails, as long as enough others are left.
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

// Tick frees the slots of requests that must have ended by now, and refuses
// those that can no longer make their deadline.
func (g *Group) Tick(now time.Time) []Decision {
	settling := false
	for _, i := range g.order {
		i.expire(now)
		settling = settling || now.Before(i.pausedUntil)
	}
	if !settling {
		g.pauseForStatus(now)
	}
	out := g.dispatch(now)
	return append(out, g.refuseExpiring(now)...)
}

// pauseForStatus stops new requests to one instance that has lost some and is busy
// with others. Its status counts both, so it has to finish the others first.
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
	slots, ahead := g.slots(now), 0
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

// Waiting returns the number of requests that wait for a slot.
func (g *Group) Waiting() int { return len(g.queues[0].items) + len(g.queues[1].items) }

// Load is how busy a group is.
type Load struct {
	// Slots is the number of slots that may be used now, taken ones included.
	Slots   int
	Running int
	Waiting int
}

// Load returns how busy the group is.
func (g *Group) Load(now time.Time) Load {
	l := Load{Waiting: g.Waiting(), Slots: g.slots(now)}
	for _, i := range g.order {
		l.Running += len(i.running)
	}
	return l
}
