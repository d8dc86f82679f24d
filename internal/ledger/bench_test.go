package ledger_test

import (
	"fmt"
	"testing"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/ledger"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// BenchmarkEncodeRecord encodes the record of a job whose tasks all run.
func BenchmarkEncodeRecord(b *testing.B) {
	for _, tasks := range []int{1, 13, 200} {
		b.Run(fmt.Sprint(tasks), func(b *testing.B) {
			step := cell.StepRecord{Tasks: make([]cell.TaskRecord, tasks)}
			for i := range step.Tasks {
				step.Tasks[i] = cell.TaskRecord{LastRun: 1, Worker: "i-00000bb87a", Run: 1, Machine: "m-00000bb87a", Incarnation: 482113}
			}
			r := cell.Record{
				Job: "5c0e7a21d94b36f8", Revision: 7, State: workload.StateRunning, Occurrences: [][]cell.StepRecord{{step}},
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := ledger.EncodeRecord(r); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
