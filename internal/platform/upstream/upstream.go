// Package upstream is the adapter to upstreams, the instances of the services
// that callers send requests to.
package upstream

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"cicadabarrow.example/cicadabarrow/internal/fault"
	"cicadabarrow.example/cicadabarrow/internal/platform"
	"cicadabarrow.example/cicadabarrow/internal/platform/call"
	"cicadabarrow.example/cicadabarrow/internal/platform/wire"
)

// Client calls upstream instances over HTTP.
type Client struct{ caller *call.Caller }

// New returns a client for the entry host named from. The base URL gives the
// scheme, the path prefix, and the address for hosts that are listed without one.
func New(base *url.URL, client *http.Client, from string) *Client {
	return &Client{caller: call.New(base, client, from)}
}

// Send sends a request to a host at most once and returns the complete response.
// After an error of platform.KindNotRun or platform.KindInvalid the request did
// not run; after one of platform.KindUnknown it may have run.
func (c *Client) Send(
	ctx context.Context, host platform.Host, r platform.UpstreamRequest,
) (platform.UpstreamResponse, error) {
	if r.ID == "" || !strings.HasPrefix(r.Path, "/") {
		return platform.UpstreamResponse{}, fault.New("send", platform.KindInvalid,
			"the request needs an ID and a path that begins with /, but has the ID %q and the path %q", r.ID, r.Path)
	}
	header := http.Header{}
	header.Set(wire.HeaderRequestID, r.ID)
	header.Set(wire.HeaderIdempotent, strconv.FormatBool(r.Idempotent))
	if r.IdempotencyKey != "" {
		header.Set(wire.HeaderIdempotencyKey, r.IdempotencyKey)
	}
	if r.Deadline > 0 {
		header.Set(wire.HeaderDeadline, r.Deadline.String())
	}
	resp, err := c.caller.Do(ctx, call.Request{
		Op: "send", Method: r.Method, Addr: host.Addr, Path: path(host, "/run"+r.Path),
		Header: header, Body: r.Body,
	})
	if err != nil {
		return platform.UpstreamResponse{}, err
	}
	if got := resp.Header.Get(wire.HeaderRequestID); got != r.ID {
		return platform.UpstreamResponse{}, fault.New("send", platform.KindUnknown,
			"an answer to %q was received for the request %q", got, r.ID)
	}
	return platform.UpstreamResponse{
		ID: r.ID, Status: resp.Status, Body: resp.Body,
		Leaving: resp.Header.Get(wire.HeaderLeaving) == "true",
	}, nil
}

// Status returns the status that a host reports.
func (c *Client) Status(ctx context.Context, host platform.Host) (platform.UpstreamStatus, error) {
	status, err := call.JSON[wire.UpstreamStatus](ctx, c.caller, call.Request{
		Op: "status", Method: http.MethodGet, Addr: host.Addr, Path: path(host, "/status"),
	}, nil)
	return status.Domain(), err
}

func path(host platform.Host, rest string) string {
	return "/upstreams/" + url.PathEscape(host.Name) + rest
}
