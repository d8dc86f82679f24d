package entry_test

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/plan"
	"cicadabarrow.example/cicadabarrow/internal/platform"
	"cicadabarrow.example/cicadabarrow/internal/standin"
)

// inForceWithin is the users' limit on the time until an accepted edit is in force.
const inForceWithin = 12 * time.Second

// editSection commits the next revision of a section through one host and returns
// the revision.
func (c *cluster) editSection(through string) uint64 {
	c.t.Helper()
	p := c.hosts[through].Plans()
	before, _ := p.Book().Section("payments")
	limit := job.Size{MilliCores: 1000, MemoryMB: 1000}
	accepted, err := p.Edit(c.t.Context(), plan.Edit{
		Team: "payments", Base: before.Revision, Author: "test",
		Section: plan.Section{Team: "payments", Revision: before.Revision, Quota: plan.Quota{Limit: limit}},
	})
	if err != nil {
		c.t.Fatal(err)
	}
	return accepted.Revision
}

// waitInForce waits until a revision is in force on every host and fails if that
// takes too long.
func (c *cluster) waitInForce(revision uint64) {
	c.t.Helper()
	edited := time.Now()
	for {
		var behind []string
		for name, h := range c.hosts {
			if s, _ := h.Plans().Book().Section("payments"); s.Revision != revision {
				behind = append(behind, name)
			}
		}
		if len(behind) == 0 {
			c.t.Logf("in force on %d hosts after %v", len(c.hosts), time.Since(edited))
			return
		}
		if time.Since(edited) > inForceWithin {
			slices.Sort(behind)
			c.t.Fatalf("revision %d is not in force on %v after %v", revision, behind, inForceWithin)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func TestPlanComesIntoForce(t *testing.T) {
	small := standin.DeploymentConfig{EntryHosts: 4, Upstreams: 8, DataCentres: 2}
	inBubble(t, "everywhere", func(t *testing.T) {
		c := newCluster(t, small)
		defer c.closeAll()
		for _, h := range c.d.EntryHosts {
			c.waitInForce(c.editSection(h.Name))
		}
	})
	inBubble(t, "the reader dies", func(t *testing.T) {
		c := newCluster(t, small)
		defer c.closeAll()
		reader := c.owner("poo")
		through := c.d.EntryHosts[0].Name
		if through == reader {
			through = c.d.EntryHosts[1].Name
		}
		revision := c.editSection(through)
		c.kill(reader)
		c.waitInForce(revision)
	})
	inBubble(t, "the host that accepted it starts again", func(t *testing.T) {
		c := newCluster(t, small)
		defer c.closeAll()
		// The host is not the reader, so its peers have to get the edit from the
		// table.
		through := c.d.EntryHosts[0]
		if through.Name == c.owner("poo") {
			through = c.d.EntryHosts[1]
		}
		first := c.editSection(through.Name)
		c.waitInForce(first)
		// The peers compare their plans every 2 s, so right after a comparison
		// none of them has the second edit yet.
		second := c.editSection(through.Name)
		c.kill(through.Name)
		c.start(through, c.addrOf(c.d.EntryHosts[2]))
		c.waitInForce(second)
		if n := c.d.Audit.Findings().RevertedSections; n != 0 {
			t.Errorf("%d sections went back to an older revision", n)
		}
	})
	inBubble(t, "a host starts without the platform", func(t *testing.T) {
		c := newCluster(t, small)
		defer c.closeAll()
		revision := c.editSection(c.d.EntryHosts[0].Name)
		c.waitInForce(revision)
		late := c.d.EntryHosts[1]
		c.kill(late.Name)
		c.d.Links.Set(late.Name, standin.Platform, standin.LossRequests)
		c.start(late, c.addrOf(c.d.EntryHosts[0]))
		c.waitInForce(revision)
	})
}

// addrOf returns the address at which an entry host listens.
func (c *cluster) addrOf(h platform.Host) netip.AddrPort {
	c.t.Helper()
	hosts, err := c.d.Hosts.Hosts(c.t.Context())
	if err != nil {
		c.t.Fatal(err)
	}
	i := slices.IndexFunc(hosts, func(o platform.Host) bool { return o.Name == h.Name })
	return hosts[i].Addr
}

func (c *cluster) closeAll() {
	for name := range c.hosts {
		c.kill(name)
	}
}
