package pool

import (
	"testing"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/platform"
)

// requestedRenewals returns the renewals in the reports that the pool requests
// now, and the number of those reports.
func requestedRenewals(p *Pool, now time.Time) (renewals []platform.Renewal, reports int) {
	for _, a := range p.Tick(now) {
		if r, ok := a.(RequestReport); ok {
			renewals = append(renewals, r.Request.Renewals...)
			reports++
		}
	}
	return renewals, reports
}

// TestFailedRenewalIsSentAgain runs a service on one worker. A report requested
// shortly after a renewal must not renew the lease again. After a failed report
// the lease may not have been renewed, so the next report must renew it.
func TestFailedRenewalIsSentAgain(t *testing.T) {
	cfg := DefaultConfig()
	now := modelStart
	p := New(cfg, Takeover{Epoch: 1, First: true, Clean: true}, RecoveredState{}, now)
	p.SetWorkers([]platform.Host{{Name: "w", Addr: loopback, Capacity: job.Size{MilliCores: 8000, MemoryMB: 8000}}}, now)
	report := func() { p.Reported("w", p.workers["w"].since, platform.Report{Now: now, BootID: "1"}, now) }
	requestedRenewals(p, now)
	report()
	p.Accept(job.Spec{
		ID: "feed", Team: "feeds", Kind: job.KindService, Tasks: 1, Size: job.Size{MilliCores: 1000, MemoryMB: 1000},
	}, now)
	for _, a := range p.Schedule(now) {
		if j, ok := a.(PersistRecords); ok {
			p.Durable(j.BatchID, now)
		}
	}
	p.Started([]StartResult{{Attempt: platform.Attempt{Task: job.TaskID{Job: "feed"}, Number: 1}, Outcome: StartAccepted}}, now)

	now = now.Add(cfg.ReportEvery)
	if renewals, _ := requestedRenewals(p, now); len(renewals) != 1 {
		t.Fatalf("the periodic report has %d renewals; want 1", len(renewals))
	}
	report()
	now = now.Add(time.Second)
	p.workers["w"].nextReportAt = now
	if renewals, reports := requestedRenewals(p, now); len(renewals) != 0 || reports != 1 {
		t.Fatalf("a report a second later has %d renewals; want none", len(renewals))
	}
	report()

	now = now.Add(cfg.ReportEvery)
	requestedRenewals(p, now)
	p.Unreachable("w", now)
	now = now.Add(retryReportAfter)
	if renewals, _ := requestedRenewals(p, now); len(renewals) != 1 {
		t.Fatalf("the report after one that failed has %d renewals; want 1", len(renewals))
	}
}

// TestOperatorQuarantine quarantines a worker at an operator's request. The
// worker must get nothing until its probe is due, and an unknown worker must be
// an error.
func TestOperatorQuarantine(t *testing.T) {
	cfg := DefaultConfig()
	now := modelStart
	p := New(cfg, Takeover{Epoch: 1, First: true, Clean: true}, RecoveredState{}, now)
	p.SetWorkers([]platform.Host{{Name: "w", Addr: loopback, Capacity: job.Size{MilliCores: 8000, MemoryMB: 8000}}}, now)
	requestedRenewals(p, now)
	p.Reported("w", time.Time{}, platform.Report{Now: now, BootID: "1"}, now)
	if err := p.Quarantine("w", now); err != nil {
		t.Fatal(err)
	}
	if err := p.Quarantine("x", now); err == nil {
		t.Error("an unknown worker was quarantined")
	}
	p.Accept(job.Spec{
		ID: "build", Team: "t", Kind: job.KindBatch, Tasks: 1, Size: job.Size{MilliCores: 1, MemoryMB: 1}, RunTime: time.Second,
	}, now)
	if v := p.Workers(now)[0]; !v.Quarantined || len(p.Schedule(now)) != 0 {
		t.Fatalf("in quarantine the worker is %+v", v)
	}
	now = now.Add(cfg.ProbeAfter)
	p.Tick(now)
	if len(p.Schedule(now)) == 0 {
		t.Error("the worker was not probed")
	}
}
