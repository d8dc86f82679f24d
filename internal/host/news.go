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

// newsTimeout bounds the telling of one row. What is not heard comes with the
// store's feed.
const newsTimeout = 500 * time.Millisecond

// tellAccepted tells the owner of a job that is durable.
func (h *Host) tellAccepted(a cell.AcceptedJob) {
	if own := h.owning(); own != nil {
		own.JobAccepted(a)
		return
	}
	value, err := ledger.EncodeJob(a)
	if err != nil {
		h.log.Error("a job cannot be encoded", zap.String("Job", string(a.Job.ID)), zap.Error(err))
		return
	}
	h.tell(message.IntakeNews{Job: value})
}

// tellCancelled tells the owner of a cancel that is durable.
func (h *Host) tellCancelled(id workload.JobID) {
	if own := h.owning(); own != nil {
		own.JobCancelled(id)
		return
	}
	h.tell(message.IntakeNews{Cancelled: id})
}

func (h *Host) tell(news message.IntakeNews) {
	at := h.ownerAddr()
	if !at.IsValid() {
		return
	}
	h.duties.Go(func() {
		ctx, cancel := context.WithTimeout(h.ctx, newsTimeout)
		defer cancel()
		if _, _, err := h.peers.Ask(ctx, at, message.EncodeIntakeNews(news)); err != nil {
			h.log.Debug("the owner was not told", zap.Error(err))
		}
	})
}

// hear takes in the news of another host, if this one owns the cell.
func (h *Host) hear(news message.IntakeNews) {
	own := h.owning()
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
