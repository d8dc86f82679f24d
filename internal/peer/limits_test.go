package peer

import (
	"bytes"
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
)

// startLimited returns a transport with limits that is closed with the test.
func startLimited(t *testing.T, limits Limits, h handlerFunc) (*Transport, netip.AddrPort) {
	t.Helper()
	listen, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	self := Host{Name: "server", DataCentre: "centro-a", Incarnation: "server-1"}
	n := New(self, listen, &net.Dialer{}, h, tally.NoopScope, zap.NewNop(), WithLimits(limits))
	t.Cleanup(n.Close)
	return n, netip.MustParseAddrPort(listen.Addr().String())
}

// mustAnswer checks that a call with a body is answered.
func mustAnswer(t *testing.T, client *Transport, addr netip.AddrPort, body []byte) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	reply, err := client.Call(ctx, addr, Message{Kind: 7, Body: body})
	if err != nil || !bytes.Equal(reply.Body, body) {
		t.Errorf("a call of %d bytes gets an answer of %d bytes, %v", len(body), len(reply.Body), err)
	}
}

// mustRelease checks that no bytes stay reserved after all connections have been closed.
func mustRelease(t *testing.T, server *Transport) {
	t.Helper()
	server.Close()
	if used := server.inbound.frames.Used(); used != 0 {
		t.Errorf("%d bytes of frames are still reserved", used)
	}
	if queued := server.inbound.queued.Load(); queued != 0 {
		t.Errorf("%d bytes of answers are still counted", queued)
	}
	if open := server.inbound.table.Open(); open != 0 {
		t.Errorf("%d connections are still counted", open)
	}
}

// Frames that stop short of their end must not take the memory of the host, nor keep the
// calls of others from being answered.
func TestUnfinishedFramesMakeRoom(t *testing.T) {
	const size = 1 << 20
	server, addr := startLimited(t, Limits{Connections: 100, FrameBytes: 2 * size, AnswerBytes: 10 * size}, echo)
	client, _ := start(t, "client", echo)
	frame := append(frameOf(t, validHello()), frameOf(t, envelope{Call: 1, Kind: 7, Body: make([]byte, size)})...)
	var unfinished []net.Conn
	for range 4 {
		c := dialRaw(t, addr)
		// A connection that is closed before all was written is refused too.
		_, _ = c.Write(frame[:len(frame)-1])
		unfinished = append(unfinished, c)
	}
	mustAnswer(t, client, addr, []byte("small"))
	mustAnswer(t, client, addr, make([]byte, size))
	for _, c := range unfinished {
		awaitClose(t, c)
	}
	mustRelease(t, server)
}

// Connections on which nothing arrives must make room for others.
func TestSilentConnectionsMakeRoom(t *testing.T) {
	const most = 8
	server, addr := startLimited(t, Limits{Connections: most, FrameBytes: 1 << 20, AnswerBytes: 1 << 20}, echo)
	client, _ := start(t, "client", echo)
	mustAnswer(t, client, addr, []byte("before"))
	for range 4 * most {
		c := dialRaw(t, addr)
		_, _ = c.Write(frameOf(t, validHello()))
	}
	mustAnswer(t, client, addr, []byte("meanwhile"))
	server.inbound.mu.Lock()
	open := server.inbound.table.Open()
	server.inbound.mu.Unlock()
	if open > most {
		t.Errorf("%d connections are open, at most %d are allowed", open, most)
	}
	other, _ := start(t, "other", echo)
	mustAnswer(t, other, addr, []byte("a new peer"))
	mustRelease(t, server)
}

// A program that reads no answers must not take the memory of the host.
func TestUnreadAnswersAreBounded(t *testing.T) {
	const size = 1 << 20
	answer := make([]byte, size)
	server, addr := startLimited(t, Limits{Connections: 100, FrameBytes: size, AnswerBytes: 2 * size},
		func(_ context.Context, _ Host, m Message) (Message, error) {
			if m.Kind == 7 {
				return m, nil
			}
			return Message{Kind: m.Kind, Body: answer}, nil
		})
	client, _ := start(t, "client", echo)
	var callers []net.Conn
	for range 4 {
		c := dialRaw(t, addr)
		calls := frameOf(t, validHello())
		for i := range 16 {
			calls = append(calls, frameOf(t, envelope{Call: uint64(i), Kind: 1})...)
		}
		_, _ = c.Write(calls)
		callers = append(callers, c)
	}
	mustAnswer(t, client, addr, []byte("small"))
	if queued := server.inbound.queued.Load(); queued > 3*size {
		t.Errorf("%d bytes of answers wait, at most %d are allowed", queued, 3*size)
	}
	for _, c := range callers {
		_ = c.Close()
	}
	mustRelease(t, server)
}
