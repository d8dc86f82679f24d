package check

import (
	"fmt"
	"strconv"

	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
)

// typicalTask is the size of an urgent task in the loads of examples/loads, which are the
// smallest ones there.
var typicalTask = job.Size{MilliCores: 2500, MemoryMB: 1024}

// checkAccounts reports accounts that nobody can use or that get no work done.
func (c *checker) checkAccounts() {
	m := c.next
	if !m.HasAccounts {
		return
	}
	needed := needsKey(m)
	switch {
	case len(m.Accounts) == 0 && needed:
		c.add(SeverityWarning, KindNoAccount, whole(), "the list of accounts is empty: every call to a queue that is not public gets 401")
	case len(m.Accounts) > 0 && !needed:
		c.add(SeverityWarning, KindNoEffect, whole(), "accounts have no effect: no queue needs a key")
	}
	for i := range m.Accounts {
		a := &m.Accounts[i]
		if len(a.KeyHashes) == 0 && needed {
			c.add(SeverityWarning, KindNoKey, accountSubject(a.Name), "it has no key: nobody can use it")
		}
		if a.Weight == 0 {
			c.add(SeverityWarning, KindWeight, accountSubject(a.Name), "its weight is 0: it is entitled to no rate, and its jobs wait behind those of the others when the cell is full")
		}
		if limit := limitedTo(typicalTask, a.Cap); !typicalTask.Fits(limit) {
			c.add(SeverityWarning, KindCap, accountSubject(a.Name), "its cap (%s) is below a typical task of %s: jobs with such a task are refused", sizeText(a.Cap), sizeText(typicalTask))
		}
	}
	c.addTotals()
}

// needsKey reports whether a queue is not public.
func needsKey(m *manifest.Manifest) bool {
	for i := range m.Queues {
		if !m.Queues[i].Public {
			return true
		}
	}
	return false
}

// limitedTo returns a cap in which a resource that is not limited has what is needed.
func limitedTo(need, limit job.Size) job.Size {
	or := func(limit, need int64) int64 {
		if limit == 0 {
			return need
		}
		return limit
	}
	return job.Size{
		MilliCores: or(limit.MilliCores, need.MilliCores), MemoryMB: or(limit.MemoryMB, need.MemoryMB),
		Accelerators: or(limit.Accelerators, need.Accelerators),
	}
}

// addTotals gives the sums of weights and caps, to compare with what the cell has.
func (c *checker) addTotals() {
	if len(c.next.Accounts) == 0 {
		return
	}
	weight, caps := 0.0, job.Size{}
	var unlimited struct{ cores, memory, accelerators int }
	for i := range c.next.Accounts {
		a := &c.next.Accounts[i]
		weight += a.Weight
		caps = caps.Add(a.Cap)
		unlimited.cores += flag(a.Cap.MilliCores == 0)
		unlimited.memory += flag(a.Cap.MemoryMB == 0)
		unlimited.accelerators += flag(a.Cap.Accelerators == 0)
	}
	c.add(SeverityNote, KindTotals, whole(), "sums over %s: weights %s jobs a second, caps %s; without a cap on cores %d, on memory %d, on accelerators %d",
		plural(len(c.next.Accounts), "account"), number(weight), sizeText(caps), unlimited.cores, unlimited.memory, unlimited.accelerators)
}

func flag(set bool) int {
	if set {
		return 1
	}
	return 0
}

// number formats a number with at most six significant digits.
func number(f float64) string { return strconv.FormatFloat(f, 'g', 6, 64) }

const milliCoresPerCore = 1000

func cores(milliCores int64) string {
	return strconv.FormatFloat(float64(milliCores)/milliCoresPerCore, 'f', -1, 64)
}

// sizeText formats a cap or a task. A resource with 0 is left out.
func sizeText(s job.Size) string {
	var parts []string
	if s.MilliCores != 0 {
		parts = append(parts, cores(s.MilliCores)+" cores")
	}
	if s.MemoryMB != 0 {
		parts = append(parts, fmt.Sprintf("%d MB", s.MemoryMB))
	}
	if s.Accelerators != 0 {
		parts = append(parts, plural(int(s.Accelerators), "accelerator"))
	}
	if len(parts) == 0 {
		return "none"
	}
	return joinSome(parts)
}
