package check

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"cicadabarrow.example/cicadabarrow/internal/manifest"
)

// checkQueues checks the names, the addresses and the numbers of the queues.
func (c *checker) checkQueues() {
	if len(c.next.Queues) == 0 {
		c.add(SeverityWarning, KindNoQueue, whole(), "there is no queue: every request gets 404")
	}
	names := make(map[string]bool, len(c.next.Queues))
	addresses := newAddressIndex(c.next.Queues)
	for i := range c.next.Queues {
		q := &c.next.Queues[i]
		c.checkQueueName(q, names)
		c.checkAddress(q)
		c.checkShadowing(i, addresses)
		c.checkObjective(q)
		c.checkTicket(q)
		c.checkTimeout(q)
		if q.MaxAttempts == 0 {
			c.add(SeverityNote, KindAttempts, queueSubject(q), "the number of attempts is not limited: a task that always fails is started again and again")
		}
		if q.Public && !c.next.HasAccounts {
			c.add(SeverityNote, KindNoEffect, queueSubject(q), "it is public, which has no effect: the manifest has no accounts, so no call needs a key")
		}
	}
}

func (c *checker) checkQueueName(q *manifest.Queue, names map[string]bool) {
	switch {
	case q.Name == "":
		// An empty name in the scope of a call stands for the jobs of all queues.
		c.add(SeverityError, KindQueueName, queueSubject(q), "the queue at host %.200q, prefix %.200q has no name: its clients see the jobs of all queues", q.Host, q.Prefix)
	case names[q.Name]:
		c.add(SeverityError, KindQueueName, queueSubject(q), "an earlier queue has the same name: jobs of this one at host %.200q, prefix %.200q run with the settings of the earlier one", q.Host, q.Prefix)
	}
	names[q.Name] = true
}

// checkAddress reports a host or a prefix that requests do not have.
func (c *checker) checkAddress(q *manifest.Queue) {
	if !strings.HasPrefix(q.Prefix, "/") {
		c.add(SeverityError, KindAddress, queueSubject(q), "the path prefix %.200q does not begin with \"/\": no job can be submitted", q.Prefix)
	}
	switch {
	case q.Host == "":
		c.add(SeverityError, KindAddress, queueSubject(q), "the host is empty: no request matches it")
	case q.Host != strings.ToLower(q.Host):
		c.add(SeverityWarning, KindAddress, queueSubject(q), "the host %.200q has capital letters: requests that name it in lower case do not match", q.Host)
	}
}

// address is where the requests of a queue are sent.
type address struct{ host, prefix string }

func addressOf(q *manifest.Queue) address { return address{q.Host, q.Prefix} }

// addressIndex has the queues by address.
type addressIndex struct {
	queues []manifest.Queue
	// first is the first queue of each address, which gets all of its requests.
	first map[address]int
	// sorted has these queues by host and prefix, so that the queues whose prefix begins
	// with the one of a queue follow it.
	sorted []int
}

func newAddressIndex(queues []manifest.Queue) addressIndex {
	x := addressIndex{queues: queues, first: make(map[address]int, len(queues))}
	for i := range queues {
		if _, known := x.first[addressOf(&queues[i])]; !known {
			x.first[addressOf(&queues[i])] = i
			x.sorted = append(x.sorted, i)
		}
	}
	slices.SortFunc(x.sorted, func(a, b int) int { return x.compare(a, addressOf(&queues[b])) })
	return x
}

func (x *addressIndex) compare(i int, with address) int {
	a := addressOf(&x.queues[i])
	return cmp.Or(cmp.Compare(a.host, with.host), cmp.Compare(a.prefix, with.prefix))
}

// longer returns the queues of the same host whose prefix begins with that of a queue and
// is longer.
func (x *addressIndex) longer(q *manifest.Queue) []int {
	begin, _ := slices.BinarySearchFunc(x.sorted, addressOf(q), x.compare)
	end := begin + 1
	for end < len(x.sorted) {
		other := &x.queues[x.sorted[end]]
		if other.Host != q.Host || !strings.HasPrefix(other.Prefix, q.Prefix) {
			break
		}
		end++
	}
	return x.sorted[begin+1 : end]
}

// jobIDDigits is the number of hexadecimal digits of a job's ID, which follows the prefix.
const jobIDDigits = 16

// checkShadowing reports requests of a queue that another one gets. The longest prefix
// wins, and the first queue among equal ones. After its prefix, a request has nothing or
// the ID of a job, so that a longer prefix takes requests only if it goes on with digits.
func (c *checker) checkShadowing(at int, addresses addressIndex) {
	q := &c.next.Queues[at]
	if first := addresses.first[addressOf(q)]; first != at {
		c.add(SeverityError, KindSameAddress, queueSubject(q), "it never gets a request: the earlier queue %.200q has the same host %.200q and prefix %.200q",
			c.next.Queues[first].Name, q.Host, q.Prefix)
		return
	}
	var taken []string
	for _, i := range addresses.longer(q) {
		other := &c.next.Queues[i]
		if digits := other.Prefix[len(q.Prefix):]; isIDPrefix(digits) {
			taken = append(taken, fmt.Sprintf("%s (queue %.200q)", digits, other.Name))
		}
	}
	if len(taken) > 0 {
		c.add(SeverityWarning, KindShadowed, queueSubject(q), "longer prefixes take the jobs whose ID begins with %s", joinSome(taken))
	}
}

func isIDPrefix(s string) bool {
	const digits = "0123456789abcdefABCDEF"
	return s != "" && len(s) <= jobIDDigits && strings.Trim(s, digits) == ""
}

// maxListed is the largest number of items of a list in a text.
const maxListed = 10

// joinSome joins items, and gives only the number of those beyond maxListed.
func joinSome(items []string) string {
	if len(items) > maxListed {
		return fmt.Sprintf("%s and %d more", strings.Join(items[:maxListed], ", "), len(items)-maxListed)
	}
	return strings.Join(items, ", ")
}

// checkServices reports services that the manifest does not have, has twice or does not use.
func (c *checker) checkServices() {
	known := make(map[string]bool, len(c.next.Services))
	for i := range c.next.Services {
		known[c.next.Services[i].Name] = true
	}
	used := make(map[string]bool)
	for i := range c.next.Queues {
		q := &c.next.Queues[i]
		used[q.Service] = true
		if !known[q.Service] {
			c.add(SeverityError, KindUnknownService, queueSubject(q), "the manifest does not have its service %.200q: its jobs are accepted and wait until workers of that service register", q.Service)
		}
	}
	seen := make(map[string]bool, len(known))
	for i := range c.next.Services {
		name := c.next.Services[i].Name
		switch {
		case name == "":
			c.add(SeverityWarning, KindServiceName, serviceSubject(name), "a service has no name")
		case seen[name]:
			c.add(SeverityWarning, KindServiceName, serviceSubject(name), "an earlier service has the same name")
		case !used[name]:
			c.add(SeverityWarning, KindUnusedService, serviceSubject(name), "no queue uses it: its workers get no tasks")
		}
		seen[name] = true
	}
}

const (
	// longRunningRank and expiredRank are where the cell ranks long-running tasks that
	// have waited and jobs that are so late that nobody gains from them
	// (classLongRunning and classExpired of package cell). Queues are ranked by their
	// priority between them.
	longRunningRank = -1
	expiredRank     = 1000
)

// checkPriorities reports priorities that collide with other ranks, and those that no queue
// has.
func (c *checker) checkPriorities() {
	used := make(map[int]bool)
	for i := range c.next.Queues {
		q := &c.next.Queues[i]
		switch {
		case q.Priority <= longRunningRank:
			c.add(SeverityWarning, KindPriority, queueSubject(q), "priority %d ranks its jobs with long-running tasks or before them, but they are not urgent; 0 is the highest", q.Priority)
		case q.Priority >= expiredRank:
			c.add(SeverityWarning, KindPriority, queueSubject(q), "priority %d ranks its jobs with those that are too late to be of use; use less than %d", q.Priority, expiredRank)
		default:
			used[q.Priority] = true
		}
	}
	if len(used) == 0 {
		return
	}
	if !used[0] {
		c.add(SeverityNote, KindUnusedPriority, whole(), "no queue has priority 0: no job is urgent, and none preempts others")
	}
	var gaps []string
	for priority, last := 1, slices.Max(slices.Collect(maps.Keys(used))); priority < last; priority++ {
		begin := priority
		for !used[priority] {
			priority++
		}
		switch {
		case priority-begin == 1:
			gaps = append(gaps, fmt.Sprint(begin))
		case priority > begin:
			gaps = append(gaps, fmt.Sprintf("%d to %d", begin, priority-1))
		}
	}
	if len(gaps) > 0 {
		c.add(SeverityNote, KindUnusedPriority, whole(), "no queue has priority %s; only the order of priorities counts", joinSome(gaps))
	}
}
