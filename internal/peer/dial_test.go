package peer

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/fault"
)

// unresponsiveDialer connects to a peer that sends nothing. If reads is set, the
// peer reads one hello.
type unresponsiveDialer struct {
	reads bool
	conns chan net.Conn
}

func (d unresponsiveDialer) DialContext(context.Context, string, string) (net.Conn, error) {
	local, remote := net.Pipe()
	if d.reads {
		go func() { _, _ = remote.Read(make([]byte, maxHello)) }()
	}
	d.conns <- remote
	return local, nil
}

// idleListener never accepts a connection.
type idleListener struct {
	net.Listener
	closed chan struct{}
}

func (l idleListener) Accept() (net.Conn, error) {
	<-l.closed
	return nil, net.ErrClosed
}

func (l idleListener) Close() error {
	close(l.closed)
	return nil
}

// withUnresponsivePeer runs a test in virtual time with a transport whose peers
// accept connections but send nothing.
func withUnresponsivePeer(t *testing.T, reads bool, test func(t *testing.T, n *Transport)) {
	synctest.Test(t, func(t *testing.T) {
		dialer := unresponsiveDialer{reads: reads, conns: make(chan net.Conn, 8)}
		self := Host{Name: "client", Incarnation: "client-1"}
		n := New(self, idleListener{closed: make(chan struct{})}, dialer, handlerFunc(echo), tally.NoopScope, zap.NewNop())
		defer func() {
			n.Close() // ends the pending dials
			close(dialer.conns)
			for remote := range dialer.conns {
				_ = remote.Close()
			}
		}()
		test(t, n)
	})
}

var unresponsiveAddr = netip.MustParseAddrPort("10.0.0.1:1")

// askAsync calls the unresponsive peer and returns a channel that receives the
// error.
func askAsync(ctx context.Context, n *Transport) <-chan error {
	result := make(chan error, 1)
	go func() {
		_, _, err := n.Ask(ctx, unresponsiveAddr, Message{Kind: 1})
		result <- err
	}()
	return result
}

// expectErr checks that a call fails with the given error of its context before
// helloTimeout has passed.
func expectErr(t *testing.T, result <-chan error, want error) {
	t.Helper()
	select {
	case err := <-result:
		if !errors.Is(err, want) || !fault.Is(err, KindNotSent) {
			t.Errorf("got %v, want %v", err, want)
		}
	case <-time.After(helloTimeout - time.Millisecond):
		t.Errorf("the call did not end with its context within %v", helloTimeout-time.Millisecond)
	}
}

// TestCallToUnresponsivePeerEndsWithItsContext checks that a call to a peer which
// accepts the connection but does not take part in the handshake fails when its
// context ends.
func TestCallToUnresponsivePeerEndsWithItsContext(t *testing.T) {
	for name, reads := range map[string]bool{"peer reads no hello": false, "peer sends no hello": true} {
		t.Run(name+", deadline", func(t *testing.T) {
			withUnresponsivePeer(t, reads, func(t *testing.T, n *Transport) {
				ctx, cancel := context.WithTimeout(t.Context(), 120*time.Millisecond)
				defer cancel()
				expectErr(t, askAsync(ctx, n), context.DeadlineExceeded)
			})
		})
		t.Run(name+", cancel", func(t *testing.T) {
			withUnresponsivePeer(t, reads, func(t *testing.T, n *Transport) {
				ctx, cancel := context.WithCancel(t.Context())
				result := askAsync(ctx, n)
				synctest.Wait()
				cancel()
				expectErr(t, result, context.Canceled)
			})
		})
	}
}

// TestHandshakeTimesOutWithoutADeadline checks that helloTimeout bounds a
// handshake whose context has no deadline.
func TestHandshakeTimesOutWithoutADeadline(t *testing.T) {
	withUnresponsivePeer(t, true, func(t *testing.T, n *Transport) {
		select {
		case err := <-askAsync(t.Context(), n):
			if !fault.Is(err, KindNotSent) {
				t.Errorf("got %v", err)
			}
		case <-time.After(helloTimeout + time.Millisecond):
			t.Error("the handshake did not time out")
		}
	})
}

// TestCallWaitingForAnotherCallsDialEndsWithItsOwnContext checks that a call which
// waits for a dial that another call started gives up when its own context ends.
func TestCallWaitingForAnotherCallsDialEndsWithItsOwnContext(t *testing.T) {
	withUnresponsivePeer(t, true, func(t *testing.T, n *Transport) {
		longCtx, cancel := context.WithCancel(t.Context())
		first := askAsync(longCtx, n)
		synctest.Wait()
		shortCtx, cancelShort := context.WithTimeout(t.Context(), 120*time.Millisecond)
		defer cancelShort()
		expectErr(t, askAsync(shortCtx, n), context.DeadlineExceeded)
		cancel()
		expectErr(t, first, context.Canceled)
	})
}
