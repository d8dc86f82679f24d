package account

import (
	"fmt"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// Kind classifies the errors of this package.
type Kind string

// KindTooLarge means that a job never fits under the cap of its account.
const KindTooLarge Kind = "TooLarge"

// CanFit returns an error if a task or a gang of a job is larger than the cap of its
// account, so that it would never be started.
func CanFit(terms manifest.Terms, j *workload.Job) error {
	for i := range j.Steps {
		s := &j.Steps[i]
		size, what := s.Size, "a task"
		if s.Gang {
			size, what = size.Times(int64(s.Tasks)), "the gang"
		}
		if room(terms.Cap, job.Size{}, size) == 0 {
			return fault.New("check cap", KindTooLarge, "step %d: %s needs %s; the cap of account %q is %s",
				i, what, describe(size), terms.Name, describe(terms.Cap))
		}
	}
	return nil
}

// describe formats a size for the message of an error.
func describe(s job.Size) string {
	return fmt.Sprintf("%d millicores, %d MB and %d accelerators", s.MilliCores, s.MemoryMB, s.Accelerators)
}
