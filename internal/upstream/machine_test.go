package upstream_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cicadabarrow.example/cicadabarrow/internal/platform"
	"cicadabarrow.example/cicadabarrow/internal/upstream"
)

const (
	modelSlots = 2
	maxRun     = 5 * time.Second
	sendBound  = time.Second
)

// sentRequest is one request that was sent to an instance, as the instance sees it.
type sentRequest struct {
	id       string
	owner    int
	sentAt   time.Time
	lostAt   time.Time
	arrived  time.Time
	deadline time.Time
	// waited is set while the sender waits for the outcome.
	waited bool
	// ended is set when the instance has done its work.
	ended bool
}

// statusReport is a status answer on its way.
type statusReport struct {
	instance string
	owner    int
	askedAt  time.Time
	status   platform.UpstreamStatus
}

// model is the truth: what instances really run, whoever sent it.
type model struct {
	t            *rapid.T
	now          time.Time
	group        *upstream.Group
	owner        int
	next         int
	hosts        []platform.Host
	sent         map[string][]*sentRequest
	leaving      map[string]bool
	reports      []statusReport
	waiting      map[string]upstream.Request
	outcomes     map[string]int
	knownLeaving map[string]bool
}

func newModel(t *rapid.T) *model {
	w := &model{
		t: t, now: time.Unix(1000, 0), sent: map[string][]*sentRequest{}, leaving: map[string]bool{},
		waiting: map[string]upstream.Request{}, outcomes: map[string]int{}, knownLeaving: map[string]bool{},
	}
	for n := range 3 {
		w.hosts = append(w.hosts, platform.Host{
			Name: fmt.Sprintf("u%d", n), Slots: modelSlots, Connections: modelSlots + 2,
		})
	}
	w.group = upstream.New(config(), w.hosts, true, w.now)
	return w
}

func config() upstream.Config {
	cfg := upstream.DefaultConfig()
	cfg.Queue, cfg.CallerQueue = 4, 3
	cfg.MaxRun, cfg.MaxSendTime = maxRun, sendBound
	cfg.EjectAfter, cfg.EjectFor = 2, time.Second
	return cfg
}

// apply checks and carries out decisions.
func (w *model) apply(ds []upstream.Decision) {
	for _, d := range ds {
		r, ok := w.waiting[d.Request.ID]
		if !ok {
			w.t.Fatalf("a decision on %s, which does not wait", d.Request.ID)
		}
		delete(w.waiting, r.ID)
		if d.Action == upstream.ActionRefuse {
			if d.RetryAfter <= 0 {
				w.t.Fatalf("%s was refused without a time to come back", r.ID)
			}
			w.outcomes[r.ID]++
			continue
		}
		name := d.Instance.Name
		if !w.now.Before(r.Deadline) || name == r.Avoid || w.knownLeaving[name] {
			w.t.Fatalf("%s was sent to %s at %v; deadline %v, avoid %q, leaving %v",
				r.ID, name, w.now, r.Deadline, r.Avoid, w.knownLeaving[name])
		}
		for _, other := range w.waiting {
			if other.Avoid == "" && other.Urgent && !r.Urgent ||
				other.Avoid == "" && other.Urgent == r.Urgent && other.Deadline.Before(r.Deadline) &&
					!slices.ContainsFunc(ds, func(o upstream.Decision) bool { return o.Request.ID == other.ID }) {
				w.t.Fatalf("%s was sent before %s", r.ID, other.ID)
			}
		}
		w.sent[name] = append(w.sent[name], &sentRequest{
			id: r.ID, owner: w.owner, sentAt: w.now, deadline: r.Deadline, waited: true,
		})
	}
}

// removeEnded lets the instances do what they must have done by now.
func (w *model) removeEnded() {
	for name, copies := range w.sent {
		w.sent[name] = slices.DeleteFunc(copies, func(c *sentRequest) bool {
			lateArrival := c.arrived.IsZero() && !c.waited && w.now.Sub(c.lostAt) >= sendBound
			overdue := !c.arrived.IsZero() && w.now.Sub(c.arrived) >= maxRun
			return !c.waited && (c.ended || lateArrival || overdue)
		})
	}
}

func (w *model) pick(which func(*sentRequest) bool) (string, *sentRequest) {
	type found struct {
		name string
		c    *sentRequest
	}
	var all []found
	for _, h := range w.hosts {
		for _, c := range w.sent[h.Name] {
			if which(c) {
				all = append(all, found{h.Name, c})
			}
		}
	}
	if len(all) == 0 {
		return "", nil
	}
	f := all[rapid.IntRange(0, len(all)-1).Draw(w.t, "which")]
	return f.name, f.c
}

func (w *model) running(name string) int {
	n := 0
	for _, c := range w.sent[name] {
		if !c.arrived.IsZero() && !c.ended {
			n++
		}
	}
	return n
}

// finish reports an outcome to the owner that sent the request.
func (w *model) finish(name string, c *sentRequest, result upstream.Result) {
	c.waited, c.lostAt = false, w.now
	w.outcomes[c.id]++
	if c.owner != w.owner {
		return
	}
	leaving := w.leaving[name] && result == upstream.ResultAnswered
	if leaving {
		w.knownLeaving[name] = true
	}
	w.apply(w.group.Finished(name, c.id, result, leaving, w.now))
}

func (w *model) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"arrive": func(t *rapid.T) {
			w.next++
			r := upstream.Request{
				ID: fmt.Sprint(w.next), Urgent: rapid.Bool().Draw(t, "urgent"),
				Caller:   rapid.SampledFrom([]string{"a", "b"}).Draw(t, "caller"),
				Deadline: w.now.Add(time.Duration(rapid.IntRange(-1, 3000).Draw(t, "ms")) * time.Millisecond),
				Avoid:    rapid.SampledFrom([]string{"", "", "u1"}).Draw(t, "avoid"),
			}
			w.waiting[r.ID] = r
			w.apply(w.group.Arrive(r, w.now))
		},
		"reach the instance": func(*rapid.T) {
			if name, c := w.pick(func(c *sentRequest) bool { return c.arrived.IsZero() }); c != nil {
				c.arrived = w.now
				if n := w.running(name); n > modelSlots {
					w.t.Fatalf("%s runs %d", name, n)
				}
				if n := len(w.sent[name]); n > modelSlots+2 {
					w.t.Fatalf("%s has %d connections", name, n)
				}
			}
		},
		"end on the instance": func(*rapid.T) {
			if _, c := w.pick(func(c *sentRequest) bool { return !c.arrived.IsZero() && !c.ended }); c != nil {
				c.ended = true
			}
		},
		"answer": func(t *rapid.T) {
			if name, c := w.pick(func(c *sentRequest) bool { return c.ended && c.waited }); c != nil {
				w.finish(name, c, rapid.SampledFrom([]upstream.Result{
					upstream.ResultAnswered, upstream.ResultFailed, upstream.ResultUnknown,
				}).Draw(t, "result"))
			}
		},
		"not run": func(*rapid.T) {
			if name, c := w.pick(func(c *sentRequest) bool { return c.arrived.IsZero() && c.waited }); c != nil {
				c.ended, c.arrived = true, w.now
				w.finish(name, c, upstream.ResultNotRun)
			}
		},
		"give up": func(*rapid.T) {
			if name, c := w.pick(func(c *sentRequest) bool { return c.waited && !w.now.Before(c.deadline) }); c != nil {
				w.finish(name, c, upstream.ResultUnknown)
			}
		},
		"ask status": func(t *rapid.T) {
			asked := w.now
			w.advance(t, 50)
			for _, h := range w.group.NeedStatus(asked) {
				w.reports = append(w.reports, statusReport{h.Name, w.owner, asked, platform.UpstreamStatus{
					Running: w.running(h.Name), Leaving: w.leaving[h.Name],
				}})
			}
		},
		"status comes": func(t *rapid.T) {
			if len(w.reports) == 0 {
				return
			}
			n := rapid.IntRange(0, len(w.reports)-1).Draw(t, "question")
			q := w.reports[n]
			w.reports = slices.Delete(w.reports, n, n+1)
			if q.owner == w.owner {
				w.knownLeaving[q.instance] = w.knownLeaving[q.instance] || q.status.Leaving
				w.apply(w.group.StatusReported(q.instance, q.status, q.askedAt, w.now))
			}
		},
		"leave": func(t *rapid.T) {
			if rapid.IntRange(0, 9).Draw(t, "chance") > 0 {
				return
			}
			w.leaving[rapid.SampledFrom(w.hosts).Draw(t, "host").Name] = true
		},
		"host list": func(t *rapid.T) {
			n := rapid.IntRange(0, len(w.hosts)-1).Draw(t, "host")
			w.hosts[n].Leaving = rapid.IntRange(0, 3).Draw(t, "leaving") == 0
			w.apply(w.group.SetInstances(w.hosts, w.now))
			if w.hosts[n].Leaving {
				w.group.SetInstances(w.hosts, w.now)
			}
		},
		"pass": func(t *rapid.T) { w.advance(t, rapid.SampledFrom([]int{30, 1000, 3000}).Draw(t, "up to")) },
		"take over": func(t *rapid.T) {
			if rapid.IntRange(0, 19).Draw(t, "chance") > 0 {
				return
			}
			w.takeOver()
		},
	}
}

func (w *model) advance(t *rapid.T, upTo int) {
	w.now = w.now.Add(time.Duration(rapid.IntRange(0, upTo).Draw(t, "ms")) * time.Millisecond)
	w.removeEnded()
	w.apply(w.group.Tick(w.now))
}

// takeOver ends an owner whose requests go on, and begins the next.
func (w *model) takeOver() {
	w.apply(w.group.RefuseAll("taken over"))
	for _, copies := range w.sent {
		for _, c := range copies {
			if c.waited {
				c.waited, c.lostAt = false, w.now
				w.outcomes[c.id]++
			}
		}
	}
	w.owner++
	w.knownLeaving = map[string]bool{}
	w.group = upstream.New(config(), w.hosts, w.group.Idle(), w.now)
}

// check holds after every action.
func (w *model) check(*rapid.T) {
	w.removeEnded()
	for id, n := range w.outcomes {
		if n != 1 {
			w.t.Fatalf("%s has %d outcomes", id, n)
		}
	}
	if got := w.group.Waiting(); got != len(w.waiting) {
		w.t.Fatalf("%d wait; %d were never decided", got, len(w.waiting))
	}
	if w.group.Waiting() > 2*config().Queue {
		w.t.Fatalf("%d wait", w.group.Waiting())
	}
}

// repeatCommonActions repeats the actions that fill the instances, so that a run reaches the
// limits.
func repeatCommonActions(actions map[string]func(*rapid.T)) {
	for _, name := range []string{"arrive", "reach the instance"} {
		for n := range 3 {
			actions[fmt.Sprint(name, n)] = actions[name]
		}
	}
}

func TestGroupKeepsLimitsAndOutcomes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newModel(t)
		actions := w.actions()
		repeatCommonActions(actions)
		actions[""] = w.check
		t.Repeat(actions)
		// In the end, every request gets its one outcome.
		w.now = w.now.Add(time.Minute)
		w.apply(w.group.Tick(w.now))
		for _, copies := range w.sent {
			for _, c := range copies {
				if c.waited {
					w.outcomes[c.id]++
					c.waited = false
				}
			}
		}
		for n := range w.next {
			if got := w.outcomes[fmt.Sprint(n+1)]; got != 1 {
				t.Fatalf("request %d has %d outcomes", n+1, got)
			}
		}
	})
}
