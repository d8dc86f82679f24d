package standin_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"testing"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/platform"
	"cicadabarrow.example/cicadabarrow/internal/platform/upstream"
	"cicadabarrow.example/cicadabarrow/internal/standin"
)

const instance = "upstream-000"

// TestSendIsNeverRetried guards against net/http retrying a request by itself,
// which it may do when a reused connection is closed before the response. Each
// request is sent over a reused connection to an instance that runs it and then
// closes the connection.
func TestSendIsNeverRetried(t *testing.T) {
	for _, cut := range []standin.Cut{standin.CutBefore, standin.CutMidway} {
		for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut} {
			for _, body := range []string{"", "deposit"} {
				t.Run(fmt.Sprintf("%s/%s/%q", cut, method, body), func(t *testing.T) {
					s := newSession(t, true)
					s.mustSend(t, "first")
					s.deployment.Upstreams.Get(instance).SetCut(cut)
					response, err := s.upstreams.Send(t.Context(), s.host(instance), platform.UpstreamRequest{
						ID: "cut", IdempotencyKey: "cut", Method: method, Path: "/deposits", Body: []byte(body),
					})
					// A response to HEAD has no body that could be cut midway.
					completeHead := method == http.MethodHead && cut == standin.CutMidway
					if !completeHead && !fault.Is(err, platform.KindUnknown) {
						t.Errorf("response %+v, error %v; want an unknown outcome", response, err)
					}
					if n := s.runs("cut"); n != 1 {
						t.Errorf("the request ran %d times, want once", n)
					}
				})
			}
		}
	}
}

// TestPlainClientRetries shows that TestSendIsNeverRetried can fail: net/http
// itself retries a GET request that is built with http.NoBody.
func TestPlainClientRetries(t *testing.T) {
	s := newSession(t, true)
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	get := func(id string) error {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet,
			s.base.JoinPath("upstreams", instance, "run", "deposits").String(), http.NoBody)
		if err != nil {
			return err
		}
		request.Header.Set("Cicadabarrow-Request", id)
		response, err := client.Do(request)
		if err != nil {
			return err
		}
		buffer := bufio.NewReader(response.Body)
		_, _ = buffer.Discard(1 << 20)
		return response.Body.Close()
	}
	if err := get("first"); err != nil {
		t.Fatal(err)
	}
	s.deployment.Upstreams.Get(instance).SetCut(standin.CutBefore)
	if err := get("cut"); err == nil {
		t.Error("the cut response gave no error")
	}
	if n := s.runs("cut"); n < 2 {
		t.Errorf("the request ran %d times; a plain client was expected to retry it", n)
	}
}

// TestMalformedResponsesAreUnknown covers incomplete or malformed responses that
// the stand-in never sends, such as one without a length that ends when the
// connection is closed.
func TestMalformedResponsesAreUnknown(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nCicadabarrow-Request: r\r\n"
	for response, message := range map[string]string{
		head + "Connection: close\r\n\r\nhalf":                                       "ends by close",
		head + "Content-Length: 9\r\n\r\nhalf":                                       "cut short after 4 bytes",
		head + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf":                         "cut short after 4 bytes",
		head + "Content-Length: 99999999\r\n\r\nhalf":                                "more than",
		"HTTP/1.1 200 OK\r\nCicadabarrow-Request: q\r\nContent-Length: 2\r\n\r\nok":  "an answer to \"q\"",
		"HTTP/1.1 200 OK\r\nCicadabarrow-Error: true\r\nContent-Length: 2\r\n\r\n{}": "no kind",
		"half": "without an answer",
	} {
		addr, requests := serveOnce(t, response)
		_, err := send(t, addr)
		if !fault.Is(err, platform.KindUnknown) || !strings.Contains(err.Error(), message) {
			t.Errorf("%q: error %v, want an unknown outcome and %q", response, err, message)
		}
		if n := <-requests; n != 1 {
			t.Errorf("%q: %d requests arrived, want 1", response, n)
		}
	}
}

// TestRedirectsAreAnswers checks that the client returns a redirect as the
// response. Following it would send a second request.
func TestRedirectsAreAnswers(t *testing.T) {
	addr, _ := serveOnce(t, "HTTP/1.1 303 See Other\r\nCicadabarrow-Request: r\r\n"+
		"Location: /elsewhere\r\nContent-Length: 0\r\n\r\n")
	response, err := send(t, addr)
	if err != nil || response.Status != http.StatusSeeOther {
		t.Errorf("status %d, error %v; want the redirect itself", response.Status, err)
	}
}

// serveOnce responds to one request with fixed bytes and closes the connection.
// The channel delivers the number of requests that were read.
func serveOnce(t *testing.T, response string) (string, <-chan int) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	requests := make(chan int, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			requests <- 0
			return
		}
		_ = listener.Close()
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			requests <- 0
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = conn.Write([]byte(response))
		_ = conn.Close()
		requests <- 1
	}()
	return listener.Addr().String(), requests
}

func TestSendWithoutConnectionIsNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := listener.Addr().String()
	_ = listener.Close()
	if _, err := send(t, addr); !fault.Is(err, platform.KindNotRun) {
		t.Errorf("error %v, want not run", err)
	}
}

func send(t *testing.T, addr string) (platform.UpstreamResponse, error) {
	t.Helper()
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	client := upstream.New(&url.URL{Scheme: "http"}, &http.Client{Transport: transport}, entryHost)
	host := platform.Host{Name: "u", Addr: netip.MustParseAddrPort(addr)}
	return client.Send(t.Context(), host, platform.UpstreamRequest{ID: "r", Method: http.MethodPost, Path: "/x"})
}

func (s *session) mustSend(t *testing.T, id string) {
	t.Helper()
	if _, err := s.upstreams.Send(t.Context(), s.host(instance), platform.UpstreamRequest{
		ID: id, IdempotencyKey: id, Method: http.MethodPost, Path: "/",
	}); err != nil {
		t.Fatal(err)
	}
}

func (s *session) runs(id string) int {
	n := 0
	for _, r := range s.deployment.Journal.Requests() {
		if r.ID == id {
			n++
		}
	}
	return n
}
