package message

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/cell"
	"cicadabarrow.example/cicadabarrow/internal/peer"
	"cicadabarrow.example/cicadabarrow/internal/workload"
)

// BenchmarkOwnerMessages encodes what an owner sends for its calls to workers and for
// the pings of other hosts, and decodes what it receives.
func BenchmarkOwnerMessages(b *testing.B) {
	addr := netip.MustParseAddrPort("10.0.0.1:8166")
	call := WorkerCall{Epoch: 3, Timeout: time.Second, Addr: addr}
	task := workload.TaskID{StepID: workload.StepID{Job: "5c0e7a21d94b36f8", Step: 1}, Index: 7}
	running := cell.Running{Task: task, Run: 1, Checkpoint: "00000bb87a21d94b", Percent: 41, Load: 900}
	report := WorkerReport{Report: cell.Report{Incarnation: 482113, Clock: time.Minute, Running: []cell.Running{running, running, running, running}}}
	ping := HostPing{Addr: addr, Incarnation: "minami-1/5c0e7a21", KnownEpoch: 3, Manifest: 2, Relays: true, DataCentre: "minami", Cores: 0.8, HostsSum: 1 << 60}
	pong := OwnerPong{
		Owning: true, OwnerAddr: addr, OwnerIncarnation: "minami-2/5c0e7a21", Epoch: 3, SameHosts: true, SinceRenewal: time.Second,
		RowVersion: 4000, Manifest: 2, RelayEpoch: 3, RelayFor: time.Second,
	}
	encodings := map[string]func() peer.Message{
		"hold": func() peer.Message {
			return EncodeWorkerHold(WorkerHold{WorkerCall: call, Request: cell.HoldRequest{Worker: "i-00000bb87a", Addr: addr, Deadline: time.Hour, Wait: time.Second}})
		},
		"start": func() peer.Message {
			return EncodeWorkerStart(WorkerStart{WorkerCall: call, Start: cell.SendStart{
				Worker: "i-00000bb87a", Task: task, Run: 1, Spec: strings.Repeat("x", 100), Deadline: time.Hour, Ticket: "00000bb87a21d94b",
			}})
		},
		"pong": func() peer.Message { return EncodeOwnerPong(pong) },
	}
	for name, encode := range encodings {
		b.Run("encode/"+name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				encode()
			}
		})
	}
	benchmarkDecode(b, "report", EncodeWorkerReport(report), DecodeWorkerReport)
	benchmarkDecode(b, "started", EncodeWorkerStarted(WorkerStarted{Outcome: cell.StartOutcome{Clock: time.Minute}}), DecodeWorkerStarted)
	benchmarkDecode(b, "ping", EncodeHostPing(ping), DecodeHostPing)
}

func benchmarkDecode[M any](b *testing.B, name string, p peer.Message, decode func(peer.Message) (M, error)) {
	b.Run("decode/"+name, func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := decode(p); err != nil {
				b.Fatal(err)
			}
		}
	})
}
