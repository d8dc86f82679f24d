package host

import (
	"math/rand/v2"
	"testing"

	"cicadabarrow.example/cicadabarrow/internal/manifest"
	"cicadabarrow.example/cicadabarrow/internal/message"
	"cicadabarrow.example/cicadabarrow/internal/peer"
)

// A malformed message must fail its call only. The owner must go on afterwards.
func TestMalformedPeerMessages(t *testing.T) {
	withCluster(t, func(t *testing.T, w *fakeCluster, owner *fakeHost) {
		random := rand.New(rand.NewPCG(22, 1))
		valid := [][]byte{
			message.EncodeHostPing(message.HostPing{Addr: owner.addr, Incarnation: "x"}).Body,
			message.EncodeJobLookup(message.JobLookup{ID: "00000000000000d1", Scope: manifest.JobScope{Queue: "q"}}).Body,
			message.EncodeJobLookup(message.JobLookup{ID: "00000000000000d1", Scope: manifest.JobScope{Account: "a", HasAccounts: true}}).Body,
			message.EncodeIntakeNotice(message.IntakeNotice{Job: []byte{0x99, 0x01}}).Body,
			message.EncodeWorkerHold(message.WorkerHold{WorkerCall: message.WorkerCall{Epoch: 1, Timeout: 1, Addr: owner.addr}}).Body,
			message.EncodeWorkerStart(message.WorkerStart{WorkerCall: message.WorkerCall{Epoch: 1, Timeout: 1, Addr: owner.addr}}).Body,
			message.EncodeWorkerStop(message.WorkerStop{WorkerCall: message.WorkerCall{Epoch: 1, Timeout: 1, Addr: owner.addr}}).Body,
		}
		for kind := range 256 {
			for range 200 {
				body := append([]byte(nil), valid[random.IntN(len(valid))]...)
				for range 1 + random.IntN(4) {
					body[random.IntN(len(body))] = byte(random.Uint32())
				}
				body = body[:random.IntN(len(body)+1)]
				m := peer.Message{Kind: uint8(kind), Body: body}
				_, _ = owner.host.Handle(t.Context(), peer.Host{Name: "other"}, m)
			}
		}
		if owners := w.owners(); len(owners) != 1 || owners[0] != owner {
			t.Errorf("%d owners after the malformed messages", len(owners))
		}
	})
}
