package entry_test

import (
	"testing"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/plan"
	"cicadabarrow.example/cicadabarrow/internal/standin"
)

func eachUpstream(c *cluster, f func(*standin.Upstream)) {
	for _, u := range c.d.Upstreams.All() {
		f(u)
	}
}

// TestRequestsUnderFaults keeps every promise to callers while things fail. The
// upstreams work on after their deadline and after a lost connection.
func TestRequestsUnderFaults(t *testing.T) {
	small := standin.DeploymentConfig{EntryHosts: 4, Upstreams: 8, DataCentres: 2}
	slow := small
	slow.ServiceTimeMin, slow.ServiceTimeMax = 50*time.Millisecond, 1500*time.Millisecond
	for _, one := range []struct {
		name     string
		cfg      standin.DeploymentConfig
		fault    func(c *cluster)
		heal     func(c *cluster)
		answered float64
	}{
		{name: "none", cfg: small, fault: func(*cluster) {}, answered: 1},
		{name: "group owner killed", cfg: slow, fault: func(c *cluster) { c.kill(c.owner("upstreams-")) }, answered: 0.3},
		{name: "key owner killed", cfg: small, fault: func(c *cluster) { c.kill(c.owner("keys-")) }, answered: 0.5},
		{name: "store down", cfg: small, fault: func(c *cluster) { c.d.Table.SetDown(true) }, answered: 0.95},
		{name: "data centre cut off", cfg: small, fault: func(c *cluster) {
			c.d.CutDataCentre("kita-kokura", standin.LossRequests)
			c.wires.set("kita-hakata", "kita-kokura", true)
		}, heal: func(c *cluster) {
			c.d.CutDataCentre("kita-kokura", standin.LossNone)
			c.wires.set("kita-hakata", "kita-kokura", false)
		}, answered: 0.9},
		{name: "no room in one data centre", cfg: small, fault: func(c *cluster) {
			for _, u := range c.d.Upstreams.All() {
				if u.Host().DataCentre == "kita-kokura" {
					c.d.SetLeaving(u.Host().Name, true)
				}
			}
		}, answered: 0.99},
		{name: "answers cut short", cfg: small, fault: func(c *cluster) {
			eachUpstream(c, func(u *standin.Upstream) { u.SetCut(standin.CutMidway) })
		}, heal: func(c *cluster) {
			eachUpstream(c, func(u *standin.Upstream) { u.SetCut(standin.CutNone) })
		}, answered: 0.2},
		{name: "run then close", cfg: small, fault: func(c *cluster) {
			c.d.Upstreams.All()[0].SetCut(standin.CutBefore)
		}, answered: 0.7},
		{name: "late answers", cfg: small, fault: func(c *cluster) {
			eachUpstream(c, func(u *standin.Upstream) { u.SetSlow(1900 * time.Millisecond) })
		}, heal: func(c *cluster) {
			eachUpstream(c, func(u *standin.Upstream) { u.SetSlow(0) })
		}, answered: 0.2},
		{name: "one stalls", cfg: small, fault: func(c *cluster) {
			c.d.Upstreams.All()[0].SetStalled(true)
		}, heal: func(c *cluster) { c.d.Upstreams.All()[0].SetStalled(false) }, answered: 0.8},
		{name: "answers lost", cfg: small, fault: func(c *cluster) {
			eachUpstream(c, func(u *standin.Upstream) { u.LoseAnswers(5) })
		}, answered: 0.7},
	} {
		inBubble(t, one.name, func(t *testing.T) {
			c := newCluster(t, one.cfg)
			c.load(5)
			time.Sleep(2 * time.Second)
			one.fault(c)
			time.Sleep(8 * time.Second)
			if one.heal != nil {
				one.heal(c)
			}
			time.Sleep(6 * time.Second)
			c.end(one.answered)
		})
	}
}

// TestLeavingEntryHostCutsNothing stops entry hosts in good order under load.
func TestLeavingEntryHostCutsNothing(t *testing.T) {
	inBubble(t, "leave", func(t *testing.T) {
		c := newCluster(t, standin.DeploymentConfig{EntryHosts: 6, Upstreams: 8, DataCentres: 2})
		c.load(5)
		time.Sleep(time.Second)
		if err := c.leave(c.owner("upstreams-")); err != nil {
			t.Error(err)
		}
		if err := c.leave(c.owner("keys-")); err != nil {
			t.Error(err)
		}
		time.Sleep(3 * time.Second)
		c.end(0.9)
		if len(c.unknown) > 0 {
			t.Errorf("requests were cut: %v", c.unknown)
		}
	})
}

// TestLeavingOwnerWaitsForLostRequests stops the owner of a group whose requests
// outlast their deadlines. The next owner must not use their slots too early.
func TestLeavingOwnerWaitsForLostRequests(t *testing.T) {
	inBubble(t, "leave", func(t *testing.T) {
		c := newCluster(t, standin.DeploymentConfig{
			EntryHosts: 4, Upstreams: 2, DataCentres: 1, ServiceTimeMin: 8 * time.Second, ServiceTimeMax: 12 * time.Second,
		})
		c.load(30)
		time.Sleep(3 * time.Second)
		if err := c.leave(c.owner("upstreams-")); err != nil {
			t.Error(err)
		}
		time.Sleep(20 * time.Second)
		// Nothing is answered within its second; only the limits count here.
		c.end(0)
	})
}

// TestLeavingUpstreamGetsNothingNew gives each sign of leaving on its own. Three
// seconds after the sign the instance gets no request any more.
func TestLeavingUpstreamGetsNothingNew(t *testing.T) {
	const within = 3 * time.Second
	for name, sign := range map[string]func(c *cluster, u *standin.Upstream){
		"host list":  func(c *cluster, u *standin.Upstream) { c.d.Hosts.SetLeaving(u.Host().Name, true) },
		"own answer": func(_ *cluster, u *standin.Upstream) { u.SetLeaving(true) },
		"plan": func(c *cluster, u *standin.Upstream) {
			for _, h := range c.hosts {
				h.Plans().Book().Adopt(plan.Section{Team: "payments", Revision: 1, Services: []plan.Service{{
					Name: c.d.Service, Leaving: []string{u.Host().Name}, MaxDeadline: time.Minute, RetryBudget: 0.1,
				}}})
			}
		},
	} {
		inBubble(t, name, func(t *testing.T) {
			c := newCluster(t, standin.DeploymentConfig{EntryHosts: 4, Upstreams: 8, DataCentres: 2})
			c.load(5)
			time.Sleep(2 * time.Second)
			leaving := c.d.Upstreams.All()[0]
			sign(c, leaving)
			last := time.Now().Add(within)
			time.Sleep(2 * within)
			c.end(0.99)
			before := 0
			for _, run := range c.d.Journal.Requests() {
				if run.Upstream != leaving.Host().Name {
					continue
				}
				before++
				if run.Start.After(last) {
					t.Fatalf("a request began %v after the sign", run.Start.Sub(last)+within)
				}
			}
			if before == 0 {
				t.Error("the instance never got a request")
			}
		})
	}
}

// TestBurnReportCoversReachableHosts kills one entry host and asks another for
// the report: it has what both live ones counted, and names the dead one.
func TestBurnReportCoversReachableHosts(t *testing.T) {
	inBubble(t, "burn", func(t *testing.T) {
		c := newCluster(t, standin.DeploymentConfig{EntryHosts: 3, Upstreams: 4, DataCentres: 1})
		for _, h := range c.hosts {
			h.Plans().Book().Adopt(plan.Section{Team: "payments", Revision: 1, Objectives: []plan.Objective{{
				Name: "checks", Of: c.d.Service, Kind: plan.ObjectiveSuccess, Target: 0.9, Window: time.Hour,
			}}})
		}
		c.kill("entry-02")
		time.Sleep(settleTime)
		for range 50 {
			c.request("kita-hakata", true)
		}
		report := c.pick("kita-hakata").Burn(t.Context())
		if len(report.Reached) != 2 || len(report.Unreached) != 1 || report.Unreached[0] != "entry-02" {
			t.Errorf("reached %v, not %v", report.Reached, report.Unreached)
		}
		if len(report.Burns) != 1 || report.Burns[0].Window.Good != 50 {
			t.Errorf("burns: %+v", report.Burns)
		}
		c.end(1)
	})
}
