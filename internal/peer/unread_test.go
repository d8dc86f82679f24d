package peer

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
)

// unreadConn is a connection of a process that gets no processor time to read from it while
// it is held. What arrives waits in its socket.
type unreadConn struct {
	*net.TCPConn

	mu sync.Mutex
	// released is closed unless the connection is held.
	released chan struct{}
	closed   chan struct{}
	once     sync.Once
}

func (c *unreadConn) Read(p []byte) (int, error) {
	for {
		c.mu.Lock()
		released := c.released
		c.mu.Unlock()
		<-released
		n, err := c.TCPConn.Read(p)
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
	}
}

// hold ends the read in progress and delays further ones until the connection is released.
func (c *unreadConn) hold() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.released = make(chan struct{})
	_ = c.SetReadDeadline(time.Unix(1, 0))
}

func (c *unreadConn) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.SetReadDeadline(time.Time{})
	close(c.released)
}

func (c *unreadConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.TCPConn.Close()
}

// unreadDialer passes on the connections that it opens.
type unreadDialer struct{ opened chan *unreadConn }

func (d unreadDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	released := make(chan struct{})
	close(released)
	c := &unreadConn{TCPConn: conn.(*net.TCPConn), released: released, closed: make(chan struct{})}
	d.opened <- c
	return c, nil
}

// Guards against the loss of the answers that wait in a socket, and of all calls on the
// connection, since a host that is short of processor time takes its peer for silent: it has
// not read the old connection, while the hello on a new one was read at once.
func TestConnectionWithUnreadAnswersIsNotReplaced(t *testing.T) {
	_, to := start(t, "server", echo)
	listen, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	dialer := unreadDialer{make(chan *unreadConn, 8)}
	client := New(Host{Name: "client", Incarnation: "client-1"}, listen, dialer, handlerFunc(echo), tally.NoopScope, zap.NewNop())
	t.Cleanup(client.Close)
	if _, err := client.Call(t.Context(), to, Message{Kind: 1}); err != nil {
		t.Fatal(err)
	}
	first := <-dialer.opened
	first.hold()
	result := make(chan error, 1)
	go func() {
		_, err := client.Call(t.Context(), to, Message{Kind: 2})
		result <- err
	}()
	second := <-dialer.opened // a heartbeat had no answer that was read
	select {
	case <-second.closed:
		first.release()
	case <-first.closed:
		t.Error("the connection was closed while an answer waited in its socket")
		first.release()
	}
	if err := <-result; err != nil {
		t.Errorf("the call: %v", err)
	}
}
