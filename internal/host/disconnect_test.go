package host

import (
	"context"
	"testing"
	"time"

	"cicadabarrow.example/cicadabarrow/internal/manifest"
)

// A client that closes its connection before its submission is written must not make a host
// refuse the next client. The host of the owner has no other host to ask for the write.
func TestClientThatDisconnectsCausesNoRefusals(t *testing.T) {
	withCluster(t, func(t *testing.T, _ *fakeCluster, owner *fakeHost) {
		queue := &manifest.Queue{Name: "q", Service: "s"}
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(storeLatency/2, cancel)
		if err := owner.host.Submit(ctx, queue, manifest.Client{}, testJob("00000000000000a1", false)); err == nil {
			t.Fatal("the client has not disconnected in time")
		}
		if err := owner.host.Submit(t.Context(), queue, manifest.Client{}, testJob("00000000000000a2", false)); err != nil {
			t.Errorf("the submission of the next client gives %v", err)
		}
	})
}
