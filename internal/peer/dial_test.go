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

// frozenDialer connects to a process that neither reads nor writes.
type frozenDialer struct {
	reads bool
	held  chan net.Conn
}

func (d frozenDialer) DialContext(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	if d.reads {
		go func() { _, _ = far.Read(make([]byte, maxHello)) }()
	}
	d.held <- far
	return near, nil
}

// idleListener accepts nothing.
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

// inFrozenNet runs a test in virtual time on a transport whose peers are frozen.
func inFrozenNet(t *testing.T, reads bool, test func(t *testing.T, n *Transport)) {
	synctest.Test(t, func(t *testing.T) {
		dialer := frozenDialer{reads: reads, held: make(chan net.Conn, 8)}
		self := Host{Name: "client", Incarnation: "client-1"}
		n := New(self, idleListener{closed: make(chan struct{})}, dialer, handlerFunc(echo), tally.NoopScope, zap.NewNop())
		defer func() {
			n.Close() // ends the dials
			close(dialer.held)
			for far := range dialer.held {
				_ = far.Close()
			}
		}()
		test(t, n)
	})
}

var frozen = netip.MustParseAddrPort("10.0.0.1:1")

// asked returns where the error of a call to the frozen peer will come.
func asked(ctx context.Context, n *Transport) <-chan error {
	result := make(chan error, 1)
	go func() {
		_, _, err := n.Ask(ctx, frozen, Message{Kind: 1})
		result <- err
	}()
	return result
}

// awaitErr checks that a call fails with the error of its context before the time
// for a hello is over.
func awaitErr(t *testing.T, result <-chan error, want error) {
	t.Helper()
	select {
	case err := <-result:
		if !errors.Is(err, want) || !fault.Is(err, KindNotSent) {
			t.Errorf("got %v, want %v", err, want)
		}
	case <-time.After(helloTimeout - time.Millisecond):
		t.Errorf("the call has not ended with its context, after %v", helloTimeout-time.Millisecond)
	}
}

func TestACallToAFrozenPeerEndsWithItsContext(t *testing.T) {
	for name, reads := range map[string]bool{"it takes no hello": false, "it sends no hello": true} {
		t.Run(name+", deadline", func(t *testing.T) {
			inFrozenNet(t, reads, func(t *testing.T, n *Transport) {
				ctx, cancel := context.WithTimeout(t.Context(), 120*time.Millisecond)
				defer cancel()
				awaitErr(t, asked(ctx, n), context.DeadlineExceeded)
			})
		})
		t.Run(name+", cancel", func(t *testing.T) {
			inFrozenNet(t, reads, func(t *testing.T, n *Transport) {
				ctx, cancel := context.WithCancel(t.Context())
				result := asked(ctx, n)
				synctest.Wait()
				cancel()
				awaitErr(t, result, context.Canceled)
			})
		})
	}
}

func TestAHelloEndsWithoutADeadline(t *testing.T) {
	inFrozenNet(t, true, func(t *testing.T, n *Transport) {
		select {
		case err := <-asked(t.Context(), n):
			if !fault.Is(err, KindNotSent) {
				t.Errorf("got %v", err)
			}
		case <-time.After(helloTimeout + time.Millisecond):
			t.Error("the hello has no bound")
		}
	})
}

// A call waits for the dial of another one no longer than its own context.
func TestACallDoesNotWaitForTheDialOfAnother(t *testing.T) {
	inFrozenNet(t, true, func(t *testing.T, n *Transport) {
		patient, cancel := context.WithCancel(t.Context())
		first := asked(patient, n)
		synctest.Wait()
		brief, end := context.WithTimeout(t.Context(), 120*time.Millisecond)
		defer end()
		awaitErr(t, asked(brief, n), context.DeadlineExceeded)
		cancel()
		awaitErr(t, first, context.Canceled)
	})
}
