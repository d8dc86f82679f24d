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

// TestRequestsUnderFaults checks the guarantees to callers while faults occur. The
// upstreams continue a request after its deadline and after a lost connection.
func TestRequestsUnderFaults(t *testing.T) {
	small := standin.DeploymentConfig{EntryHosts: 4, Upstreams: 8, DataCentres: 2}
	slow := small
	slow.ServiceTimeMin, slow.ServiceTimeMax = 50*time.Millisecond, 1500*time.Millisecond
	for _, test := range []struct {
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
			c.network.setCut("kita-hakata", "kita-kokura", true)
		}, heal: func(c *cluster) {
			c.d.CutDataCentre("kita-kokura", standin.LossNone)
			c.network.setCut("kita-hakata", "kita-kokura", false)
		}, answered: 0.9},
		{name: "no free slots in one data centre", cfg: small, fault: func(c *cluster) {
			for _, u := range c.d.Upstreams.All() {
				if u.Host().DataCentre == "kita-kokura" {
					c.d.SetLeaving(u.Host().Name, true)
				}
			}
		}, answered: 0.99},
		{name: "responses truncated", cfg: small, fault: func(c *cluster) {
			eachUpstream(c, func(u *standin.Upstream) { u.SetCut(standin.CutMidway) })
		}, heal: func(c *cluster) {
			eachUpstream(c, func(u *standin.Upstream) { u.SetCut(standin.CutNone) })
		}, answered: 0.2},
		{name: "run then close", cfg: small, fault: func(c *cluster) {
			c.d.Upstreams.All()[0].SetCut(standin.CutBefore)
		}, answered: 0.7},
		{name: "late responses", cfg: small, fault: func(c *cluster) {
			eachUpstream(c, func(u *standin.Upstream) { u.SetSlow(1900 * time.Millisecond) })
		}, heal: func(c *cluster) {
			eachUpstream(c, func(u *standin.Upstream) { u.SetSlow(0) })
		}, answered: 0.2},
		{name: "one upstream stalls", cfg: small, fault: func(c *cluster) {
			c.d.Upstreams.All()[0].SetStalled(true)
		}, heal: func(c *cluster) { c.d.Upstreams.All()[0].SetStalled(false) }, answered: 0.8},
		{name: "responses lost", cfg: small, fault: func(c *cluster) {
			eachUpstream(c, func(u *standin.Upstream) { u.LoseAnswers(5) })
		}, answered: 0.7},
	} {
		inBubble(t, test.name, func(t *testing.T) {
			c := newCluster(t, test.cfg)
			c.load(5)
			time.Sleep(2 * time.Second)
			test.fault(c)
			time.Sleep(8 * time.Second)
			if test.heal != nil {
				test.heal(c)
			}
			time.Sleep(6 * time.Second)
			c.stopAndCheck(test.answered)
		})
	}
}

// TestGracefulStopInterruptsNoRequest stops entry hosts gracefully under load. No
// request may get an unknown outcome.
func TestGracefulStopInterruptsNoRequest(t *testing.T) {
	inBubble(t, "leave", func(t *testing.T) {
		c := newCluster(t, standin.DeploymentConfig{EntryHosts: 6, Upstreams: 8, DataCentres: 2})
		c.load(5)
		time.Sleep(time.Second)
		if err := c.stopGracefully(c.owner("upstreams-")); err != nil {
			t.Error(err)
		}
		if err := c.stopGracefully(c.owner("keys-")); err != nil {
			t.Error(err)
		}
		time.Sleep(3 * time.Second)
		c.stopAndCheck(0.9)
		if len(c.unknown) > 0 {
			t.Errorf("requests with an unknown outcome: %v", c.unknown)
		}
	})
}

// TestReleaseWaitsForLostRequests stops the owner of a group whose requests run
// longer than their deadlines. The successor must not use their slots before they
// end.
func TestReleaseWaitsForLostRequests(t *testing.T) {
	inBubble(t, "leave", func(t *testing.T) {
		c := newCluster(t, standin.DeploymentConfig{
			EntryHosts: 4, Upstreams: 2, DataCentres: 1, ServiceTimeMin: 8 * time.Second, ServiceTimeMax: 12 * time.Second,
		})
		c.load(30)
		time.Sleep(3 * time.Second)
		if err := c.stopGracefully(c.owner("upstreams-")); err != nil {
			t.Error(err)
		}
		time.Sleep(20 * time.Second)
		// No request gets a response within its deadline of 1 s; the test only
		// checks that no upstream exceeds its limit.
		c.stopAndCheck(0)
	})
}

// TestLeavingUpstreamGetsNothingNew announces in each possible way on its own that
// an instance is leaving. From three seconds after that on, the instance must get
// no request.
func TestLeavingUpstreamGetsNothingNew(t *testing.T) {
	const within = 3 * time.Second
	for name, announce := range map[string]func(c *cluster, u *standin.Upstream){
		"host list":    func(c *cluster, u *standin.Upstream) { c.d.Hosts.SetLeaving(u.Host().Name, true) },
		"own response": func(_ *cluster, u *standin.Upstream) { u.SetLeaving(true) },
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
			announce(c, leaving)
			last := time.Now().Add(within)
			time.Sleep(2 * within)
			c.stopAndCheck(0.99)
			before := 0
			for _, run := range c.d.Journal.Requests() {
				if run.Upstream != leaving.Host().Name {
					continue
				}
				before++
				if run.Start.After(last) {
					t.Fatalf("a request began %v after the announcement", run.Start.Sub(last)+within)
				}
			}
			if before == 0 {
				t.Error("the instance never got a request")
			}
		})
	}
}

// TestBurnReportCoversReachableHosts kills one entry host and gets the report from
// another: it must cover both live hosts and name the dead one as unreached.
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
			t.Errorf("reached %v, unreached %v", report.Reached, report.Unreached)
		}
		if len(report.Burns) != 1 || report.Burns[0].Window.Good != 50 {
			t.Errorf("burns: %+v", report.Burns)
		}
		c.stopAndCheck(1)
	})
}
