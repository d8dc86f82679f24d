package peer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
)

// TestImmediateCallDoesNotWaitBehindOthers guards against a host that takes the owner
// for silent, since the owner is serving as many other calls as it may.
func TestImmediateCallDoesNotWaitBehindOthers(t *testing.T) {
	const kindSlow, kindPing = 1, 2
	block := make(chan struct{})
	var arrived sync.WaitGroup
	arrived.Add(maxServing)
	handler := handlerFunc(func(_ context.Context, _ Host, m Message) (Message, error) {
		if m.Kind == kindSlow {
			arrived.Done()
			<-block
		}
		return m, nil
	})
	listen, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := New(Host{Name: "server", Incarnation: "server-1"}, listen, &net.Dialer{}, handler, tally.NoopScope, zap.NewNop(), Immediate(kindPing))
	t.Cleanup(server.Close)
	client, _ := start(t, "client", echo)
	to := netip.MustParseAddrPort(listen.Addr().String())
	var calls sync.WaitGroup
	for range maxServing {
		calls.Go(func() { _, _ = client.Call(t.Context(), to, Message{Kind: kindSlow}) })
	}
	arrived.Wait()
	if _, err := client.Call(t.Context(), to, Message{Kind: kindPing}); err != nil {
		t.Errorf("a ping while %d other calls are served: %v", maxServing, err)
	}
	close(block)
	calls.Wait()
}
