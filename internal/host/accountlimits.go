package host

import (
	"context"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/account"
	"cicadabarrow.example/cicadabarrow/internal/admission"
	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// checkCap returns a KindInvalid error if a task or a gang of a job never fits under the
// cap of its account. The job may have been accepted before the cap was lowered; then it
// returns errRepeated.
func (h *Host) checkCap(ctx context.Context, queue *manifest.Queue, client manifest.Client, job *workload.Job) error {
	terms := client.Account
	tooLarge := account.CanFit(terms, job)
	if tooLarge == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, repeatLookupTimeout)
	defer cancel()
	found, err := h.intake.Find(ctx, job.ID)
	switch {
	case err != nil:
		return fault.New("submit", KindUnknown, "%w", err)
	case found.In(client.Scope(queue.Name)):
		return errRepeated
	}
	h.scope.Counter("jobs_above_cap").Inc(1)
	h.accountRefusals.add(terms.Name)
	h.log.Info("job refused, since it never fits under the cap of its account", zap.String("Job", string(job.ID)),
		zap.String("Account", terms.Name), zap.Any("Cap", terms.Cap), zap.Uint64("Manifest", h.manifestVersion()), zap.Error(tooLarge))
	return fault.New("submit", KindInvalid, "%w", tooLarge)
}

// checkExcess returns a KindOverloaded error if a job is refused because its account is
// ahead of its rate while the cell is short of capacity. It returns errRepeated if the job
// has been accepted before.
func (h *Host) checkExcess(ctx context.Context, queue *manifest.Queue, client manifest.Client, job *workload.Job) error {
	terms := client.Account
	decision, age := h.currentAdmission()
	retry, refused := decision.RefusesExcess(admission.Job{
		Service: queue.Service, Priority: queue.Priority, LongRunning: job.LongRunning(), Slack: cell.StartSlack(job, queue), Account: terms.Name,
	})
	if !refused {
		return nil
	}
	if mayRefuse, err := h.mayRefuse(ctx, client.Scope(queue.Name), job); !mayRefuse {
		return err
	}
	h.scope.Counter("jobs_refused").Inc(1)
	h.accountRefusals.add(terms.Name)
	h.log.Info("job refused, since its account is ahead of its rate and the cell is short of capacity", zap.String("Job", string(job.ID)),
		zap.String("Account", terms.Name), zap.Float64("Weight", terms.Weight), zap.Duration("Excess", retry), zap.String("Queue", queue.Name),
		zap.String("Service", queue.Service), zap.Uint64("Manifest", h.manifestVersion()), zap.Duration("Age", age))
	return fault.New("submit", KindOverloaded, "%w", &OverloadError{Queue: queue.Name, Account: terms.Name, RetryAfter: retry})
}
