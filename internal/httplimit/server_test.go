package httplimit

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/timer"
)

const (
	testBodyLimit   = 64 << 10
	testHeaderLimit = 4 << 10
	testTimeout     = 3 * time.Second
)

// testServer serves requests over pipes, in virtual time.
type testServer struct {
	t     *testing.T
	guard *Guard
	conns chan net.Conn
	rules atomic.Pointer[Rules]
	// run counts the requests whose body was read completely.
	run atomic.Int64
	// hold keeps requests of the path /held from being answered until it is closed.
	hold chan struct{}
}

// inBubble runs a test with a server in virtual time.
func inBubble(t *testing.T, limits Limits, test func(t *testing.T, s *testServer)) {
	synctest.Test(t, func(t *testing.T) {
		s := &testServer{t: t, conns: make(chan net.Conn), hold: make(chan struct{})}
		s.rules.Store(&Rules{MaxHeaderBytes: testHeaderLimit, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second})
		config := Config{Limits: limits, Rules: func() Rules { return *s.rules.Load() }}
		s.guard = New(config, timer.NewSystem(), tally.NoopScope, zap.NewNop())
		listen := s.guard.Wrap(&pipeListener{conns: s.conns, closed: make(chan struct{})})
		server := s.guard.NewServer(http.HandlerFunc(s.serve))
		var serving sync.WaitGroup
		serving.Go(func() { _ = server.Serve(listen) })
		test(t, s)
		_ = server.Close()
		serving.Wait()
		synctest.Wait()
		if held := s.guard.HeldBytes(); held != 0 {
			t.Errorf("%d bytes are still reserved after all requests", held)
		}
		if open := s.guard.Connections(); open != 0 {
			t.Errorf("%d connections are still counted after all were closed", open)
		}
	})
}

// serve handles a request as the ingress does.
func (s *testServer) serve(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), testTimeout)
	defer cancel()
	request := s.guard.Begin(r)
	defer request.End()
	if r.URL.Path == "/held" {
		<-s.hold
	}
	if r.Method != http.MethodPost {
		request.Abandon()
		return
	}
	body, err := request.ReadBody(ctx, testBodyLimit)
	if err == nil {
		err = request.Decode(ctx, int64(len(body)))
	}
	request.Abandon()
	switch {
	case err == nil:
		s.run.Add(1)
		_, _ = fmt.Fprintf(w, "%d", len(body))
	case fault.Is(err, KindTooLarge):
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	case fault.Is(err, KindTooSlow):
		w.WriteHeader(http.StatusRequestTimeout)
	case fault.Is(err, KindNoCapacity):
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

// pipeListener accepts the server's ends of pipes.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// Accept returns the next connection.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close ends Accept.
func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr returns an address without a meaning.
func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe"} }

// testClient is a connection to the server.
type testClient struct {
	net.Conn
	t *testing.T
	r *bufio.Reader
}

func (s *testServer) connect() *testClient {
	client, server := net.Pipe()
	s.conns <- server
	s.t.Cleanup(func() { _ = client.Close() })
	return &testClient{Conn: client, t: s.t, r: bufio.NewReader(client)}
}

// send writes to the server, which may stop reading at any time.
func (c *testClient) send(data string) *testClient {
	go func() { _, _ = c.Write([]byte(data)) }()
	synctest.Wait()
	return c
}

// status returns the status of the next response, and 0 if the connection is closed.
func (c *testClient) status() int {
	response, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	refused := response.StatusCode == http.StatusServiceUnavailable
	if retry := response.Header.Get("Retry-After"); refused != (retry != "") {
		c.t.Errorf("status %d has Retry-After %q", response.StatusCode, retry)
	}
	return response.StatusCode
}

func (c *testClient) expect(want int, what string) {
	c.t.Helper()
	if got := c.status(); got != want {
		c.t.Errorf("%s gets status %d, want %d", what, got, want)
	}
}

// expectOpen checks that the connection is open and that no response has come.
func (c *testClient) expectOpen(what string) {
	c.t.Helper()
	_ = c.SetReadDeadline(time.Now())
	if _, err := c.r.Peek(1); err == nil || err == io.EOF {
		c.t.Errorf("%s: the connection was closed or answered: %v", what, err)
	}
	_ = c.SetReadDeadline(time.Time{})
}

// get returns a request whose header has a number of bytes, or as few as possible.
func get(size int) string {
	const begin, end = "GET / HTTP/1.1\r\nHost: h\r\nX: ", "\r\n\r\n"
	return begin + strings.Repeat("x", max(size-len(begin)-len(end), 1)) + end
}

func post(fields string) string { return "POST / HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n\r\n" }

func postLength(n int) string { return post(fmt.Sprintf("Content-Length: %d", n)) }

// chunks returns a chunked body without its last chunk.
func chunks(size, count int) string {
	var b bytes.Buffer
	for range count {
		fmt.Fprintf(&b, "%x\r\n%s\r\n", size, strings.Repeat("x", size))
	}
	return b.String()
}

const lastChunk = "0\r\n\r\n"

func ordinaryLimits() Limits {
	return Limits{Connections: 100, BodyBytes: 1 << 20, DecodedBytes: 1 << 20}
}
