package cell

import (
	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// The functions below build log fields. Every log entry that concerns a job has
// the field Job.

func jobField(j *jobState) zap.Field { return zap.String("Job", string(j.job.ID)) }

func stateField(s workload.State) zap.Field { return zap.String("State", string(s)) }

func workerField(w *worker) zap.Field { return zap.String("Worker", string(w.id)) }

// runFields returns the fields that identify a run, followed by more fields.
func runFields(r *run, more ...zap.Field) []zap.Field {
	identity := [...]zap.Field{
		zap.String("Job", string(r.task.id.Job)),
		zap.String("Task", r.task.id.String()),
		zap.Int("Run", r.number),
		zap.String("Worker", string(r.worker.id)),
	}
	out := make([]zap.Field, 0, len(identity)+len(more))
	return append(append(out, identity[:]...), more...)
}
