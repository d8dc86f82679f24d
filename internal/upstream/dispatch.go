package upstream

import "time"

// makeSpace sheds a request for a new one when the queue is full. The caller
// with the most waiting requests loses one, so that a caller who floods the
// queue does not push out the others.
func (g *Group) makeSpace(r Request) (out []Decision, ok bool) {
	q := g.queueOf(r)
	if q.perCaller[r.Caller] >= g.cfg.CallerQueue {
		return []Decision{g.refuse(r, ReasonCallerLimit)}, false
	}
	if len(q.items) < g.cfg.Queue {
		return nil, true
	}
	heaviest, n := q.largestCaller()
	if n <= q.perCaller[r.Caller]+1 {
		return []Decision{g.refuse(r, ReasonQueueFull)}, false
	}
	return []Decision{g.refuse(q.shedLatest(heaviest), ReasonCallerLimit)}, true
}

// Withdraw takes a waiting request out of the queue and reports whether it was
// still there.
func (g *Group) Withdraw(id string) bool {
	return g.queues[0].withdraw(id) || g.queues[1].withdraw(id)
}

// dispatch gives free slots to waiting requests, urgent ones first.
func (g *Group) dispatch(now time.Time) []Decision {
	var out []Decision
	for _, q := range g.queues {
		for at := 0; at < len(q.items); {
			r := q.items[at].request
			if !now.Before(r.Deadline) {
				out = append(out, g.refuse(q.remove(at), ReasonDeadline))
				continue
			}
			i := g.choose(r, now)
			switch {
			case i != nil:
				out = append(out, g.send(i, q.remove(at), now))
			case r.Avoid != "":
				// A request behind this one may use the instance to avoid.
				at++
			default:
				return out
			}
		}
	}
	return out
}

// dispatchTo gives the free slots of one instance to waiting requests.
func (g *Group) dispatchTo(i *instance, now time.Time) []Decision {
	var out []Decision
	for _, q := range g.queues {
		for at := 0; at < len(q.items) && i.hasFreeSlot(now); {
			r := q.items[at].request
			switch {
			case !now.Before(r.Deadline):
				out = append(out, g.refuse(q.remove(at), ReasonDeadline))
			case r.Avoid == i.host.Name:
				at++
			default:
				out = append(out, g.send(i, q.remove(at), now))
			}
		}
	}
	return out
}

// avoiding returns how many waiting requests avoid an instance.
func (g *Group) avoiding() int { return g.queues[0].avoiding + g.queues[1].avoiding }

// RefuseAll refuses every waiting request, as when the ownership ends.
func (g *Group) RefuseAll(reason string) []Decision {
	var out []Decision
	for _, q := range g.queues {
		for len(q.items) > 0 {
			out = append(out, g.refuse(q.remove(0), reason))
		}
	}
	return out
}
