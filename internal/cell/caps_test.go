package cell_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// TestDecisionsMissNoStepUnderACap is TestDecisionsMissNoPlaceableStep with accounts whose
// caps change. It guards against a step that waits for a cap and is not evaluated once
// there is room under it, or that takes the turn of a smaller one.
func TestDecisionsMissNoStepUnderACap(t *testing.T) {
	t.Parallel()
	for _, unswept := range []bool{false, true} {
		t.Run(fmt.Sprint("unswept=", unswept), func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(t *rapid.T) {
				p := &advisedBacklog{backlog: newBacklog(t, 6, 0, whyUnanswered), t: t, unswept: unswept}
				p.cell.SetAdviceHosts(3)
				m := backlogManifest
				p.setCaps(&m)
				actions := p.actions()
				submit := actions["submit"]
				actions["submit"] = func(t *rapid.T) {
					p.account = rapid.SampledFrom([]manifest.Terms{{}, m.Accounts[0].Terms, m.Accounts[1].Terms}).Draw(t, "account")
					submit(t)
				}
				actions["caps"] = func(*rapid.T) { p.setCaps(&m) }
				t.Repeat(actions)
			})
		})
	}
}

// setCaps installs a manifest with other caps.
func (p *advisedBacklog) setCaps(m *manifest.Manifest) {
	changed := *m
	changed.Version++
	changed.HasAccounts, changed.Accounts = true, nil
	for _, name := range accountNames {
		limit := job.Size{MilliCores: int64(rapid.IntRange(0, 40).Draw(p.t, "cap")) * 1000}
		changed.Accounts = append(changed.Accounts, manifest.Account{Terms: manifest.Terms{Name: name, Weight: 1000, Cap: limit}})
	}
	*m = changed
	p.cell.SetManifest(&changed)
}

// withCap installs a manifest with one account, of which the next jobs are.
func (b *backlog) withCap(limit job.Size) {
	m := backlogManifest
	b.manifests++
	m.Version += b.manifests
	b.account = manifest.Terms{Name: "a", Weight: 1000, Cap: limit}
	m.HasAccounts, m.Accounts = true, []manifest.Account{{Terms: b.account}}
	b.cell.SetManifest(&m)
}

// Steps that wait for the cap of their account must not use the time of decisions: neither
// at ticks, nor when workers or other accounts have new free capacity.
func TestStepsThatWaitForACapAreNotEvaluatedAgain(t *testing.T) {
	b := newBacklog(t, 8, 0, whyUnanswered)
	b.withCap(job.Size{MilliCores: 1000})
	for i := range 200 {
		b.accept(workload.JobID(fmt.Sprintf("%016x", i)), "free", workload.Step{Tasks: 2, Size: job.Size{MilliCores: 1000}, Estimate: time.Hour})
	}
	b.runActions()
	before := b.cell.StepsEvaluated()
	for range 30 { // the workers' leases last longer
		b.now = b.now.Add(100 * time.Millisecond)
		for _, id := range b.workers {
			b.report(id)
		}
		b.cell.Tick(b.now)
		b.runActions()
	}
	if got := b.cell.StepsEvaluated() - before; got > 0 {
		t.Errorf("%d steps were evaluated while all wait for a cap", got)
	}
}

// Tasks for which a cap leaves no room do not wait for capacity, so that they must not
// have jobs of others refused.
func TestTasksBeyondACapAreNoDemand(t *testing.T) {
	b := newBacklog(t, 4, 0, whyUnanswered)
	b.withCap(job.Size{MilliCores: 3 * minCapacity})
	large := workload.Step{Tasks: 40, Size: job.Size{MilliCores: minCapacity}, Estimate: time.Second}
	b.accept("large", "first", large)
	b.accept("more", "first", large)
	load := b.cell.Load(b.now)
	if d := demandOf(load, "s", 0); d.MissingMilliCores != 0 || d.Starts != 3 {
		t.Errorf("before anything is placed: %+v", d)
	}
	b.runActions()
	load = b.cell.Load(b.now)
	if d := demandOf(load, "s", 0); d.MissingMilliCores != 0 || serviceOf(load, "s").CapacityShort {
		t.Errorf("with the cap used up: %+v", d)
	}
	if got := b.cell.Accounts(b.now); len(got) != 1 || got[0].Waiting != 77 || got[0].CapWaiting != 77 {
		t.Errorf("accounts %+v", got)
	}
}

// Jobs of others that rank behind many steps that wait for a cap are placed as usual.
func TestStepsBehindACapAreNotDelayed(t *testing.T) {
	b := newBacklog(t, 8, 0, whyUnanswered)
	b.withCap(job.Size{MilliCores: 1000})
	for i := range 500 {
		b.accept(workload.JobID(fmt.Sprintf("%016x", i)), "first", workload.Step{Tasks: 2, Size: job.Size{MilliCores: 1000}, Estimate: time.Hour})
	}
	b.runActions()
	b.account = manifest.Terms{}
	b.now = b.now.Add(time.Second)
	b.accept("other", "free", workload.Step{Tasks: 3, Size: job.Size{MilliCores: 1000}, Estimate: time.Second})
	b.apply(b.cell.TakeActions(b.now))
	placed := 0
	for _, rec := range b.cell.TakeRecords(1000) {
		if rec.Job != "other" {
			continue
		}
		for _, task := range rec.Occurrences[0][0].Tasks {
			if task.Worker != "" {
				placed++
			}
		}
	}
	if placed != 3 {
		t.Errorf("%d of 3 tasks were placed by the first decision", placed)
	}
}

// A step that waits for its cap may have its last waiting task completed by an unknown run.
// It must not keep decisions going when there is room under the cap.
func TestStepsWithoutWaitingTasksNeedNoRoom(t *testing.T) {
	b := newBacklog(t, 8, 0, whyUnanswered)
	b.withCap(job.Size{MilliCores: 2000})
	step := workload.Step{Tasks: 1, Size: job.Size{MilliCores: 1000}, Estimate: time.Hour}
	b.accept("first", "free", step)
	step.Tasks = 2
	b.accept("second", "free", step)
	b.runActions()
	unknown := workload.TaskID{StepID: workload.StepID{Job: "second"}, Index: 1}
	w := b.workers[0]
	b.ends[w]++
	b.report(w, cell.Ended{Number: b.ends[w], Task: unknown, Run: 1, Kind: cell.EndDone})
	for _, id := range b.workers {
		if i := slices.IndexFunc(b.running[id], func(r cell.Running) bool { return r.Task.Job == "first" }); i >= 0 {
			b.endRun(id, i, cell.EndDone)
			break
		}
	}
	b.runActions()
	if got := b.cell.AccountUse(b.now, "a"); got.MilliCores != 1000 {
		t.Errorf("%+v are in use", got)
	}
}

// A question about a step that waits for its cap must not stay open for ever when it gets
// no answer: it would take the turn of those of others.
func TestQuestionsOfStepsThatWaitForACapTimeOut(t *testing.T) {
	b := newBacklog(t, 8, 0, whyUnanswered)
	b.cell.SetAdviceHosts(1)
	b.withCap(job.Size{MilliCores: 1000})
	step := workload.Step{Tasks: 1, Size: job.Size{MilliCores: 1000}, Estimate: time.Hour}
	b.accept("asks", "settle", step)
	if asked := b.runActions(); len(asked) != 1 {
		t.Fatalf("asked %+v", asked)
	}
	b.accept("takes", "free", step) // and leaves no room under the cap
	b.runActions()
	b.account = manifest.Terms{}
	b.accept("other", "settle", step)
	if asked := b.runActions(); len(asked) != 0 {
		t.Fatalf("asked %+v", asked)
	}
	for range 60 {
		b.now = b.now.Add(100 * time.Millisecond)
		for _, id := range b.workers {
			b.cell.NextHold(b.now, id)
			b.report(id)
		}
		b.cell.TickWithoutSweep(b.now)
		if asked := b.runActions(); len(asked) > 0 {
			return
		}
	}
	t.Error("the question of another step is never asked")
}

// Workers with new free capacity must be offered to the steps behind many that found no
// worker before, and for which the cap leaves no room any more.
func TestFreedWorkersAreOfferedBehindACap(t *testing.T) {
	b := newBacklog(t, 1, 0, whyUnanswered)
	large := workload.Step{Tasks: 1, Size: job.Size{MilliCores: 15000}, Estimate: time.Hour}
	b.accept("running", "free", large)
	b.runActions()
	b.accept("other", "free", large)
	b.withCap(large.Size)
	for i := range 100 {
		b.accept(workload.JobID(fmt.Sprintf("%016x", i)), "first", large)
	}
	b.runActions()
	b.accept("tiny", "first", workload.Step{Tasks: 1, Size: job.Size{MilliCores: 300}, Estimate: time.Hour})
	b.runActions()
	w := b.workers[0]
	b.endRun(w, slices.IndexFunc(b.running[w], func(r cell.Running) bool { return r.Task.Job == "running" }), cell.EndDone)
	b.runActions()
	if !slices.ContainsFunc(b.running[w], func(r cell.Running) bool { return r.Task.Job == "other" }) {
		t.Error("the freed capacity was not offered to the job of another")
	}
}
