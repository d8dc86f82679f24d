// Package call makes the HTTP calls of the platform adapters. It sends each
// call at most once and tells calls that surely did not run from those whose
// outcome is unknown.
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

// Caller makes calls in the name of one entry host.
type Caller struct {
	base   *url.URL
	client *http.Client
	from   string
	// tracesConnections is set when the transport surely tells of each connection that
	// it uses; only then does silence mean that there was none.
	tracesConnections bool
}

// New returns a caller of the service at a base URL.
func New(base *url.URL, client *http.Client, from string) *Caller {
	httpClient := *client
	// A redirect would send the call a second time.
	httpClient.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	_, traced := httpClient.Transport.(*http.Transport)
	return &Caller{base: base, client: &httpClient, from: from, tracesConnections: traced || httpClient.Transport == nil}
}

// Request is one call.
type Request struct {
	// Op is the operation, for errors.
	Op     string
	Method string
	// Addr takes the place of the base URL's host where it is valid.
	Addr netip.AddrPort
	// Path is appended to the base URL's path. It is escaped already.
	Path  string
	Query url.Values
	// Header is added to the call's own.
	Header http.Header
	Body   []byte
}

// Response is a whole answer. Its length was checked.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// nonReplayableBody is a body that the transport cannot rewind. With it the transport
// never sends a request again by itself, whatever its method and headers.
type nonReplayableBody struct{ *bytes.Reader }

// Close does nothing.
func (nonReplayableBody) Close() error { return nil }

// Do makes a call once. Its error is of KindNotRun only if no byte can have
// reached the other side, or if that said so, and else of KindUnknown.
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

// readBody reads an answer whose end can be told from a cut connection.
func readBody(response *http.Response) ([]byte, error) {
	chunked := len(response.TransferEncoding) > 0
	if response.ContentLength < 0 && !chunked {
		return nil, fmt.Errorf("an answer that ends by close may be cut short")
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

// decodeError returns the error that an answer carries in its body.
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

// JSON makes a call with a JSON body, which is nil for none, and decodes its
// JSON answer.
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
		// The call took place; only its answer cannot be read.
		return zero, fault.New(r.Op, platform.KindUnknown, "status %d: %w", resp.Status, err)
	}
	return out, nil
}
