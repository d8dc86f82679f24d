// Package call makes the HTTP calls of the platform adapters. It sends each
// request at most once, and distinguishes calls that had no effect from calls
// whose outcome is unknown.
package call

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"strings"
	"sync/atomic"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/platform"
	"cicadabarrow.example/cicadabarrow/internal/platform/wire"
)

// Caller makes calls on behalf of one entry host.
type Caller struct {
	base   *url.URL
	client *http.Client
	from   string
	// tracesConnections is set if the transport is known to report each
	// connection that it uses to the client trace. Only then does a missing
	// report mean that there was no connection.
	tracesConnections bool
}

// New returns a caller of the service at a base URL. from is the name of the
// entry host.
func New(base *url.URL, client *http.Client, from string) *Caller {
	httpClient := *client
	// Following a redirect would send the request a second time.
	httpClient.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	_, traced := httpClient.Transport.(*http.Transport)
	return &Caller{base: base, client: &httpClient, from: from, tracesConnections: traced || httpClient.Transport == nil}
}

// Request is one call.
type Request struct {
	// Op is the operation name for errors.
	Op     string
	Method string
	// Addr replaces the host of the base URL if it is valid.
	Addr netip.AddrPort
	// Path is appended to the path of the base URL. It must be escaped.
	Path  string
	Query url.Values
	// Header holds further headers of the request.
	Header http.Header
	Body   []byte
}

// Response is a complete response, whose length has been checked.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// nonReplayableBody is a request body that cannot be rewound, so the transport
// never resends a request on its own, whatever the method and the headers.
type nonReplayableBody struct{ *bytes.Reader }

// Close does nothing.
func (nonReplayableBody) Close() error { return nil }

// Do sends a request at most once. A request that cannot be built gives an error
// of KindInvalid. An error is of KindNotRun if no connection was made, so that no
// byte can have been sent, and of KindUnknown if the request may have been sent
// without a usable response. A response that carries an error gives that error.
func (c *Caller) Do(ctx context.Context, r Request) (Response, error) {
	connected := new(atomic.Bool)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := c.request(ctx, r)
	if err != nil {
		return Response{}, err
	}
	response, err := c.client.Do(request)
	if err != nil {
		if c.tracesConnections && !connected.Load() {
			return Response{}, fault.New(r.Op, platform.KindNotRun, "no connection: %w", err)
		}
		return Response{}, fault.New(r.Op, platform.KindUnknown, "sent without an answer: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := readBody(response)
	if err != nil {
		return Response{}, fault.New(r.Op, platform.KindUnknown, "status %d: %w", response.StatusCode, err)
	}
	resp := Response{Status: response.StatusCode, Header: response.Header, Body: body}
	return resp, resp.decodeError(r.Op)
}

func (c *Caller) request(ctx context.Context, r Request) (*http.Request, error) {
	if len(r.Body) > wire.MaxRequestBytes {
		return nil, fault.New(r.Op, platform.KindInvalid,
			"the body has %d bytes, more than %d", len(r.Body), wire.MaxRequestBytes)
	}
	target, err := c.target(r)
	if err != nil {
		return nil, fault.New(r.Op, platform.KindInvalid, "%w", err)
	}
	request, err := http.NewRequestWithContext(ctx, r.Method, target, nonReplayableBody{bytes.NewReader(r.Body)})
	if err != nil {
		return nil, fault.New(r.Op, platform.KindInvalid, "%w", err)
	}
	request.ContentLength = int64(len(r.Body))
	if r.Header != nil {
		request.Header = r.Header.Clone()
	}
	request.Header.Set(wire.HeaderFrom, c.from)
	return request, nil
}

func (c *Caller) target(r Request) (string, error) {
	base := *c.base
	if r.Addr.IsValid() {
		base.Host = r.Addr.String()
	}
	target, err := url.Parse(strings.TrimSuffix(base.String(), "/") + r.Path)
	if err != nil {
		return "", fmt.Errorf("the path %q is malformed: %w", r.Path, err)
	}
	if len(r.Query) > 0 {
		target.RawQuery = r.Query.Encode()
	}
	return target.String(), nil
}

// readBody reads the body of a response. It rejects a response that cannot be
// distinguished from a truncated one.
func readBody(response *http.Response) ([]byte, error) {
	chunked := len(response.TransferEncoding) > 0
	if response.ContentLength < 0 && !chunked {
		return nil, fmt.Errorf("an answer without a length that ends by close may be cut short")
	}
	if response.ContentLength > wire.MaxResponseBytes {
		return nil, fmt.Errorf("the answer has %d bytes, more than %d", response.ContentLength, wire.MaxResponseBytes)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, wire.MaxResponseBytes+1))
	switch {
	case err != nil:
		return nil, fmt.Errorf("the answer was cut short after %d bytes: %w", len(body), err)
	case len(body) > wire.MaxResponseBytes:
		return nil, fmt.Errorf("the answer has more than %d bytes", wire.MaxResponseBytes)
	case response.ContentLength >= 0 && int64(len(body)) != response.ContentLength &&
		response.Request.Method != http.MethodHead:
		return nil, fmt.Errorf("the answer has %d of %d bytes", len(body), response.ContentLength)
	}
	return body, nil
}

// decodeError returns the error that a response carries in its body, if any.
func (a Response) decodeError(op string) error {
	if a.Header.Get(wire.HeaderError) != "true" {
		return nil
	}
	e, err := wire.Decode[wire.Error](op, a.Body)
	if err != nil {
		return fault.New(op, platform.KindUnknown, "status %d with a malformed error: %w", a.Status, err)
	}
	if callErr := e.Err(op); callErr != nil {
		return callErr
	}
	return fault.New(op, platform.KindUnknown, "status %d with an error of no kind", a.Status)
}

// JSON makes a call with in as the JSON body, or with no body if in is nil, and
// decodes the JSON body of the response.
func JSON[Out any](ctx context.Context, c *Caller, r Request, in any) (Out, error) {
	var zero Out
	if in != nil {
		body, err := json.Marshal(in)
		if err != nil {
			return zero, fault.New(r.Op, platform.KindInvalid, "%w", err)
		}
		r.Body = body
		r.Header = http.Header{"Content-Type": {"application/json"}}
	}
	resp, err := c.Do(ctx, r)
	if err != nil {
		return zero, err
	}
	if resp.Status != http.StatusOK {
		return zero, fault.New(r.Op, platform.KindUnknown, "status %d", resp.Status)
	}
	out, err := wire.Decode[Out](r.Op, resp.Body)
	if err != nil {
		// The call was made; only its response cannot be decoded.
		return zero, fault.New(r.Op, platform.KindUnknown, "status %d: %w", resp.Status, err)
	}
	return out, nil
}
