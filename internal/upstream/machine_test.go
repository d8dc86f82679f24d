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
	modelSlots  = 2
	maxRun      = 5 * time.Second
	maxSendTime = time.Second
)

// sentRequest is a request that was sent to an instance, as the instance sees it.
type sentRequest struct {
	id       string
	owner    int
	sentAt   time.Time
	lostAt   time.Time
	arrived  time.Time
	deadline time.Time
	// waited tells whether the sender still waits for the outcome.
	waited bool
	// ended tells whether the instance has finished its work.
	ended bool
}

// statusReport is a status that an instance has sent and that the owner has not
// received yet.
type statusReport struct {
	instance string
	owner    int
	askedAt  time.Time
	status   platform.UpstreamStatus
}

// model holds what the instances actually run, whichever owner sent it.
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
	m := &model{
		t: t, now: time.Unix(1000, 0), sent: map[string][]*sentRequest{}, leaving: map[string]bool{},
		waiting: map[string]upstream.Request{}, outcomes: map[string]int{}, knownLeaving: map[string]bool{},
	}
	for n := range 3 {
		m.hosts = append(m.hosts, platform.Host{
			Name: fmt.Sprintf("u%d", n), Slots: modelSlots, Connections: modelSlots + 2,
		})
	}
	m.group = upstream.New(config(), m.hosts, true, m.now)
	return m
}

func config() upstream.Config {
	cfg := upstream.DefaultConfig()
	cfg.Queue, cfg.CallerQueue = 4, 3
	cfg.MaxRun, cfg.MaxSendTime = maxRun, maxSendTime
	cfg.EjectAfter, cfg.EjectFor = 2, time.Second
	return cfg
}

// apply checks decisions and carries them out.
func (m *model) apply(ds []upstream.Decision) {
	for _, d := range ds {
		r, ok := m.waiting[d.Request.ID]
		if !ok {
			m.t.Fatalf("there is a decision on %s, which is not waiting", d.Request.ID)
		}
		delete(m.waiting, r.ID)
		if d.Action == upstream.ActionRefuse {
			if d.RetryAfter <= 0 {
				m.t.Fatalf("%s was refused without a RetryAfter", r.ID)
			}
			m.outcomes[r.ID]++
			continue
		}
		name := d.Instance.Name
		if !m.now.Before(r.Deadline) || name == r.Avoid || m.knownLeaving[name] {
			m.t.Fatalf("%s was sent to %s at %v; deadline %v, avoid %q, leaving %v",
				r.ID, name, m.now, r.Deadline, r.Avoid, m.knownLeaving[name])
		}
		for _, other := range m.waiting {
			if other.Avoid == "" && other.Urgent && !r.Urgent ||
				other.Avoid == "" && other.Urgent == r.Urgent && other.Deadline.Before(r.Deadline) &&
					!slices.ContainsFunc(ds, func(o upstream.Decision) bool { return o.Request.ID == other.ID }) {
				m.t.Fatalf("%s was sent before %s", r.ID, other.ID)
			}
		}
		m.sent[name] = append(m.sent[name], &sentRequest{
			id: r.ID, owner: m.owner, sentAt: m.now, deadline: r.Deadline, waited: true,
		})
	}
}

// removeEnded removes the requests that no sender waits for and that have ended,
// have run for maxRun, or can no longer reach their instance.
func (m *model) removeEnded() {
	for name, requests := range m.sent {
		m.sent[name] = slices.DeleteFunc(requests, func(c *sentRequest) bool {
			lateArrival := c.arrived.IsZero() && !c.waited && m.now.Sub(c.lostAt) >= maxSendTime
			overdue := !c.arrived.IsZero() && m.now.Sub(c.arrived) >= maxRun
			return !c.waited && (c.ended || lateArrival || overdue)
		})
	}
}

func (m *model) pick(which func(*sentRequest) bool) (string, *sentRequest) {
	type found struct {
		name string
		c    *sentRequest
	}
	var all []found
	for _, h := range m.hosts {
		for _, c := range m.sent[h.Name] {
			if which(c) {
				all = append(all, found{h.Name, c})
			}
		}
	}
	if len(all) == 0 {
		return "", nil
	}
	f := all[rapid.IntRange(0, len(all)-1).Draw(m.t, "which")]
	return f.name, f.c
}

func (m *model) running(name string) int {
	n := 0
	for _, c := range m.sent[name] {
		if !c.arrived.IsZero() && !c.ended {
			n++
		}
	}
	return n
}

// finish records an outcome and reports it to the owner that sent the request,
// if that is still the owner.
func (m *model) finish(name string, c *sentRequest, result upstream.Result) {
	c.waited, c.lostAt = false, m.now
	m.outcomes[c.id]++
	if c.owner != m.owner {
		return
	}
	leaving := m.leaving[name] && result == upstream.ResultAnswered
	if leaving {
		m.knownLeaving[name] = true
	}
	m.apply(m.group.Finished(name, c.id, result, leaving, m.now))
}

func (m *model) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"arrive": func(t *rapid.T) {
			m.next++
			r := upstream.Request{
				ID: fmt.Sprint(m.next), Urgent: rapid.Bool().Draw(t, "urgent"),
				Caller:   rapid.SampledFrom([]string{"a", "b"}).Draw(t, "caller"),
				Deadline: m.now.Add(time.Duration(rapid.IntRange(-1, 3000).Draw(t, "ms")) * time.Millisecond),
				Avoid:    rapid.SampledFrom([]string{"", "", "u1"}).Draw(t, "avoid"),
			}
			m.waiting[r.ID] = r
			m.apply(m.group.Arrive(r, m.now))
		},
		"reach the instance": func(*rapid.T) {
			if name, c := m.pick(func(c *sentRequest) bool { return c.arrived.IsZero() }); c != nil {
				c.arrived = m.now
				if n := m.running(name); n > modelSlots {
					m.t.Fatalf("%s runs %d requests", name, n)
				}
				if n := len(m.sent[name]); n > modelSlots+2 {
					m.t.Fatalf("%s has %d connections", name, n)
				}
			}
		},
		"end on the instance": func(*rapid.T) {
			if _, c := m.pick(func(c *sentRequest) bool { return !c.arrived.IsZero() && !c.ended }); c != nil {
				c.ended = true
			}
		},
		"answer": func(t *rapid.T) {
			if name, c := m.pick(func(c *sentRequest) bool { return c.ended && c.waited }); c != nil {
				m.finish(name, c, rapid.SampledFrom([]upstream.Result{
					upstream.ResultAnswered, upstream.ResultFailed, upstream.ResultUnknown,
				}).Draw(t, "result"))
			}
		},
		"not run": func(*rapid.T) {
			if name, c := m.pick(func(c *sentRequest) bool { return c.arrived.IsZero() && c.waited }); c != nil {
				c.ended, c.arrived = true, m.now
				m.finish(name, c, upstream.ResultNotRun)
			}
		},
		"give up": func(*rapid.T) {
			if name, c := m.pick(func(c *sentRequest) bool { return c.waited && !m.now.Before(c.deadline) }); c != nil {
				m.finish(name, c, upstream.ResultUnknown)
			}
		},
		"ask status": func(t *rapid.T) {
			asked := m.now
			m.advance(t, 50)
			for _, h := range m.group.NeedStatus(asked) {
				m.reports = append(m.reports, statusReport{h.Name, m.owner, asked, platform.UpstreamStatus{
					Running: m.running(h.Name), Leaving: m.leaving[h.Name],
				}})
			}
		},
		"status comes": func(t *rapid.T) {
			if len(m.reports) == 0 {
				return
			}
			n := rapid.IntRange(0, len(m.reports)-1).Draw(t, "question")
			q := m.reports[n]
			m.reports = slices.Delete(m.reports, n, n+1)
			if q.owner == m.owner {
				m.knownLeaving[q.instance] = m.knownLeaving[q.instance] || q.status.Leaving
				m.apply(m.group.StatusReported(q.instance, q.status, q.askedAt, m.now))
			}
		},
		"leave": func(t *rapid.T) {
			if rapid.IntRange(0, 9).Draw(t, "chance") > 0 {
				return
			}
			m.leaving[rapid.SampledFrom(m.hosts).Draw(t, "host").Name] = true
		},
		"host list": func(t *rapid.T) {
			n := rapid.IntRange(0, len(m.hosts)-1).Draw(t, "host")
			m.hosts[n].Leaving = rapid.IntRange(0, 3).Draw(t, "leaving") == 0
			m.apply(m.group.SetInstances(m.hosts, m.now))
			if m.hosts[n].Leaving {
				m.group.SetInstances(m.hosts, m.now)
			}
		},
		"pass": func(t *rapid.T) { m.advance(t, rapid.SampledFrom([]int{30, 1000, 3000}).Draw(t, "up to")) },
		"take over": func(t *rapid.T) {
			if rapid.IntRange(0, 19).Draw(t, "chance") > 0 {
				return
			}
			m.takeOver()
		},
	}
}

func (m *model) advance(t *rapid.T, upTo int) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, upTo).Draw(t, "ms")) * time.Millisecond)
	m.removeEnded()
	m.apply(m.group.Tick(m.now))
}

// takeOver replaces the owner by a successor, while the requests that it sent
// continue to run.
func (m *model) takeOver() {
	m.apply(m.group.RefuseAll("taken over"))
	for _, requests := range m.sent {
		for _, c := range requests {
			if c.waited {
				c.waited, c.lostAt = false, m.now
				m.outcomes[c.id]++
			}
		}
	}
	m.owner++
	m.knownLeaving = map[string]bool{}
	m.group = upstream.New(config(), m.hosts, m.group.Idle(), m.now)
}

// check tests the invariants after every action: each request has one outcome
// and the queue holds just the requests without a decision, within its bound.
func (m *model) check(*rapid.T) {
	m.removeEnded()
	for id, n := range m.outcomes {
		if n != 1 {
			m.t.Fatalf("%s has %d outcomes", id, n)
		}
	}
	if got := m.group.Waiting(); got != len(m.waiting) {
		m.t.Fatalf("%d requests wait; %d have no decision", got, len(m.waiting))
	}
	if m.group.Waiting() > 2*config().Queue {
		m.t.Fatalf("%d requests wait", m.group.Waiting())
	}
}

// repeatCommonActions adds the actions that fill the instances several times, so
// that a run reaches the limits.
func repeatCommonActions(actions map[string]func(*rapid.T)) {
	for _, name := range []string{"arrive", "reach the instance"} {
		for n := range 3 {
			actions[fmt.Sprint(name, n)] = actions[name]
		}
	}
}

func TestGroupKeepsLimitsAndOutcomes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		actions := m.actions()
		repeatCommonActions(actions)
		actions[""] = m.check
		t.Repeat(actions)
		// A minute later every request must have exactly one outcome.
		m.now = m.now.Add(time.Minute)
		m.apply(m.group.Tick(m.now))
		for _, requests := range m.sent {
			for _, c := range requests {
				if c.waited {
					m.outcomes[c.id]++
					c.waited = false
				}
			}
		}
		for n := range m.next {
			if got := m.outcomes[fmt.Sprint(n+1)]; got != 1 {
				t.Fatalf("request %d has %d outcomes", n+1, got)
			}
		}
	})
}
