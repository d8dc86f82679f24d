package upstream

import "time"

// makeSpace sheds a waiting request if the queue is full, and reports whether
// the new request may be queued. The caller with the most waiting requests
// loses one, so that a caller that floods the queue does not displace others.
func (g *Group) makeSpace(r Request) (out []Decision, ok bool) {
	q := g.queueOf(r)
	if q.perCaller[r.Caller] >= g.cfg.CallerQueue {
		return []Decision{g.refuse(r, ReasonCallerLimit)}, false
	}
	if len(q.items) < g.cfg.Queue {
		return nil, true
	}
	largest, n := q.largestCaller()
	if n <= q.perCaller[r.Caller]+1 {
		return []Decision{g.refuse(r, ReasonQueueFull)}, false
	}
	return []Decision{g.refuse(q.shedLatest(largest), ReasonCallerLimit)}, true
}

// Withdraw removes a waiting request from its queue and reports whether it was
// still waiting.
func (g *Group) Withdraw(id string) bool {
	return g.queues[0].withdraw(id) || g.queues[1].withdraw(id)
}

// dispatch sends waiting requests to free slots, urgent ones first, and refuses
// those whose deadline has passed.
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
				// A request behind this one may use the instance that this
				// one avoids.
				at++
			default:
				return out
			}
		}
	}
	return out
}

// dispatchTo sends waiting requests to the free slots of one instance, and
// refuses those that it comes across after their deadline.
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

// avoiding returns the number of waiting requests that avoid an instance.
func (g *Group) avoiding() int { return g.queues[0].avoiding + g.queues[1].avoiding }

// RefuseAll refuses every waiting request, for instance when ownership ends.
func (g *Group) RefuseAll(reason string) []Decision {
	var out []Decision
	for _, q := range g.queues {
		for len(q.items) > 0 {
			out = append(out, g.refuse(q.remove(0), reason))
		}
	}
	return out
}
