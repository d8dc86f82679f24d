package entry

import (
	"context"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/lease"
	"cicadabarrow.example/cicadabarrow/internal/message"
	"cicadabarrow.example/cicadabarrow/internal/peer"
)

// Handle serves the calls of peers.
func (h *Host) Handle(ctx context.Context, from peer.Host, m peer.Message) (peer.Message, error) {
	select {
	case <-h.built:
	case <-ctx.Done():
		return peer.Message{}, ctx.Err()
	}
	switch m.Kind {
	case message.KindPromiseRequest, message.KindFenceConsentRequest:
		return h.handleLease(ctx, from, m)
	case message.KindPlanDigest, message.KindStatusQuery:
		return h.handlePlan(m)
	case message.KindBurnQuery:
		return message.EncodeBurnAnswer(h.localBurn()), nil
	case message.KindKeyHandoff:
		k, err := message.DecodeKeyHandoff(m)
		if err != nil {
			return peer.Message{}, err
		}
		h.keyHandoffs.Receive(k)
		return message.EncodeKeyHandoffAck(message.KeyHandoffAck{}), nil
	case message.KindFreeSlots:
		r, err := message.DecodeFreeSlots(m)
		if err != nil {
			return peer.Message{}, err
		}
		h.requests.slots.Receive(r)
		return message.EncodeFreeSlotsAck(message.FreeSlotsAck{}), nil
	case message.KindRequest:
		r, err := message.DecodeRequest(m)
		if err != nil {
			return peer.Message{}, err
		}
		a, err := h.requests.Serve(ctx, from, r)
		return message.EncodeAnswer(a), err
	}
	return h.handleJobs(ctx, from, m)
}

func (h *Host) handleLease(ctx context.Context, from peer.Host, m peer.Message) (peer.Message, error) {
	if m.Kind == message.KindPromiseRequest {
		request, err := message.DecodePromiseRequest(m)
		if err != nil {
			return peer.Message{}, err
		}
		granted, err := h.leases.ServePromiseRequest(ctx, lease.Incarnation(from.Incarnation), request.Unjournaled)
		return message.EncodePromise(message.Promise{Granted: granted, Unjournaled: request.Unjournaled}), err
	}
	request, err := message.DecodeFenceConsentRequest(m)
	if err != nil {
		return peer.Message{}, err
	}
	consent, err := h.leases.ServeFenceConsentRequest(ctx, lease.Incarnation(request.Incarnation), request.Version)
	return message.EncodeFenceConsent(consent), err
}

func (h *Host) handlePlan(m peer.Message) (peer.Message, error) {
	if m.Kind == message.KindStatusQuery {
		return message.EncodeStatusAnswer(h.Status()), nil
	}
	d, err := message.DecodePlanDigest(m)
	if err != nil {
		return peer.Message{}, err
	}
	s, err := h.plans.ServeDigest(d)
	return message.EncodePlanSections(s), err
}

func (h *Host) handleJobs(ctx context.Context, from peer.Host, m peer.Message) (peer.Message, error) {
	dataCentre := h.location.DataCentre
	switch m.Kind {
	case message.KindSubmit:
		s, err := message.DecodeSubmit(m)
		if err != nil {
			return peer.Message{}, err
		}
		return message.EncodeSubmitted(h.jobs.ServeSubmit(ctx, from, s.Spec)), nil
	case message.KindJobQuery:
		q, err := message.DecodeJobQuery(m)
		if err != nil {
			return peer.Message{}, err
		}
		jobs, err := h.jobs.List(ctx, dataCentre, q)
		return message.EncodeJobAnswer(message.JobAnswer{Jobs: jobs}), err
	case message.KindCancel:
		c, err := message.DecodeCancel(m)
		if err != nil {
			return peer.Message{}, err
		}
		out := message.Cancelled{}
		if out.Jobs, err = h.jobs.Cancel(ctx, dataCentre, c); err != nil {
			out.Reason = err.Error()
		}
		return message.EncodeCancelled(out), nil
	case message.KindWorkersQuery:
		workers, err := h.jobs.Workers(ctx, dataCentre)
		return message.EncodeWorkersAnswer(message.WorkersAnswer{Workers: workers}), err
	case message.KindCordon:
		c, err := message.DecodeCordon(m)
		if err != nil {
			return peer.Message{}, err
		}
		var out message.Cordoned
		if err := h.jobs.Cordon(ctx, dataCentre, c); err != nil {
			out.Reason = err.Error()
		}
		return message.EncodeCordoned(out), nil
	}
	return peer.Message{}, fault.New("handle", KindMalformed, "message of kind %d", m.Kind)
}
