package message

import (
	"net/netip"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"cicadabarrow.example/cicadabarrow/internal/account"
	"cicadabarrow.example/cicadabarrow/internal/admission"
	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/peer"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// TestCellMessagesKeepEveryField does the same for the messages between the hosts of a
// cell.
func TestCellMessagesKeepEveryField(t *testing.T) {
	const id = workload.JobID("00000000000000e1")
	addr := netip.MustParseAddrPort("10.0.0.1:8166")
	step := workload.StepID{Job: id, Occurrence: 1, Step: 2}
	checkRoundTrip(t, HostPing{Addr: addr, OwnEpoch: 1, Incarnation: "i", KnownEpoch: 2, Manifest: 3, Relays: true, DataCentre: "dc", Cores: 0.2, HostsSum: 5, Refused: []AccountRefusals{{Account: "a", Jobs: 6}}, FetchesManifest: true}, EncodeHostPing, DecodeHostPing,
		hostPingCodec.encode(HostPing{Addr: addr, OwnEpoch: 1, Incarnation: "i", KnownEpoch: 2, Manifest: 3}))
	pong := OwnerPong{
		Owning: true, OwnerAddr: addr, OwnerIncarnation: "i", Epoch: 1, Hosts: []netip.AddrPort{addr}, SameHosts: true,
		SinceRenewal: time.Second, Manifest: 2, NewerManifest: []byte("m"), RelayEpoch: 1, RelayFor: time.Second, RowVersion: 4, ManifestAge: time.Minute,
		Admission: admission.Decision{
			Priorities: []admission.Refusal{{Priority: 1, RetryAfter: time.Second}}, LongRunning: time.Second,
			Services: []admission.ServiceRefusal{{Service: "s", LongRunning: true, Priority: 1, Wait: time.Hour, RetryAfter: time.Second}},
			Short:    []admission.ServiceShortage{{Service: "s", Wait: time.Second}},
			InExcess: []account.Excess{{Name: "a", For: time.Minute}},
		},
	}
	checkRoundTrip(t, pong, EncodeOwnerPong, DecodeOwnerPong, ownerPongCodec.encode(pong))
	checkRoundTrip(t, ManifestRequest{Version: 7}, EncodeManifestRequest, DecodeManifestRequest)
	checkRoundTrip(t, ManifestContent{Content: []byte("m")}, EncodeManifestContent, DecodeManifestContent)
	checkRoundTrip(t, StepAdviceRequest{Step: step, Workers: []cell.WorkerID{"w"}, Timeout: time.Second}, EncodeStepAdviceRequest, DecodeStepAdviceRequest)
	checkRoundTrip(t, StepAdvice{Failed: true, Valid: time.Second, Allowed: []cell.Ticket{{Worker: "w", Value: "v"}}}, EncodeStepAdvice, DecodeStepAdvice)
	checkRoundTrip(t, IntakeNotice{Job: []byte("j"), Cancelled: id}, EncodeIntakeNotice, DecodeIntakeNotice)
	checkRoundTrip(t, RelayedSubmit{Job: []byte("j"), Timeout: time.Second}, EncodeRelayedSubmit, DecodeRelayedSubmit)
	checkRoundTrip(t, RelayedCancel{ID: id, Timeout: time.Second, Scope: manifest.JobScope{Queue: "q"}}, EncodeRelayedCancel, DecodeRelayedCancel)
	accountScope := manifest.JobScope{Queue: "q", Account: "a", HasAccounts: true}
	checkRoundTrip(t, RelayedCancel{ID: id, Timeout: time.Second, Scope: accountScope}, EncodeRelayedCancel, DecodeRelayedCancel)
	checkRoundTrip(t, JobLookup{ID: id, Scope: accountScope}, EncodeJobLookup, DecodeJobLookup)
	checkRoundTrip(t, RelayReply{Outcome: RelayTaken}, EncodeRelayReply, DecodeRelayReply)
	checkRoundTrip(t, JobLookup{ID: id, Scope: manifest.JobScope{Queue: "q"}}, EncodeJobLookup, DecodeJobLookup)
	checkRoundTrip(t, JobLookupReply{Known: true, State: workload.StateFailed, Cause: workload.CauseCrashes}, EncodeJobLookupReply, DecodeJobLookupReply,
		jobLookupReplyCodec.encode(JobLookupReply{Known: true, State: workload.StateFailed}))
	checkRoundTrip(t, QueueLookup{Queue: "q"}, EncodeQueueLookup, DecodeQueueLookup)
	checkRoundTrip(t, QueueLookupReply{Pending: 1}, EncodeQueueLookupReply, DecodeQueueLookupReply)
	checkRoundTrip(t, CellLookup{Job: id}, EncodeCellLookup, DecodeCellLookup)
	checkRoundTrip(t, CellLookupReply{Document: []byte("d")}, EncodeCellLookupReply, DecodeCellLookupReply)
	task := workload.TaskID{StepID: step, Index: 3}
	order := WorkerCall{Epoch: 1, Timeout: time.Second, Addr: addr}
	checkRoundTrip(t, WorkerHold{WorkerCall: order, Request: cell.HoldRequest{
		Worker: "w", Addr: addr, Deadline: time.Minute, Acknowledged: 4, Wait: time.Second, EndsPending: true,
	}}, EncodeWorkerHold, DecodeWorkerHold)
	checkRoundTrip(t, WorkerStart{WorkerCall: order, SpecSum: 6, Start: cell.SendStart{
		Worker: "w", Task: task, Run: 5, Spec: "s", Deadline: time.Minute, Ticket: "t", Checkpoint: "c",
	}}, EncodeWorkerStart, DecodeWorkerStart)
	checkRoundTrip(t, WorkerStop{WorkerCall: order, Stop: cell.SendStop{Worker: "w", Task: task, Run: 5}}, EncodeWorkerStop, DecodeWorkerStop)
	checkRoundTrip(t, WorkerPace{WorkerCall: order, Pace: cell.SetPace{Worker: "w", Task: task, Run: 5, Percent: 6}}, EncodeWorkerPace, DecodeWorkerPace)
	result := WorkerResult{Failure: WorkerSilent, Error: "e"}
	checkRoundTrip(t, WorkerReport{WorkerResult: result, Report: cell.Report{
		Incarnation: 1, Clock: time.Minute, EndsTruncated: true,
		Running: []cell.Running{{Task: task, Run: 5, Checkpoint: "c", Percent: 6, Load: 7.5}},
		Ended:   []cell.Ended{{Number: 8, Task: task, Run: 5, Kind: cell.EndDone, Checkpoint: "c"}},
	}}, EncodeWorkerReport, DecodeWorkerReport)
	checkRoundTrip(t, WorkerStarted{WorkerResult: result, Outcome: cell.StartOutcome{
		Unknown: true, NotSent: true, Refused: cell.RefusedBusy, Clock: time.Minute,
	}}, EncodeWorkerStarted, DecodeWorkerStarted)
	checkRoundTrip(t, WorkerDone{WorkerResult: result, Clock: time.Minute}, EncodeWorkerDone, DecodeWorkerDone)
}

// Hosts of earlier releases decode the first value of the body, and send no other.
func TestEarlierReleasesReadPongsWithRefusals(t *testing.T) {
	p := EncodeOwnerPong(OwnerPong{Owning: true, Epoch: 4, Admission: admission.Decision{LongRunning: time.Second}})
	if got, err := ownerPongCodec.decode(p); err != nil || !got.Owning || got.Epoch != 4 {
		t.Errorf("an earlier release reads %+v, %v", got, err)
	}
	// The form of the second value in earlier releases.
	var earlier struct {
		Refusals []struct {
			_msgpack   struct{} `msgpack:",as_array"`
			Priority   int
			RetryAfter time.Duration
		} `msgpack:"refusals,omitempty"`
		LongRunning time.Duration `msgpack:"lasting,omitempty"`
	}
	p = EncodeOwnerPong(OwnerPong{Admission: admission.Decision{
		Priorities: []admission.Refusal{{Priority: 2, RetryAfter: time.Minute}}, LongRunning: time.Second,
		Services: []admission.ServiceRefusal{{Service: "s"}},
	}})
	if err := decodeExtension(p, &earlier); err != nil || len(earlier.Refusals) != 1 || earlier.Refusals[0].RetryAfter != time.Minute || earlier.LongRunning != time.Second {
		t.Errorf("an earlier release reads the refusals %+v, %v", earlier, err)
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

type earlierPing struct {
	_msgpack    struct{} `msgpack:",as_array"`
	Addr        string
	OwnEpoch    uint64
	Incarnation string
	Manifest    uint64
	KnownEpoch  uint64
}

type earlierPong struct {
	_msgpack         struct{} `msgpack:",as_array"`
	Owning           bool
	OwnerAddr        string
	OwnerIncarnation string
	Epoch            uint64
	Hosts            []string
	SinceRenewal     time.Duration
	Manifest         uint64
	NewerManifest    []byte
}

// Pings and pongs between this release and the ones before it must be read.
func TestPingsOfEarlierReleasesAreRead(t *testing.T) {
	addr := netip.MustParseAddrPort("10.0.0.1:8166")
	encode := func(v any) []byte {
		body, err := msgpack.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		return body
	}
	ping, err := DecodeHostPing(peer.Message{Kind: KindHostPing, Body: encode(earlierPing{Addr: addr.String(), KnownEpoch: 4})})
	if err != nil || ping.Addr != addr || ping.KnownEpoch != 4 || ping.Relays {
		t.Errorf("an earlier ping is read as %+v, %v", ping, err)
	}
	pong, err := DecodeOwnerPong(peer.Message{Kind: KindOwnerPong, Body: encode(earlierPong{Owning: true, Epoch: 4})})
	if err != nil || !pong.Owning || pong.Epoch != 4 || pong.RelayEpoch != 0 {
		t.Errorf("an earlier pong is read as %+v, %v", pong, err)
	}
	var oldPing earlierPing
	sent := EncodeHostPing(HostPing{Addr: addr, KnownEpoch: 4, Relays: true, DataCentre: "dc", Cores: 0.2})
	if err := msgpack.Unmarshal(sent.Body, &oldPing); err != nil || oldPing.Addr != addr.String() || oldPing.KnownEpoch != 4 {
		t.Errorf("an earlier release reads %+v, %v", oldPing, err)
	}
	var oldPong earlierPong
	sent = EncodeOwnerPong(OwnerPong{Owning: true, Epoch: 4, RelayEpoch: 4, RelayFor: time.Second})
	if err := msgpack.Unmarshal(sent.Body, &oldPong); err != nil || !oldPong.Owning || oldPong.Epoch != 4 {
		t.Errorf("an earlier release reads %+v, %v", oldPong, err)
	}
}

// Hosts of earlier releases must answer the calls of deployments without accounts, and must
// not answer those with an account, which they cannot compare.
func TestOnlyCallsWithAccountsHaveTheirForm(t *testing.T) {
	for _, c := range []struct {
		scope          manifest.JobScope
		lookup, cancel uint8
	}{
		{manifest.JobScope{}, KindJobLookup, KindRelayedCancel},
		{manifest.JobScope{Queue: "q"}, KindQueueJobLookup, KindQueueCancel},
		{manifest.JobScope{Queue: "q", Account: "a", HasAccounts: true}, KindAccountJobLookup, KindAccountCancel},
		{manifest.JobScope{Queue: "q", HasAccounts: true}, KindAccountJobLookup, KindAccountCancel},
	} {
		lookup := EncodeJobLookup(JobLookup{ID: "00000000000000e1", Scope: c.scope})
		if got, err := DecodeJobLookup(lookup); lookup.Kind != c.lookup || err != nil || got.Scope != c.scope {
			t.Errorf("%+v: kind %d, %+v, %v", c.scope, lookup.Kind, got, err)
		}
		cancel := EncodeRelayedCancel(RelayedCancel{ID: "00000000000000e1", Timeout: time.Second, Scope: c.scope})
		if got, err := DecodeRelayedCancel(cancel); cancel.Kind != c.cancel || err != nil || got.Scope != c.scope {
			t.Errorf("%+v: kind %d, %+v, %v", c.scope, cancel.Kind, got, err)
		}
	}
	if p := EncodeOwnerPong(OwnerPong{Owning: true}); len(p.Body) != len(ownerPongCodec.encode(OwnerPong{Owning: true}).Body) {
		t.Error("a pong without the age of the manifest has another form")
	}
}
