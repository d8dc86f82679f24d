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

// noticeTimeout bounds the telling of one row. What is not heard comes with the
// store's feed.
const noticeTimeout = 500 * time.Millisecond

// notifyAccepted tells the owner of a job that is durable.
func (h *Host) notifyAccepted(a cell.Accepted) {
	if own := h.readyOwner(); own != nil {
		own.JobAccepted(a)
		return
	}
	value, err := ledger.EncodeJob(a)
	if err != nil {
		h.log.Error("a job cannot be encoded", zap.String("Job", string(a.Job.ID)), zap.Error(err))
		return
	}
	h.notifyOwner(message.IntakeNotice{Job: value})
}

// notifyCancelled tells the owner of a cancel that is durable.
func (h *Host) notifyCancelled(id workload.JobID) {
	if own := h.readyOwner(); own != nil {
		own.JobCancelled(id)
		return
	}
	h.notifyOwner(message.IntakeNotice{Cancelled: id})
}

func (h *Host) notifyOwner(news message.IntakeNotice) {
	at := h.remoteOwnerAddr()
	if !at.IsValid() {
		return
	}
	h.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(h.ctx, noticeTimeout)
		defer cancel()
		if _, _, err := h.peers.Ask(ctx, at, message.EncodeIntakeNotice(news)); err != nil {
			h.log.Debug("the owner was not told", zap.Error(err))
		}
	})
}

// handleIntakeNotice takes in the news of another host, if this one owns the cell.
func (h *Host) handleIntakeNotice(news message.IntakeNotice) {
	own := h.readyOwner()
	if own == nil {
		return
	}
	if news.Cancelled != "" {
		own.JobCancelled(news.Cancelled)
		return
	}
	a, err := ledger.DecodeJob(news.Job)
	if err != nil {
		h.log.Warn("news of a job cannot be read", zap.Error(err))
		return
	}
	own.JobAccepted(a)
}
