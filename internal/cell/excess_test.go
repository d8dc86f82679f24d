package cell_test

import (
	"slices"
	"testing"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/admission"
	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// withWeight installs a manifest with one account, of which the next jobs are.
func (b *backlog) withWeight(weight float64) {
	m := backlogManifest
	b.manifests++
	m.Version += b.manifests
	b.account = manifest.Terms{Name: "a", Weight: weight}
	m.HasAccounts, m.Accounts = true, []manifest.Account{{Terms: b.account}}
	b.cell.SetManifest(&m)
	b.now = b.now.Add(time.Millisecond)
}

// Urgent jobs that are ahead of the rate of their account ask after the other urgent jobs.
func TestJobsInExcessAskAfterOthers(t *testing.T) {
	b := newBacklog(t, 8, 0, whyUnanswered)
	b.withWeight(1)
	step := workload.Step{Tasks: 1, Size: job.Size{MilliCores: 1000}, Estimate: time.Second}
	for _, id := range []workload.JobID{"a", "b", "c"} {
		b.accept(id, "hold", step)
	}
	b.account = manifest.Terms{}
	b.accept("d", "hold", step)
	var order []workload.JobID
	for _, q := range b.runActions() {
		if !q.Urgent {
			t.Errorf("the question of job %s is not urgent", q.Step.Job)
		}
		order = append(order, q.Step.Job)
	}
	if !slices.Equal(order, []workload.JobID{"a", "b", "d", "c"}) {
		t.Errorf("questions in the order %v", order)
	}
}

// The backlog of jobs in excess must not have other jobs refused, and a job in excess goes
// after all of it.
func TestJobsInExcessAreDemandApart(t *testing.T) {
	b := newBacklog(t, 4, 0, whyUnanswered)
	b.withWeight(1)
	large := workload.Step{Tasks: 9, Size: job.Size{MilliCores: minCapacity}, Estimate: time.Second}
	for _, id := range []workload.JobID{"a", "b", "c", "d"} {
		b.accept(id, "settle", large)
	}
	load := b.cell.Load(b.now)
	const free = 9*minCapacity - 4*smallRuns*100
	if d := demandOf(load, "s", 2); d.MissingMilliCores != 2*9*minCapacity-free {
		t.Errorf("before jobs on time: %+v", d)
	}
	if d := aheadOf(load, 2); d.MissingMilliCores != 4*9*minCapacity-free {
		t.Errorf("before jobs in excess: %+v", d)
	}
	if d := aheadOf(load, 0); d.MissingMilliCores != 0 {
		t.Errorf("before urgent jobs in excess: %+v", d)
	}
	if d := serviceOf(load, "s").OverShare; d.MissingMilliCores != 4*9*minCapacity-free {
		t.Errorf("before jobs of accounts over their share: %+v", d)
	}
	if len(load.InExcess) != 1 || load.InExcess[0].Name != "a" || load.InExcess[0].For != 3*time.Second {
		t.Errorf("accounts in excess: %+v", load.InExcess)
	}
	b.now = b.now.Add(3 * time.Second)
	load = b.cell.Load(b.now)
	if s := serviceOf(load, "s"); len(load.InExcess) > 0 || len(s.Ahead) > 0 || s.OverShare.MissingMilliCores > 0 {
		t.Errorf("after the excess: %+v, demand %+v", load.InExcess, s)
	}
}

// aheadOf returns the demand before new jobs of a priority that are ahead of the rate of
// their account.
func aheadOf(load admission.Load, priority int) admission.Demand {
	for _, d := range serviceOf(load, "s").Ahead {
		if d.Priority == priority {
			return d
		}
	}
	return admission.Demand{}
}
