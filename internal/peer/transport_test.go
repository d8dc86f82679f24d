package peer

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"runtime"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/uber-go/tally/v4"
	"go.uber.org/goleak"
	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/fault"
)

// handlerFunc is a function that implements Handler.
type handlerFunc func(ctx context.Context, from Host, m Message) (Message, error)

func (f handlerFunc) Handle(ctx context.Context, from Host, m Message) (Message, error) {
	return f(ctx, from, m)
}

func echo(_ context.Context, _ Host, m Message) (Message, error) { return m, nil }

// start returns a transport on the loopback interface that is closed with the
// test.
func start(t *testing.T, name string, h handlerFunc) (*Transport, netip.AddrPort) {
	t.Helper()
	listen, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	self := Host{Name: name, DataCentre: "centro-a", Incarnation: name + "-1"}
	n := New(self, listen, &net.Dialer{}, h, tally.NoopScope, zap.NewNop())
	t.Cleanup(n.Close)
	return n, netip.MustParseAddrPort(listen.Addr().String())
}

// dialRaw returns a TCP connection to a transport without a handshake.
func dialRaw(t *testing.T, to netip.AddrPort) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", to.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func frameOf(t *testing.T, v content) []byte {
	t.Helper()
	f, err := encodeFrame(v)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

func validHello() hello {
	return hello{Version: Version, Name: "tester", DataCentre: "centro-a", Incarnation: "tester-1"}
}

// awaitClose waits until the other side closes the connection.
func awaitClose(t *testing.T, c net.Conn) {
	t.Helper()
	buf := make([]byte, 512)
	for {
		if _, err := c.Read(buf); err != nil {
			return
		}
	}
}

// TestBadInputClosesOnlyItsConnection checks that a connection on which a
// malformed or oversized hello or frame arrives is closed, and that calls on
// another one succeed.
func TestBadInputClosesOnlyItsConnection(t *testing.T) {
	defer goleak.VerifyNone(t)
	oversized := binary.BigEndian.AppendUint32(nil, MaxFrame+1)
	inputs := map[string][]byte{
		"hello of another version": frameOf(t, hello{Version: Version + 1, Name: "x", Incarnation: "x-1"}),
		"hello without a name":     frameOf(t, hello{Version: Version}),
		"oversized hello":          binary.BigEndian.AppendUint32(nil, maxHello+1),
		"garbage":                  []byte("GET / HTTP/1.1\r\n\r\n"),
		"oversized frame":          append(frameOf(t, validHello()), oversized...),
		"garbage frame":            append(frameOf(t, validHello()), 0, 0, 0, 2, 0xc1, 0xc1),
	}
	server, addr := start(t, "server", echo)
	client, _ := start(t, "client", echo)
	defer server.Close()
	defer client.Close()
	for name, input := range inputs {
		t.Run(name, func(t *testing.T) {
			c := dialRaw(t, addr)
			if _, err := c.Write(input); err != nil {
				t.Fatal(err)
			}
			awaitClose(t, c)
			if reply, err := client.Call(t.Context(), addr, Message{Kind: 7, Body: []byte("well")}); err != nil || string(reply.Body) != "well" {
				t.Fatalf("a call on another connection failed: %q, %v", reply.Body, err)
			}
		})
	}
}

// TestCallErrorKindTellsWhetherCallWasSent checks that a call whose connection
// is lost has an unknown outcome, and that a call to a host that is down was
// not sent.
func TestCallErrorKindTellsWhetherCallWasSent(t *testing.T) {
	client, _ := start(t, "client", echo)
	arrived := make(chan struct{})
	server, addr := start(t, "server", func(ctx context.Context, _ Host, _ Message) (Message, error) {
		close(arrived)
		<-ctx.Done()
		return Message{}, ctx.Err()
	})
	result := make(chan error, 1)
	go func() {
		_, err := client.Call(context.Background(), addr, Message{Kind: 1})
		result <- err
	}()
	<-arrived
	server.Close()
	if err := <-result; !fault.Is(err, KindUnknown) {
		t.Fatalf("a call whose connection was lost: %v", err)
	}
	if _, err := client.Call(t.Context(), addr, Message{Kind: 1}); !fault.Is(err, KindNotSent) {
		t.Fatalf("a call to a closed transport: %v", err)
	}
}

// TestFailedCallDoesNotAffectOthers checks that calls which cannot be sent or
// are refused leave a call in progress on the same connection intact.
func TestFailedCallDoesNotAffectOthers(t *testing.T) {
	client, _ := start(t, "client", echo)
	release := make(chan struct{})
	_, addr := start(t, "server", func(_ context.Context, _ Host, m Message) (Message, error) {
		switch m.Kind {
		case 1:
			<-release
		case 2:
			return Message{Kind: 2, Body: make([]byte, MaxFrame)}, nil
		case 3:
			return Message{}, errors.New("no such thing")
		}
		return m, nil
	})
	waiting := make(chan error, 1)
	go func() {
		_, err := client.Call(context.Background(), addr, Message{Kind: 1})
		waiting <- err
	}()
	cancelled, cancel := context.WithCancel(t.Context())
	if _, err := client.Call(cancelled, addr, Message{Kind: 4}); err != nil {
		t.Fatal(err)
	}
	cancel()
	if _, err := client.Call(cancelled, addr, Message{Kind: 4}); !fault.Is(err, KindNotSent) {
		t.Fatalf("a call after its context ended: %v", err)
	}
	if _, err := client.Call(t.Context(), addr, Message{Kind: 4, Body: make([]byte, MaxFrame)}); !fault.Is(err, KindNotSent) {
		t.Fatalf("an oversized call: %v", err)
	}
	if _, err := client.Call(t.Context(), addr, Message{Kind: 2}); !fault.Is(err, KindUnknown) {
		t.Errorf("a call that took effect, whose answer is too large: %v", err)
	}
	if _, err := client.Call(t.Context(), addr, Message{Kind: 3}); !fault.Is(err, KindRefused) || errors.Is(err, ErrBusy) {
		t.Errorf("a call whose answer is an error: %v", err)
	}
	close(release)
	if err := <-waiting; err != nil {
		t.Fatalf("the call in progress was lost: %v", err)
	}
}

// A host that makes too many calls must be told apart from one that cannot make them. An
// error text of any length arrives.
func TestRefusalTellsWhetherThePeerIsBusy(t *testing.T) {
	client, _ := start(t, "client", echo)
	_, addr := start(t, "server", func(_ context.Context, _ Host, m Message) (Message, error) {
		if m.Kind == 1 {
			return Message{}, fmt.Errorf("relay: %w", ErrBusy)
		}
		return Message{}, errors.New(strings.Repeat("x", 2*MaxFrame))
	})
	for kind, busy := range map[uint8]bool{1: true, 2: false} {
		if _, err := client.Call(t.Context(), addr, Message{Kind: kind}); !fault.Is(err, KindRefused) || errors.Is(err, ErrBusy) != busy {
			t.Errorf("call %d: %.200v", kind, err)
		}
	}
}

// Hosts of earlier releases read the body of such an answer and find it malformed, which
// means to them that the call may have taken effect.
func TestTooLargeAnswerIsNoRefusalToEarlierReleases(t *testing.T) {
	_, addr := start(t, "server", func(context.Context, Host, Message) (Message, error) {
		return Message{Kind: 2, Body: make([]byte, MaxFrame)}, nil
	})
	c := dialRaw(t, addr)
	if _, err := c.Write(append(frameOf(t, validHello()), frameOf(t, envelope{Call: 1, Kind: 1})...)); err != nil {
		t.Fatal(err)
	}
	var h hello
	var e envelope
	r := bufio.NewReader(c)
	_, helloErr := readFrame(r, maxHello, &h)
	if _, err := readFrame(r, MaxFrame, &e); errors.Join(err, helloErr) != nil || e.Fault != "" || e.Kind != 0 || len(e.Body) > 0 {
		t.Errorf("the answer is of kind %d with %d bytes and error %q, %v", e.Kind, len(e.Body), e.Fault, err)
	}
}

// TestLateAnswerIsDropped checks that the answer to a call which has given up
// is not delivered to a later call.
func TestLateAnswerIsDropped(t *testing.T) {
	client, _ := start(t, "client", echo)
	arrived, release := make(chan struct{}), make(chan struct{})
	_, addr := start(t, "server", func(_ context.Context, _ Host, m Message) (Message, error) {
		if m.Kind == 1 {
			close(arrived)
			<-release
		}
		return m, nil
	})
	ctx, cancel := context.WithCancel(t.Context())
	result := make(chan error, 1)
	go func() {
		_, err := client.Call(ctx, addr, Message{Kind: 1, Body: []byte("first")})
		result <- err
	}()
	<-arrived
	cancel()
	if err := <-result; !fault.Is(err, KindUnknown) {
		t.Fatalf("a call that gave up: %v", err)
	}
	close(release)
	for range 100 {
		reply, err := client.Call(t.Context(), addr, Message{Kind: 2, Body: []byte("second")})
		if err != nil || string(reply.Body) != "second" {
			t.Fatalf("got %q, %v", reply.Body, err)
		}
	}
}

// TestHelloReturnsTheCurrentProcess replaces the process at an address while
// the connection to the old one is still open, as after a power loss. Hello
// must return the new process.
func TestHelloReturnsTheCurrentProcess(t *testing.T) {
	client, _ := start(t, "client", echo)
	listen, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := netip.MustParseAddrPort(listen.Addr().String())
	go func() {
		for _, incarnation := range []string{"old", "new"} {
			c, err := listen.Accept()
			if err != nil {
				return
			}
			f, _ := encodeFrame(hello{Version: Version, Name: "server", Incarnation: incarnation})
			_, _ = c.Write(f)
			defer c.Close()
		}
		<-client.ctx.Done()
	}()
	t.Cleanup(func() { _ = listen.Close() })
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	if _, err := client.connect(ctx, addr); err != nil {
		t.Fatal(err)
	}
	now, err := client.Hello(ctx, addr)
	if err != nil || now.Incarnation != "new" {
		t.Fatalf("%+v, %v", now, err)
	}
}

// TestCloseLeaksNoGoroutine checks that Close ends all goroutines of two
// transports that have called each other, and that a closed transport sends no
// call.
func TestCloseLeaksNoGoroutine(t *testing.T) {
	defer goleak.VerifyNone(t)
	a, addrA := start(t, "a", echo)
	b, addrB := start(t, "b", echo)
	for _, call := range []func() (Message, error){
		func() (Message, error) { return a.Call(t.Context(), addrB, Message{Kind: 1}) },
		func() (Message, error) { return b.Call(t.Context(), addrA, Message{Kind: 1}) },
	} {
		if _, err := call(); err != nil {
			t.Fatal(err)
		}
	}
	a.Close()
	b.Close()
	if _, err := a.Call(t.Context(), addrB, Message{Kind: 1}); !fault.Is(err, KindNotSent) {
		t.Fatalf("a call of a closed transport: %v", err)
	}
}

// FuzzReadFrame checks that readFrame stays within its limit on any input, and
// that a frame it accepts survives another round of encoding and decoding.
func FuzzReadFrame(f *testing.F) {
	for _, v := range []content{validHello(), envelope{Call: 1, Kind: 2, Body: []byte("body")}, envelope{Answer: true, Fault: "x"}} {
		frame, err := encodeFrame(v)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(string(frame))
		f.Add(string(frame[:len(frame)-1]))
	}
	f.Add("\xff\xff\xff\xff")
	f.Add("\x00\x00\x00\x01\xc1")
	f.Fuzz(func(t *testing.T, input string) {
		var e envelope
		size, err := readFrame(bufio.NewReader(strings.NewReader(input)), maxHello, &e)
		if err != nil {
			return
		}
		if size > len(input) || size > maxHello+lengthSize {
			t.Fatalf("read %d of %d bytes", size, len(input))
		}
		again, err := encodeFrame(e)
		if err != nil {
			t.Fatal(err)
		}
		var same envelope
		if _, err := readFrame(bufio.NewReader(strings.NewReader(string(again))), MaxFrame, &same); err != nil ||
			same.Call != e.Call || same.Fault != e.Fault || string(same.Body) != string(e.Body) {
			t.Fatalf("%+v became %+v, %v", e, same, err)
		}
	})
}

// failingListener fails to accept once, as when the process has no file descriptor
// left.
type failingListener struct {
	net.Listener
	failed atomic.Bool
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failed.CompareAndSwap(false, true) {
		return nil, syscall.EMFILE
	}
	return l.Listener.Accept()
}

// A host must not stay unreachable after one failed accept.
func TestAcceptErrorDoesNotEndTheTransport(t *testing.T) {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	self := Host{Name: "server", DataCentre: "centro-a", Incarnation: "server-1"}
	server := New(self, &failingListener{Listener: raw}, &net.Dialer{}, handlerFunc(echo), tally.NoopScope, zap.NewNop())
	t.Cleanup(server.Close)
	client, _ := start(t, "client", echo)
	addr := netip.MustParseAddrPort(raw.Addr().String())
	if _, err := client.Call(t.Context(), addr, Message{Kind: 7}); err != nil {
		t.Errorf("a call after a failed accept: %v", err)
	}
}

// A message on which a handler panics must not end the process, and may have taken
// effect.
func TestPanicOfAHandlerEndsOnlyItsCall(t *testing.T) {
	_, addr := start(t, "server", func(_ context.Context, _ Host, m Message) (Message, error) {
		if m.Kind == 1 {
			panic("scripted")
		}
		return m, nil
	})
	client, _ := start(t, "client", echo)
	if _, err := client.Call(t.Context(), addr, Message{Kind: 1}); !fault.Is(err, KindUnknown) {
		t.Errorf("the call whose handler panicked gives %v; want %q", err, KindUnknown)
	}
	if _, err := client.Call(t.Context(), addr, Message{Kind: 2}); err != nil {
		t.Errorf("the next call gives %v", err)
	}
}

// A peer that announces a large frame and sends none of it must cost no memory.
func TestAnnouncedFrameReservesNoMemory(t *testing.T) {
	announced := binary.BigEndian.AppendUint32(nil, MaxFrame)
	const frames = 100
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range frames {
		var e envelope
		if _, err := readFrame(bufio.NewReader(bytes.NewReader(announced)), MaxFrame, &e); err == nil {
			t.Fatal("an incomplete frame is accepted")
		}
	}
	runtime.ReadMemStats(&after)
	if perFrame := (after.TotalAlloc - before.TotalAlloc) / frames; perFrame > MaxFrame/16 {
		t.Errorf("%d bytes are reserved for a frame that does not arrive", perFrame)
	}
	body := bytes.Repeat([]byte("x"), 3*reservedBytes+1)
	var read envelope
	if _, err := readFrame(bufio.NewReader(bytes.NewReader(frameOf(t, envelope{Call: 1, Body: body}))), MaxFrame, &read); err != nil || !bytes.Equal(read.Body, body) {
		t.Errorf("a frame that is larger than the reserved memory: %d bytes, %v", len(read.Body), err)
	}
}
