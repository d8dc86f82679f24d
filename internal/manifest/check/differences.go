package check

import (
	"fmt"

	"cicadabarrow.example/cicadabarrow/internal/manifest"
)

// compare reports the differences from the version in force.
func (c *checker) compare(inForce *manifest.Manifest) {
	if c.next.Version <= inForce.Version {
		c.add(SeverityError, KindVersion, whole(), "version %d is not larger than the version in force, %d: hosts ignore it", c.next.Version, inForce.Version)
	}
	c.compareQueues(inForce)
	c.compareServices(inForce)
	c.compareAccounts(inForce)
	c.compareLimits(inForce)
}

// index returns the first entry of each name.
func index[T any](entries []T, name func(*T) string) map[string]*T {
	out := make(map[string]*T, len(entries))
	for i := range entries {
		if _, known := out[name(&entries[i])]; !known {
			out[name(&entries[i])] = &entries[i]
		}
	}
	return out
}

func queueName(q *manifest.Queue) string { return q.Name }

func serviceName(s *manifest.Service) string { return s.Name }

func accountName(a *manifest.Account) string { return a.Name }

// pairs calls the functions for the entries that were added, changed perhaps, or removed,
// the removed ones last. Of entries with the same name the first one counts.
func pairs[T any](next, inForce []T, name func(*T) string, added func(*T), both func(old, current *T), removed func(*T)) {
	older, newer := index(inForce, name), index(next, name)
	for i := range next {
		current := &next[i]
		if newer[name(current)] != current {
			continue
		}
		if old, known := older[name(current)]; known {
			both(old, current)
			continue
		}
		added(current)
	}
	for i := range inForce {
		old := &inForce[i]
		if _, kept := newer[name(old)]; !kept && older[name(old)] == old {
			removed(old)
		}
	}
}

func (c *checker) compareQueues(inForce *manifest.Manifest) {
	pairs(c.next.Queues, inForce.Queues, queueName,
		func(q *manifest.Queue) {
			c.add(SeverityNote, KindQueueAdded, queueSubject(q), "added at host %.200q, prefix %.200q", q.Host, q.Prefix)
		},
		c.compareQueue,
		func(q *manifest.Queue) {
			c.add(SeverityWarning, KindQueueRemoved, queueSubject(q), "removed: its accepted jobs go on with the settings of their acceptance; %s, so nobody can look them up or cancel them",
				c.requestsAt(q))
		})
}

// requestsAt says what becomes of requests at the earlier address of a queue.
func (c *checker) requestsAt(q *manifest.Queue) string {
	if other, _ := c.next.Route(q.Host, q.Prefix); other != nil {
		return fmt.Sprintf("requests at host %.200q, prefix %.200q go to queue %.200q", q.Host, q.Prefix, other.Name)
	}
	return fmt.Sprintf("requests at host %.200q, prefix %.200q get 404", q.Host, q.Prefix)
}

// forAcceptedJobs is the effect of most settings of a queue: the cell takes them from the
// manifest in force.
const forAcceptedJobs = "applies to accepted jobs too"

// compareQueue reports the changed settings of a queue.
func (c *checker) compareQueue(old, q *manifest.Queue) {
	changed := func(what string, from, to any, effect string) {
		if from != to {
			c.add(SeverityNote, KindQueueChanged, queueSubject(q), "%s: %v becomes %v; %s", what, from, to, effect)
		}
	}
	if addressOf(old) != addressOf(q) {
		c.add(SeverityWarning, KindQueueChanged, queueSubject(q), "address: host %.200q, prefix %.200q becomes host %.200q, prefix %.200q; %s",
			old.Host, old.Prefix, q.Host, q.Prefix, c.requestsAt(old))
	}
	changed("service", quoted(old.Service), quoted(q.Service), "waiting tasks, also of accepted jobs, start on workers of the new service; running tasks go on")
	changed("priority", old.Priority, q.Priority, forAcceptedJobs)
	changed("attempts", old.MaxAttempts, q.MaxAttempts, forAcceptedJobs+", from the next failed run of a task on; 0 is no limit")
	changed("slack factor", old.SlackFactor, q.SlackFactor, forAcceptedJobs)
	changed("target latency", old.TargetLatency, q.TargetLatency, forAcceptedJobs)
	changed("timeout", old.Timeout, q.Timeout, "applies to calls that begin later")
	c.compareAdvice(old, q)
	switch {
	case q.Public && !old.Public:
		c.add(SeverityWarning, KindQueueChanged, queueSubject(q), "it becomes public: anybody may call it, and jobs that were accepted for an account can no longer be looked up or cancelled there")
	case old.Public && !q.Public:
		c.add(SeverityNote, KindQueueChanged, queueSubject(q), "it is public no longer: calls without a key get 401 if there are accounts; jobs that were accepted without an account stay visible to all accounts")
	}
}

func (c *checker) compareAdvice(old, q *manifest.Queue) {
	switch needed := q.Advice.Needed(); {
	case old.Advice == q.Advice:
	case !needed:
		c.add(SeverityWarning, KindQueueChanged, queueSubject(q), "advice: no longer needed; waiting tasks of accepted jobs start on any worker, without a ticket")
	case !old.Advice.Needed():
		c.add(SeverityNote, KindQueueChanged, queueSubject(q), "advice: needed now (%s); waiting tasks of accepted jobs need a ticket too", adviceText(q.Advice))
	default:
		c.add(SeverityNote, KindQueueChanged, queueSubject(q), "advice: %s becomes %s; applies to calls of the advice service that begin later", adviceText(old.Advice), adviceText(q.Advice))
	}
}

func adviceText(a manifest.Advice) string {
	return fmt.Sprintf("%v, %v for each worker, valid for %v", a.Fixed, a.PerWorker, a.ValidFor)
}

func quoted(name string) string { return fmt.Sprintf("%.200q", name) }

func (c *checker) compareServices(inForce *manifest.Manifest) {
	note := func(kind Kind, s *manifest.Service, text string) {
		c.add(SeverityNote, kind, serviceSubject(s.Name), "%s", text)
	}
	pairs(c.next.Services, inForce.Services, serviceName,
		func(s *manifest.Service) { note(KindServiceAdded, s, "added") },
		func(old, s *manifest.Service) {
			if old.AdmissionCheck != s.AdmissionCheck {
				note(KindServiceChanged, s, fmt.Sprintf("admission check: %v becomes %v; the scheduler does not read it", old.AdmissionCheck, s.AdmissionCheck))
			}
			if old.Standby != s.Standby {
				note(KindServiceChanged, s, fmt.Sprintf("standby: %v becomes %v; the scheduler does not read it", old.Standby, s.Standby))
			}
		},
		func(s *manifest.Service) {
			note(KindServiceRemoved, s, "removed: running tasks go on, and tasks of queues that still name it start on its workers while these are registered")
		})
}

func (c *checker) compareLimits(inForce *manifest.Manifest) {
	old, l := inForce.Limits, c.next.Limits
	changed := func(name string, from, to any) {
		if from != to {
			c.add(SeverityNote, KindLimitChanged, limitSubject(name), "%v becomes %v; 0 stands for the default of the hosts", from, to)
		}
	}
	changed(limitHeaderBytes, old.MaxHeaderBytes, l.MaxHeaderBytes)
	changed(limitBodyBytes, old.MaxBodyBytes, l.MaxBodyBytes)
	changed(limitHeaderTimeout, old.HeaderTimeout, l.HeaderTimeout)
	changed(limitIdleTimeout, old.IdleTimeout, l.IdleTimeout)
}
