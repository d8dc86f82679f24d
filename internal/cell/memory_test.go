package cell_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/ledger"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// The memory by which jobs are refused must be about what they take: if it were too low,
// valid jobs could exhaust the owner, and if it were too high, ordinary ones were refused.
func TestJobBytes(t *testing.T) {
	after := make([]int, 100)
	for i := range after {
		after[i] = i
	}
	for _, c := range []struct {
		name string
		jobs int
		make func(j *workload.Job)
	}{
		{"tasks", 20, func(j *workload.Job) { j.Steps = []workload.Step{{Tasks: 9000}, {Tasks: 9000, After: []int{0}}} }},
		{"steps", 100, func(j *workload.Job) {
			j.Steps = make([]workload.Step, workload.MaxSteps)
			for i := range j.Steps {
				j.Steps[i].Tasks = 1
			}
		}},
		{"dependencies", 50, func(j *workload.Job) {
			j.Steps = make([]workload.Step, workload.MaxSteps)
			for i := range j.Steps {
				j.Steps[i] = workload.Step{Tasks: 1, After: after[:min(i, len(after))]}
			}
		}},
		{"ordinary", 3000, func(j *workload.Job) { j.Steps = []workload.Step{{Tasks: 10}, {Tasks: 7, After: []int{0}}} }},
		{"small", 10_000, func(j *workload.Job) { j.Steps = []workload.Step{{Tasks: 1}} }},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1_000_000, 0)
			tasks := cell.New(now, cell.Config{KeepEnded: time.Minute}, nopObserver{}, zap.NewNop())
			rows := make([][]byte, c.jobs)
			for i := range rows {
				a := cell.AcceptedJob{Job: workload.Job{ID: workload.JobID(fmt.Sprintf("%016x", i)), Queue: "q", Spec: "spec"}}
				a.Queue = manifest.Queue{Name: "q", Service: "s"}
				c.make(&a.Job)
				row, err := ledger.EncodeJob(a)
				if err != nil {
					t.Fatal(err)
				}
				rows[i] = row
			}
			before := heapBytes()
			var ids []workload.JobID
			for _, row := range rows {
				a, err := ledger.DecodeJob(row)
				if err != nil {
					t.Fatal(err)
				}
				tasks.Accept(now, a)
				ids = append(ids, a.Job.ID)
			}
			taken, held := heapBytes()-before, tasks.HeldBytes().All
			t.Logf("%d bytes a job are taken and %d are counted", taken/int64(c.jobs), held/int64(c.jobs))
			if held < taken || held > 2*taken {
				t.Errorf("%d bytes are taken and %d are counted", taken, held)
			}
			tasks.Forget(ids)
			if held := tasks.HeldBytes(); held != (cell.HeldBytes{}) {
				t.Errorf("%+v are counted after all jobs are forgotten", held)
			}
			runtime.KeepAlive(rows)
		})
	}
}
