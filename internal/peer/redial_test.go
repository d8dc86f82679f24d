package peer

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
)

// bootingDialer connects to a machine that starts after some time. An attempt from before
// never ends, as the first packet of its connection was dropped.
type bootingDialer struct {
	up    time.Time
	dials atomic.Int32
	late  chan net.Conn
}

func (d *bootingDialer) DialContext(ctx context.Context, _, _ string) (net.Conn, error) {
	d.dials.Add(1)
	if time.Now().Before(d.up) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	local, remote := net.Pipe()
	d.late <- remote
	return local, nil
}

// A connection that was begun while the machine of a host had no power must not keep calls
// waiting until the system repeats its first packet.
func TestHostIsReachedSoonAfterItsMachineHasStarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const boots = 300 * time.Millisecond
		dialer := &bootingDialer{up: time.Now().Add(boots), late: make(chan net.Conn, maxDials)}
		n := New(Host{Name: "a", Incarnation: "a-1"}, idleListener{closed: make(chan struct{})}, dialer, handlerFunc(echo), tally.NoopScope, zap.NewNop())
		defer n.Close()
		ctx, cancel := context.WithTimeout(t.Context(), helloTimeout)
		defer cancel()
		begun := time.Now()
		raw, err := n.open(ctx, unresponsiveAddr)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = raw.Close(); _ = (<-dialer.late).Close() }()
		if took := time.Since(begun); took > boots+redialInterval {
			t.Errorf("the connection was opened after %v", took)
		}
	})
}

// Attempts to reach a machine without power must end with the call, and be bounded.
func TestDialsOfAnUnreachableHostAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dialer := &bootingDialer{up: time.Now().Add(time.Hour)}
		n := New(Host{Name: "a", Incarnation: "a-1"}, idleListener{closed: make(chan struct{})}, dialer, handlerFunc(echo), tally.NoopScope, zap.NewNop())
		defer n.Close()
		if _, err := n.Hello(t.Context(), unresponsiveAddr); err == nil {
			t.Fatal("a connection to an unreachable host")
		}
		if got := dialer.dials.Load(); got > int32(maxDials) {
			t.Errorf("%d attempts, at most %d are allowed", got, maxDials)
		}
	})
}
