package host

import (
	"context"
	"time"

	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/ledger"
	"cicadabarrow.example/cicadabarrow/internal/message"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// noticeTimeout bounds the call that notifies the owner of one row. If the
// notice is lost, the owner still receives the row through the store's change
// feed.
const noticeTimeout = 500 * time.Millisecond

// notifyAccepted notifies the owner of an accepted job that is durable.
func (h *Host) notifyAccepted(job cell.AcceptedJob) {
	if ready := h.readyOwner(); ready != nil {
		ready.JobAccepted(job)
		return
	}
	value, err := ledger.EncodeJob(job)
	if err != nil {
		h.log.Error("cannot encode a job for the owner", zap.String("Job", string(job.Job.ID)), zap.Error(err))
		return
	}
	h.notifyOwner(message.IntakeNotice{Job: value})
}

// notifyCancelled notifies the owner of a cancel that is durable.
func (h *Host) notifyCancelled(id workload.JobID) {
	if ready := h.readyOwner(); ready != nil {
		ready.JobCancelled(id)
		return
	}
	h.notifyOwner(message.IntakeNotice{Cancelled: id})
}

func (h *Host) notifyOwner(notice message.IntakeNotice) {
	addr := h.remoteOwnerAddr()
	if !addr.IsValid() {
		return
	}
	h.background.Go(func() {
		ctx, cancel := context.WithTimeout(h.ctx, noticeTimeout)
		defer cancel()
		if _, _, err := h.peers.Ask(ctx, addr, message.EncodeIntakeNotice(notice)); err != nil {
			h.log.Debug("cannot notify the owner", zap.Error(err))
		}
	})
}

// handleIntakeNotice applies the notice of another host if this host is the
// ready owner, and drops it otherwise.
func (h *Host) handleIntakeNotice(notice message.IntakeNotice) {
	ready := h.readyOwner()
	if ready == nil {
		return
	}
	if notice.Cancelled != "" {
		ready.JobCancelled(notice.Cancelled)
		return
	}
	job, err := ledger.DecodeJob(notice.Job)
	if err != nil {
		h.log.Warn("cannot decode the notice of a job", zap.Error(err))
		return
	}
	ready.JobAccepted(job)
}
