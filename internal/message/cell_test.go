package message

import (
	"net/netip"
	"testing"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/admission"
	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// TestCellMessagesKeepEveryField does the same for the messages between the hosts of a
// cell.
func TestCellMessagesKeepEveryField(t *testing.T) {
	const id = workload.JobID("00000000000000e1")
	addr := netip.MustParseAddrPort("10.0.0.1:8166")
	step := workload.StepID{Job: id, Occurrence: 1, Step: 2}
	checkRoundTrip(t, HostPing{Addr: addr, OwnEpoch: 1, Incarnation: "i", KnownEpoch: 2, Manifest: 3}, EncodeHostPing, DecodeHostPing)
	pong := OwnerPong{
		Owning: true, OwnerAddr: addr, OwnerIncarnation: "i", Epoch: 1, Hosts: []netip.AddrPort{addr},
		SinceRenewal: time.Second, Manifest: 2, NewerManifest: []byte("m"),
		Admission: admission.Decision{Priorities: []admission.Refusal{{Priority: 1, RetryAfter: time.Second}}, LongRunning: time.Second},
	}
	checkRoundTrip(t, pong, EncodeOwnerPong, DecodeOwnerPong, ownerPongCodec.encode(pong))
	checkRoundTrip(t, StepAdviceRequest{Step: step, Workers: []cell.WorkerID{"w"}, Timeout: time.Second}, EncodeStepAdviceRequest, DecodeStepAdviceRequest)
	checkRoundTrip(t, StepAdvice{Failed: true, Valid: time.Second, Allowed: []cell.Ticket{{Worker: "w", Value: "v"}}}, EncodeStepAdvice, DecodeStepAdvice)
	checkRoundTrip(t, IntakeNotice{Job: []byte("j"), Cancelled: id}, EncodeIntakeNotice, DecodeIntakeNotice)
	checkRoundTrip(t, RelayedSubmit{Job: []byte("j"), Timeout: time.Second}, EncodeRelayedSubmit, DecodeRelayedSubmit)
	checkRoundTrip(t, RelayedCancel{ID: id, Timeout: time.Second, Queue: "q"}, EncodeRelayedCancel, DecodeRelayedCancel)
	checkRoundTrip(t, RelayReply{Outcome: RelayTaken}, EncodeRelayReply, DecodeRelayReply)
	checkRoundTrip(t, JobLookup{ID: id, Queue: "q"}, EncodeJobLookup, DecodeJobLookup)
	checkRoundTrip(t, JobLookupReply{Known: true, State: workload.StateFailed, Cause: workload.CauseCrashes}, EncodeJobLookupReply, DecodeJobLookupReply,
		jobLookupReplyCodec.encode(JobLookupReply{Known: true, State: workload.StateFailed}))
	checkRoundTrip(t, QueueLookup{Queue: "q"}, EncodeQueueLookup, DecodeQueueLookup)
	checkRoundTrip(t, QueueLookupReply{Pending: 1}, EncodeQueueLookupReply, DecodeQueueLookupReply)
	checkRoundTrip(t, CellLookup{Job: id}, EncodeCellLookup, DecodeCellLookup)
	checkRoundTrip(t, CellLookupReply{Document: []byte("d")}, EncodeCellLookupReply, DecodeCellLookupReply)
}

// Hosts of earlier releases decode the first value of the body, and send no other.
func TestEarlierReleasesReadPongsWithRefusals(t *testing.T) {
	p := EncodeOwnerPong(OwnerPong{Owning: true, Epoch: 4, Admission: admission.Decision{LongRunning: time.Second}})
	if got, err := ownerPongCodec.decode(p); err != nil || !got.Owning || got.Epoch != 4 {
		t.Errorf("an earlier release reads %+v, %v", got, err)
	}
	if got, err := DecodeOwnerPong(ownerPongCodec.encode(OwnerPong{Owning: true})); err != nil || !got.Owning || got.Admission.LongRunning > 0 {
		t.Errorf("an earlier pong is read as %+v, %v", got, err)
	}
}

// Hosts of earlier releases know only the forms without a queue.
func TestMessagesWithoutAQueueKeepTheirForm(t *testing.T) {
	lookup := EncodeJobLookup(JobLookup{ID: "00000000000000e1"})
	if got, err := DecodeJobLookup(lookup); lookup.Kind != KindJobLookup || err != nil || got.ID != "00000000000000e1" {
		t.Errorf("kind %d, %+v, %v", lookup.Kind, got, err)
	}
	cancel := EncodeRelayedCancel(RelayedCancel{ID: "00000000000000e1", Timeout: time.Second})
	if got, err := DecodeRelayedCancel(cancel); cancel.Kind != KindRelayedCancel || err != nil || got.Timeout != time.Second {
		t.Errorf("kind %d, %+v, %v", cancel.Kind, got, err)
	}
}

// Hosts of earlier releases decode the first value of the body.
func TestEarlierReleasesReadTheStateOfAFailedJob(t *testing.T) {
	p := EncodeJobLookupReply(JobLookupReply{Known: true, State: workload.StateFailed, Cause: workload.CauseCrashes})
	if got, err := jobLookupReplyCodec.decode(p); err != nil || got.State != workload.StateFailed || !got.Known {
		t.Errorf("an earlier release reads %+v, %v", got, err)
	}
}
