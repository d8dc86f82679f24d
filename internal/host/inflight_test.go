package host

import (
	"context"
	"fmt"
	"testing"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/admission"
	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/message"
)

// A repeat may be refused while the first attempt is in flight in the store, which carries
// it out afterwards: the job then runs. A client must not have been told of all attempts
// that they were rejected. So the host that has written the job, or had the owner write it,
// must not answer as if it had not.
func TestSubmissionInFlightIsNotAnsweredAsRejected(t *testing.T) {
	const late, patience = 6 * time.Second, 2500 * time.Millisecond
	for _, tasks := range []int{1, 1000} { // the host asks the owner first about a large job
		for _, cut := range []bool{false, true} {
			t.Run(fmt.Sprint(tasks, " tasks, the owner is cut off: ", cut), func(t *testing.T) {
				withCluster(t, func(t *testing.T, w *fakeCluster, owner *fakeHost) {
					first, second := w.others(owner)
					for _, h := range []*fakeHost{first, owner} {
						w.lateCommits[h.name] = late
					}
					w.setCut(first, cut, owner.name)
					queue, job := &manifest.Queue{Name: "full", Priority: 2}, testJob("00000000000000a1", false)
					job.Steps[0].Tasks = tasks
					attempt := func(h *fakeHost) error {
						ctx, leave := context.WithTimeout(t.Context(), patience)
						defer leave()
						return h.host.Submit(ctx, queue, manifest.Client{}, job)
					}
					if err := attempt(first); !fault.Is(err, KindUnknown) {
						t.Errorf("the first attempt is answered %v", err)
					}
					w.setCut(second, true, owner.name)
					time.Sleep(pingTimeout)
					pong := message.OwnerPong{Owning: true, Epoch: w.ownerRow().Epoch}
					pong.Admission = admission.Decision{Priorities: []admission.Refusal{{Priority: 2, RetryAfter: 4 * time.Second}}}
					second.host.applyPong(pong)
					if err := attempt(second); !fault.Is(err, KindOverloaded) {
						t.Errorf("the repeat is answered %v", err)
					}
					time.Sleep(late)
					if !w.written(string(job.ID)) {
						t.Error("the first attempt was not carried out late")
					}
				})
			})
		}
	}
}
