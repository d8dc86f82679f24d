// Package client is a client of the HTTP API of an entry host.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"

	"cicadabarrow.example/cicadabarrow/internal/api"
	"cicadabarrow.example/cicadabarrow/internal/document"
	"cicadabarrow.example/cicadabarrow/internal/fault"
)

// Kind tells what a failed call means to its caller.
type Kind string

const (
	// KindRefused means that the entry host responded with an error; the error
	// wraps a *ResponseError. If the kind of its Body is "unknown", the call may
	// have taken effect.
	KindRefused Kind = "refused"
	// KindNotRun means that the call never reached an entry host.
	KindNotRun Kind = "not run"
	// KindUnknown means that the call may have been sent and that no response
	// was received.
	KindUnknown Kind = "unknown"
	// KindInvalid means that an argument or the response is malformed.
	KindInvalid Kind = "invalid"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// maxResponseBytes is the maximum size of a response body.
const maxResponseBytes = 32 << 20

// ResponseError is the error in a response of an entry host.
type ResponseError struct {
	Status int
	Body   api.Error
}

// Error returns the kind, the status and the message of the response.
func (r *ResponseError) Error() string {
	text := fmt.Sprintf("%s (status %d): %s", r.Body.Kind, r.Status, r.Body.Message)
	if r.Body.Field != "" && r.Body.Message == "" {
		text += fmt.Sprintf("%s is %s; allowed is %s", r.Body.Field, r.Body.Value, r.Body.Allowed)
	}
	if r.Body.RetryAfter != "" {
		text += "; retry after " + r.Body.RetryAfter
	}
	return text
}

// Client calls one entry host. It is safe for concurrent use.
type Client struct {
	base *url.URL
	key  string
	http *http.Client
}

// New returns a client of the entry host at a base URL. With an empty bearer
// key, the client sends none.
func New(base *url.URL, key string, client *http.Client) *Client {
	return &Client{base: base, key: key, http: client}
}

// call is one call of the API.
type call struct {
	op     string
	method string
	path   string
	// name and action are path segments that follow path. Without a name, action
	// is ignored.
	name   string
	action string
	query  url.Values
	header http.Header
	body   []byte
}

// do sends a call and returns the body of a successful response.
func (c *Client) do(ctx context.Context, call call) ([]byte, error) {
	target := c.base.JoinPath(call.path)
	if call.name != "" {
		if !document.ValidName(call.name) {
			return nil, fault.New(call.op, KindInvalid, "name is %q; allowed is %s", call.name, document.AllowedName)
		}
		target = target.JoinPath(call.name, call.action)
	}
	target.RawQuery = call.query.Encode()
	req, err := http.NewRequestWithContext(ctx, call.method, target.String(), bytes.NewReader(call.body))
	if err != nil {
		return nil, fault.New(call.op, KindInvalid, "%w", err)
	}
	for name, values := range call.header {
		req.Header[name] = values
	}
	req.Header.Set("Accept", "application/json")
	if len(call.body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	if c.key != "" {
		req.Header.Set("Authorization", "Bearer "+c.key)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, fault.New(call.op, transportErrorKind(err), "%w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	return readResponse(call.op, resp)
}

func readResponse(op string, resp *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return nil, fault.New(op, KindUnknown, "%w", err)
	}
	if len(body) > maxResponseBytes {
		return nil, fault.New(op, KindInvalid, "the response is larger than %d bytes", maxResponseBytes)
	}
	if resp.StatusCode/100 == 2 {
		return body, nil
	}
	respErr := &ResponseError{Status: resp.StatusCode}
	if err := json.Unmarshal(body, &respErr.Body); err != nil || respErr.Body.Kind == "" {
		respErr.Body = api.Error{Kind: "unexpected answer", Message: http.StatusText(resp.StatusCode)}
	}
	return nil, fault.New(op, KindRefused, "%w", respErr)
}

// transportErrorKind distinguishes a call that was never sent, as the connection
// could not be opened, from one that may have been received.
func transportErrorKind(err error) Kind {
	var failed *net.OpError
	if errors.As(err, &failed) && failed.Op == "dial" {
		return KindNotRun
	}
	return KindUnknown
}

// doJSON sends a call and decodes the JSON of its response.
func doJSON[T any](ctx context.Context, c *Client, call call) (T, error) {
	var result T
	body, err := c.do(ctx, call)
	if err != nil {
		return result, err
	}
	if err := json.Unmarshal(body, &result); err != nil {
		return result, fault.New(call.op, KindInvalid, "malformed response: %w", err)
	}
	return result, nil
}
