package host

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/admission"
	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/election"
	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/message"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

const (
	// admissionMaxAge is the age at which what the owner said about new jobs no
	// longer counts. A host that does not hear from the owner refuses nothing.
	admissionMaxAge = 3 * time.Second
	// repeatLookupTimeout bounds the look for a job that is to be refused.
	repeatLookupTimeout = 500 * time.Millisecond
)

// OverloadError is the cause of a KindOverloaded error.
type OverloadError struct {
	Queue string
	// Account is set if the job is refused because its account is ahead of its rate.
	Account string
	// RetryAfter is when the backlog should be worked off, or the excess of the account.
	RetryAfter time.Duration
}

// Error names the queue or the account.
func (e *OverloadError) Error() string {
	if e.Account != "" {
		return fmt.Sprintf("account %s submits jobs faster than its rate, and the cell is short of capacity", e.Account)
	}
	return fmt.Sprintf("queue %s has more work than the cell can start in time", e.Queue)
}

// ownerAdmission is what the owner last said about new jobs, and when.
type ownerAdmission struct {
	decision admission.Decision
	at       time.Time
	// rowVersion is the latest version of the owner's row that was read.
	rowVersion uint64
}

// notePongAdmission records what a pong says about new jobs. The caller holds the lock.
func (h *Host) notePongAdmission(pong message.OwnerPong) {
	if pong.Owning && pong.Epoch == h.lastOwner.epoch {
		h.admission.decision, h.admission.at = pong.Admission, h.timers.Now()
	}
}

// noteRowAdmission records what the owner's row says about new jobs. A row that was
// read before says nothing new. The caller holds the lock.
func (h *Host) noteRowAdmission(state election.State) {
	if state.Version > h.admission.rowVersion {
		h.admission = ownerAdmission{decision: state.Owner.Admission, at: h.timers.Now(), rowVersion: state.Version}
	}
}

// currentAdmission returns which new jobs the owner refuses, and how old that is.
func (h *Host) currentAdmission() (admission.Decision, time.Duration) {
	if running := h.runningOwner(); running != nil {
		return running.Admission(), 0
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	age := h.timers.Now().Sub(h.admission.at)
	if age > admissionMaxAge {
		return admission.Decision{}, age
	}
	return h.admission.decision, age
}

// errRepeated means that a job that would be refused has been accepted before.
var errRepeated = errors.New("the job was accepted before")

// mayRefuse reports whether a job has not been accepted before. If it has, it returns
// errRepeated.
func (h *Host) mayRefuse(ctx context.Context, scope manifest.JobScope, job *workload.Job) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, repeatLookupTimeout)
	defer cancel()
	found, err := h.intake.Find(ctx, job.ID)
	switch {
	case err != nil:
		h.log.Warn("job not refused, since it may have been accepted before", zap.String("Job", string(job.ID)), zap.Error(err))
		return false, nil
	case found.In(scope):
		return false, errRepeated
	case found.Known, found.Tombstone.Covers(scope.Queue, scope.Account):
		return false, nil // Submit tells that the ID is taken, or the job cancelled
	}
	return true, nil
}

// checkAdmission returns a KindOverloaded error if a job is refused since the cell
// cannot keep up. A repeated submission must not be told so: the job runs. It returns
// errRepeated for it. If that cannot be found out, the job is not refused.
func (h *Host) checkAdmission(ctx context.Context, queue *manifest.Queue, client manifest.Client, job *workload.Job) error {
	decision, age := h.currentAdmission()
	slack := cell.StartSlack(job, queue)
	retry, refused := decision.Refuses(admission.Job{
		Service: queue.Service, Priority: queue.Priority, LongRunning: job.LongRunning(), Slack: slack,
	})
	if !refused {
		return nil
	}
	if mayRefuse, err := h.mayRefuse(ctx, client.Scope(queue.Name), job); !mayRefuse {
		return err
	}
	h.scope.Counter("jobs_refused").Inc(1)
	h.log.Info("job refused, since the cell cannot keep up", zap.String("Job", string(job.ID)), zap.String("Queue", queue.Name),
		zap.String("Service", queue.Service), zap.Duration("Slack", slack), zap.Int("Priority", queue.Priority), zap.Bool("LongRunning", job.LongRunning()), zap.Duration("RetryAfter", retry), zap.Duration("Age", age))
	return fault.New("submit", KindOverloaded, "%w", &OverloadError{Queue: queue.Name, RetryAfter: retry})
}
