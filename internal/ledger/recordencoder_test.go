package ledger_test

import (
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/ledger"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

var (
	anyText   = rapid.StringOfN(rapid.RuneFrom([]rune("ab1-")), 0, 40, -1)
	anyNumber = rapid.IntRange(0, 1<<40)
	anyCrash  = rapid.Custom(func(t *rapid.T) cell.Crash {
		flag := func() bool { return rapid.Bool().Draw(t, "flag") }
		return cell.Crash{Run: anyNumber.Draw(t, "run"), JustStarted: flag(), Alone: flag(), Accepted: flag(), SentListed: flag()}
	})
	anyLostRun = rapid.Custom(func(t *rapid.T) cell.LostRun {
		return cell.LostRun{
			Crash: anyCrash.Draw(t, "crash"), Machine: anyText.Draw(t, "machine"),
			Incarnation: cell.Incarnation(rapid.Int64().Draw(t, "incarnation")),
		}
	})
	anyRange = rapid.Custom(func(t *rapid.T) cell.RunRange {
		return cell.RunRange{First: anyNumber.Draw(t, "first"), Last: anyNumber.Draw(t, "last")}
	})
	anyTask = rapid.Custom(func(t *rapid.T) cell.TaskRecord {
		return cell.TaskRecord{
			LastRun: anyNumber.Draw(t, "last"), FailedRuns: listOf(t, anyNumber), Checkpoint: anyText.Draw(t, "checkpoint"),
			Worker: cell.WorkerID(anyText.Draw(t, "worker")), Run: anyNumber.Draw(t, "run"),
		}
	})
)

// listOf draws a list, which is nil if it is empty.
func listOf[T any](t *rapid.T, of *rapid.Generator[T]) []T {
	if list := rapid.SliceOfN(of, 0, 20).Draw(t, "list"); len(list) > 0 {
		return list
	}
	return nil
}

// supplemented adds what only the supplement holds.
func supplemented(t *rapid.T, r cell.TaskRecord) cell.TaskRecord {
	r.Machine = "m" + anyText.Draw(t, "machine")
	r.Incarnation = cell.Incarnation(rapid.Int64().Draw(t, "incarnation"))
	r.Crashes, r.Lost, r.Accepted = listOf(t, anyCrash), listOf(t, anyLostRun), rapid.Bool().Draw(t, "accepted")
	r.NotStarted = listOf(t, anyRange)
	return r
}

func TestAnyRecordIsReadAsWritten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := cell.Record{
			Job: workload.JobID(anyText.Draw(t, "job")), Revision: rapid.Uint64().Draw(t, "revision"),
			State: rapid.SampledFrom([]workload.State{workload.StateQueued, workload.StateRunning}).Draw(t, "state"),
			Cause: rapid.SampledFrom([]workload.Cause{workload.CauseNone, workload.CauseCrashes}).Draw(t, "cause"),
		}
		r.Occurrences = make([][]cell.StepRecord, rapid.IntRange(0, 3).Draw(t, "occurrences"))
		for k := range r.Occurrences {
			r.Occurrences[k] = make([]cell.StepRecord, rapid.IntRange(0, 3).Draw(t, "steps"))
			for i := range r.Occurrences[k] {
				s := cell.StepRecord{FailedRuns: listOf(t, anyNumber), Tasks: make([]cell.TaskRecord, rapid.IntRange(0, 20).Draw(t, "tasks"))}
				for n := range s.Tasks {
					s.Tasks[n] = anyTask.Draw(t, "task")
					if rapid.Bool().Draw(t, "supplemented") {
						s.Tasks[n] = supplemented(t, s.Tasks[n])
					}
					if s.Tasks[n].Done = rapid.Bool().Draw(t, "done"); s.Tasks[n].Done {
						s.Tasks[n].Checkpoint = ""
					}
				}
				r.Occurrences[k][i] = s
			}
		}
		value, err := ledger.EncodeRecord(r)
		if err != nil {
			t.Fatal(err)
		}
		if read, err := ledger.DecodeRecord(value); err != nil || !reflect.DeepEqual(read, r) {
			t.Fatalf("read %+v, %v\nwritten %+v", read, err, r)
		}
	})
}

// The checkpoints of done tasks would fill most of the record of a large job.
func TestDoneTasksAreWrittenWithoutCheckpoint(t *testing.T) {
	r := cell.Record{Job: "00000000000000a1", State: workload.StateRunning}
	r.Occurrences = [][]cell.StepRecord{{{Tasks: []cell.TaskRecord{{Done: true, LastRun: 1, Checkpoint: "c"}, {LastRun: 1, Checkpoint: "d"}}}}}
	value, err := ledger.EncodeRecord(r)
	if err != nil {
		t.Fatal(err)
	}
	read, err := ledger.DecodeRecord(value)
	if tasks := read.Occurrences[0][0].Tasks; err != nil || tasks[0].Checkpoint != "" || tasks[1].Checkpoint != "d" {
		t.Errorf("read %+v, %v", read, err)
	}
}
