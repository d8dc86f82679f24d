package message

import (
	"bytes"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/job"
	"cicadabarrow.example/cicadabarrow/internal/peer"
)

var spec = job.Spec{
	ID: "edition-7", Team: "editorial", Name: "edition", Kind: job.KindAllAtOnce, Priority: job.PriorityUrgent, Tasks: 3,
	Size: job.Size{MilliCores: 1500, MemoryMB: 2048, Accelerators: 1}, RunTime: 90 * time.Second,
	DataCentre: "centro-a", Replayable: true, MaxAttempts: 4,
}

// checkRoundTrip encodes a message and checks that it decodes to the same
// value. Every field must be set, so that its codec is tested. It also checks
// that a truncated body and a body of another kind are rejected.
//
// earlier are the forms in which earlier releases send the message. They alone may
// be decodable beginnings of it.
func checkRoundTrip[M any](
	t *testing.T, m M, encode func(M) peer.Message, decode func(peer.Message) (M, error), earlier ...peer.Message,
) {
	t.Helper()
	v := reflect.ValueOf(m)
	for i := range v.NumField() {
		if v.Field(i).IsZero() {
			t.Fatalf("%T: field %s is not set, so its codec is not tested", m, v.Type().Field(i).Name)
		}
	}
	sent := encode(m)
	got, err := decode(sent)
	if err != nil {
		t.Fatalf("%T: %v", m, err)
	}
	if !reflect.DeepEqual(got, m) {
		t.Fatalf("%T: got %+v; want %+v", m, got, m)
	}
	for n := range sent.Body {
		begin := sent.Body[:n]
		isEarlier := slices.ContainsFunc(earlier, func(p peer.Message) bool { return bytes.Equal(p.Body, begin) })
		if _, err := decode(peer.Message{Kind: sent.Kind, Body: begin}); (err == nil) != isEarlier {
			t.Fatalf("%T: the first %d of %d bytes decode with error %v; earlier form: %v", m, n, len(sent.Body), err, isEarlier)
		}
	}
	if _, err := decode(peer.Message{Kind: sent.Kind + 1, Body: sent.Body}); err == nil {
		t.Fatalf("%T: a message of another kind decodes without an error", m)
	}
}

// TestMessagesKeepEveryField checks that encoding and decoding keeps every
// field of the messages listed here.
func TestMessagesKeepEveryField(t *testing.T) {
	revisions := []TeamRevision{{Team: "payments", Revision: 7}}
	checkRoundTrip(t, PromiseRequest{Unjournaled: true}, EncodePromiseRequest, DecodePromiseRequest)
	checkRoundTrip(t, Promise{Granted: true, Unjournaled: true}, EncodePromise, DecodePromise)
	checkRoundTrip(t, FenceConsentRequest{Incarnation: "a", Version: 2}, EncodeFenceConsentRequest, DecodeFenceConsentRequest)
	checkRoundTrip(t, FenceConsent{Granted: true, Unjournaled: true}, EncodeFenceConsent, DecodeFenceConsent)
	checkRoundTrip(t, PlanDigest{MaxRevision: 1, Sum: 2, Revisions: revisions}, EncodePlanDigest, DecodePlanDigest)
	checkRoundTrip(t, PlanSections{Same: true, Sections: [][]byte{{1}}}, EncodePlanSections, DecodePlanSections)
	checkRoundTrip(t, Request{
		Stage: StageGroupOwner, ID: "i", Service: "s", Unit: "u", Team: "t", Caller: "c", Key: "k", Idempotent: true, Urgent: true,
		Timeout: time.Second, Method: "POST", Path: "/p", Body: []byte("b"),
	}, EncodeRequest, DecodeRequest)
	checkRoundTrip(t, Answer{
		ID: "i", Outcome: OutcomeNotRun, Status: 200, Body: []byte("b"), Reason: "r", RetryAfter: time.Second,
	}, EncodeAnswer, DecodeAnswer)
	checkRoundTrip(t, FreeSlots{Groups: []GroupSlots{{Unit: "u", Free: 1, Waiting: 2}}}, EncodeFreeSlots, DecodeFreeSlots)
	checkRoundTrip(t, BurnQuery{}, EncodeBurnQuery, DecodeBurnQuery)
	checkRoundTrip(t, BurnAnswer{Host: "h", Objectives: []ObjectiveBurn{{
		Team: "t", Name: "n", Since: time.Second, Window: BurnCounts{Good: 1, Bad: 2}, Minutes: []BurnCounts{{Good: 3, Bad: 4}},
	}}}, EncodeBurnAnswer, DecodeBurnAnswer)
	checkRoundTrip(t, KeyHandoff{Unit: "u", Epoch: 3, From: time.UnixMilli(5)}, EncodeKeyHandoff, DecodeKeyHandoff)
	checkRoundTrip(t, KeyHandoffAck{}, EncodeKeyHandoffAck, DecodeKeyHandoffAck)
	checkRoundTrip(t, FreeSlotsAck{}, EncodeFreeSlotsAck, DecodeFreeSlotsAck)
	checkRoundTrip(t, Submit{Spec: spec}, EncodeSubmit, DecodeSubmit)
	checkRoundTrip(t, Submitted{
		Outcome: OutcomeUnknown, Reason: "r", Invalid: true, RetryAfter: time.Second, State: job.StateDone,
	}, EncodeSubmitted, DecodeSubmitted)
	checkRoundTrip(t, Cancel{ID: "i", Team: "t", Name: "n"}, EncodeCancel, DecodeCancel)
	checkRoundTrip(t, Cancelled{Jobs: []string{"j"}, Reason: "r"}, EncodeCancelled, DecodeCancelled)
	checkRoundTrip(t, JobQuery{ID: "i", Team: "t", Name: "n"}, EncodeJobQuery, DecodeJobQuery)
	checkRoundTrip(t, JobAnswer{Jobs: []JobStatus{{
		Spec: spec, State: job.StateDone, Waiting: 1, Running: 2, Ended: 3, Message: "m",
	}}}, EncodeJobAnswer, DecodeJobAnswer)
	checkRoundTrip(t, WorkersAnswer{Workers: []WorkerStatus{{
		Name: "w", Rack: "r", Capacity: spec.Size, Used: spec.Size, Tasks: 1, Schedulable: true, Leaving: true, Cordoned: true,
		UnreachableFor: time.Second, Quarantined: true,
	}}}, EncodeWorkersAnswer, DecodeWorkersAnswer)
	checkRoundTrip(t, Cordon{Worker: "w", Closed: true, Quarantine: true}, EncodeCordon, DecodeCordon)
	checkRoundTrip(t, Cordoned{Reason: "r"}, EncodeCordoned, DecodeCordoned)
	checkRoundTrip(t, StatusAnswer{Name: "n", DataCentre: "d", Revisions: revisions, Units: []string{"pool"}}, EncodeStatusAnswer, DecodeStatusAnswer)
}

func TestDeeplyNestedMessagesAreRejected(t *testing.T) {
	nested := append(bytes.Repeat([]byte{0x91}, 1_000_000), 0x90)
	if _, err := DecodeHostPing(peer.Message{Kind: KindHostPing, Body: nested}); !fault.Is(err, KindMalformed) || !strings.Contains(err.Error(), "nested") {
		t.Errorf("a ping: %v", err)
	}
	withCause := slices.Concat(jobLookupReplyCodec.encode(JobLookupReply{Known: true}).Body, nested)
	if _, err := DecodeJobLookupReply(peer.Message{Kind: KindJobLookupReply, Body: withCause}); !fault.Is(err, KindMalformed) || !strings.Contains(err.Error(), "nested") {
		t.Errorf("the cause of a reply: %v", err)
	}
}
